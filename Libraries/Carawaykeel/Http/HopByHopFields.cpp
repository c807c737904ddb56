#include <Carawaykeel/Http/HopByHopFields.h>

#include <Poco/Net/HTTPMessage.h>
#include <array>
#include <string>
#include <vector>

namespace Carawaykeel::Http {

namespace {

constexpr std::array ConnectionFields{"Connection", "Keep-Alive", "Proxy-Connection", "TE",
    "Upgrade", "Trailer", "Proxy-Authenticate", "Proxy-Authorization", "Expect"};

} // namespace

void removeHopByHopFields(Poco::Net::MessageHeader &head)
{
    std::vector<std::string> named;
    for (auto it = head.find(Poco::Net::HTTPMessage::CONNECTION); it != head.end(); ++it) {
        if (Poco::icompare(it->first, Poco::Net::HTTPMessage::CONNECTION) == 0)
            Poco::Net::MessageHeader::splitElements(it->second, named);
    }
    for (const auto &name : named) {
        // A sender cannot have the framing removed this way.
        const bool isFraming = Poco::icompare(name, Poco::Net::HTTPMessage::CONTENT_LENGTH) == 0
            || Poco::icompare(name, Poco::Net::HTTPMessage::TRANSFER_ENCODING) == 0;
        if (!isFraming)
            head.erase(name);
    }
    for (const auto *name : ConnectionFields)
        head.erase(name);
}

void removeFramingFields(Poco::Net::MessageHeader &head)
{
    head.erase(Poco::Net::HTTPMessage::CONTENT_LENGTH);
    head.erase(Poco::Net::HTTPMessage::TRANSFER_ENCODING);
}

} // namespace Carawaykeel::Http
