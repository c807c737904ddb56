#include <Carawaykeel/Control/OperatorClient.h>

#include <Carawaykeel/Adapters/ClientConnection.h>
#include <Carawaykeel/Adapters/HttpResponses.h>
#include <Carawaykeel/Base/ErrorTable.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <utility>

namespace Carawaykeel::Control {

namespace {

constexpr Base::Milliseconds CallTimeout{10'000};

Base::ErrorKind errorKindNamed(const std::string &name)
{
    for (const auto &entry : Base::allErrorResponses()) {
        if (entry.name == name)
            return entry.kind;
    }
    return Base::ErrorKind::Internal;
}

} // namespace

OperatorClient::OperatorClient(std::string address, std::string key)
    : m_address(std::move(address))
    , m_key(std::move(key))
{
}

Base::Result<Poco::JSON::Object::Ptr> OperatorClient::tryGet(const std::string &path) const
{
    return tryCall(Poco::Net::HTTPRequest::HTTP_GET, path, "");
}

Base::Result<Poco::JSON::Object::Ptr> OperatorClient::tryPost(
    const std::string &path, const Poco::JSON::Object &body) const
{
    return tryCall(Poco::Net::HTTPRequest::HTTP_POST, path, Adapters::toJson(body));
}

Base::Result<Poco::JSON::Object::Ptr> OperatorClient::tryCall(
    const std::string &method, const std::string &path, const std::string &body) const
{
    std::string text;
    int status = 0;
    try {
        Adapters::ClientConnection connection(m_address, CallTimeout, CallTimeout);
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.set("Authorization", "Bearer " + m_key);
        request.setContentType("application/json");
        request.setKeepAlive(false);
        connection.sendRequest(request, body);
        const auto head = connection.readHead();
        Poco::StreamCopier::copyToString(connection.body(), text);
        if (!connection.isBodyComplete()) {
            return Base::fail(
                Base::ErrorKind::InstanceUnreachable, m_address + ": the answer broke off");
        }
        status = head->getStatus();
    } catch (const Poco::Exception &ex) {
        return Base::fail(
            Base::ErrorKind::InstanceUnreachable, m_address + ": " + ex.displayText());
    }
    BOOST_LEAF_AUTO(object, Adapters::tryParseObject(text));
    if (status == Poco::Net::HTTPResponse::HTTP_OK)
        return object;
    const auto error = object->getObject("error");
    if (error.isNull()) {
        return Base::fail(
            Base::ErrorKind::InstanceUnreachable, m_address + ": status " + std::to_string(status));
    }
    return Base::fail(errorKindNamed(error->optValue<std::string>("kind", "")),
        error->optValue<std::string>("message", ""));
}

} // namespace Carawaykeel::Control
