#pragma once

#include <Carawaykeel/Base/Result.h>

#include <Poco/JSON/Object.h>
#include <string>

namespace Carawaykeel::Control {

/// Calls one HTTP interface of an instance with a key.
class OperatorClient
{
public:
    /// The address is an IP number and a port.
    OperatorClient(std::string address, std::string key);

    /// Fails with InstanceUnreachable, or with what the instance refused.
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
