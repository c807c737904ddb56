#pragma once

#include <Carawaykeel/Base/Result.h>

#include <Poco/JSON/Object.h>
#include <string>

namespace Carawaykeel::Control {

/// Sends requests with a key to one HTTP interface of an instance.
class OperatorClient
{
public:
    /// `address` is an IP number and a port.
    OperatorClient(std::string address, std::string key);

    /// Returns the JSON response. Fails with InstanceUnreachable, or with the error that the
    /// instance returned.
    Base::Result<Poco::JSON::Object::Ptr> tryGet(const std::string &path) const;
    Base::Result<Poco::JSON::Object::Ptr> tryPost(
        const std::string &path, const Poco::JSON::Object &body) const;

private:
    Base::Result<Poco::JSON::Object::Ptr> tryCall(
        const std::string &method, const std::string &path, const std::string &body) const;

    const std::string m_address;
    const std::string m_key;
};

} // namespace Carawaykeel::Control
