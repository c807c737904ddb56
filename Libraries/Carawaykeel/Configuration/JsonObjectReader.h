#pragma once

#include <Carawaykeel/Configuration/ValidationError.h>

#include <Poco/JSON/Object.h>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Carawaykeel::Configuration {

/// Reads one JSON object strictly: every key must be asked for, every value must have its type and
/// range. It goes on after a fault with a default, so that one pass finds all faults.
class JsonObjectReader
{
public:
    JsonObjectReader(Poco::JSON::Object::Ptr object, std::string path, ValidationErrors &faults);

    /// Parses a whole document; comments are allowed. On a syntax error the reader is empty and the
    /// fault says where.
    static JsonObjectReader parse(std::string_view text, ValidationErrors &faults);

    std::string requireString(std::string_view key);
    std::string optionalString(std::string_view key, std::string_view fallback);
    std::int64_t requireInteger(std::string_view key, std::int64_t smallest, std::int64_t largest);
    std::int64_t optionalInteger(
        std::string_view key, std::int64_t fallback, std::int64_t smallest, std::int64_t largest);
    double optionalNumber(std::string_view key, double fallback, double smallest, double largest);
    bool optionalBool(std::string_view key, bool fallback);
    /// A name made of letters, digits, '.', '_' and '-', of 1 to 64 characters.
    std::string requireName(std::string_view key);
    /// An IP number and a port, as 127.0.0.1:8080.
    std::string requireAddress(std::string_view key);
    std::string optionalAddress(std::string_view key);
    /// One of a few words; answers its index.
    std::size_t requireChoice(std::string_view key, const std::vector<std::string_view> &words);
    std::vector<std::string> optionalStrings(std::string_view key);
    std::vector<std::string> optionalAddresses(std::string_view key);
    JsonObjectReader requireObject(std::string_view key);
    JsonObjectReader optionalObject(std::string_view key);
    std::vector<JsonObjectReader> optionalObjects(std::string_view key);

    bool has(std::string_view key) const;

    /// Notes a fault at a key of this object.
    void addError(std::string_view key, std::string expected);

    /// Notes a fault for each key that nobody asked for. Call last.
    void rejectUnknownKeys();

    const std::string &path() const { return m_path; }

private:
    std::string pathOf(std::string_view key) const;
    Poco::Dynamic::Var take(std::string_view key);
    std::optional<std::string> takeText(std::string_view key);

    Poco::JSON::Object::Ptr m_object;
    std::string m_path;
    ValidationErrors *m_faults;
    std::set<std::string> m_asked;
};

/// True for an IP number and a port from 1 to 65535; names are not resolved.
bool isSocketAddress(std::string_view text);

/// True for a name as requireName takes it.
bool isName(std::string_view text);

} // namespace Carawaykeel::Configuration
