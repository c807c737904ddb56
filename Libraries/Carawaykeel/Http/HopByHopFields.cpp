#include <Carawaykeel/Http/HopByHopFields.h>

#include <Poco/Net/HTTPMessage.h>
#include <array>
#include <string>
#include <vector>

namespace Carawaykeel::Http {

namespace {

constexpr std::array HopByHopFields{"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Upgrade",
    "Trailer", "Proxy-Authenticate", "Proxy-Authorization", "Expect"};

} // namespace

void removeHopByHopFields(Poco::Net::MessageHeader &head)
{
    std::vector<std::string> namedFields;
    for (auto it = head.find(Poco::Net::HTTPMessage::CONNECTION); it != head.end(); ++it) {
        if (Poco::icompare(it->first, Poco::Net::HTTPMessage::CONNECTION) == 0)
            Poco::Net::MessageHeader::splitElements(it->second, namedFields);
    }
    for (const auto &name : namedFields) {
        // A sender must not be able to remove the framing fields by naming them.
        const bool isFraming = Poco::icompare(name, Poco::Net::HTTPMessage::CONTENT_LENGTH) == 0
            || Poco::icompare(name, Poco::Net::HTTPMessage::TRANSFER_ENCODING) == 0;
        if (!isFraming)
            head.erase(name);
    }
    for (const auto *name : HopByHopFields)
        head.erase(name);
}

void removeFramingFields(Poco::Net::MessageHeader &head)
{
    head.erase(Poco::Net::HTTPMessage::CONTENT_LENGTH);
    head.erase(Poco::Net::HTTPMessage::TRANSFER_ENCODING);
}

} // namespace Carawaykeel::Http
