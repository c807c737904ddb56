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

/// Reads one JSON object strictly: unknown keys, wrong types and values out of range are errors.
/// After an error it continues with a default value, so that one pass finds all errors.
class JsonObjectReader
{
public:
    JsonObjectReader(Poco::JSON::Object::Ptr object, std::string path, ValidationErrors &errors);

    /// Parses a document, which may have comments. After a syntax error the reader is empty and the
    /// error holds the position.
    static JsonObjectReader parse(std::string_view text, ValidationErrors &errors);

    std::string requireString(std::string_view key);
    std::string optionalString(std::string_view key, std::string_view fallback);
    std::int64_t requireInteger(std::string_view key, std::int64_t minimum, std::int64_t maximum);
    std::int64_t optionalInteger(
        std::string_view key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum);
    double optionalNumber(std::string_view key, double fallback, double minimum, double maximum);
    bool optionalBool(std::string_view key, bool fallback);
    /// Reads a name of 1 to 64 letters, digits, '.', '_' or '-'.
    std::string requireName(std::string_view key);
    /// Reads a socket address: an IP number and a port, such as 127.0.0.1:8080.
    std::string requireAddress(std::string_view key);
    std::string optionalAddress(std::string_view key);
    /// Reads a string that must be one of `choices` and returns its index.
    std::size_t requireChoice(std::string_view key, const std::vector<std::string_view> &choices);
    std::vector<std::string> optionalStrings(std::string_view key);
    std::vector<std::string> optionalAddresses(std::string_view key);
    JsonObjectReader requireObject(std::string_view key);
    JsonObjectReader optionalObject(std::string_view key);
    std::vector<JsonObjectReader> optionalObjects(std::string_view key);

    bool has(std::string_view key) const;

    /// Adds an error at a key of this object.
    void addError(std::string_view key, std::string expected);

    /// Adds an error for each key that was not read. Call last.
    void rejectUnknownKeys();

    const std::string &path() const { return m_path; }

private:
    std::string pathOf(std::string_view key) const;
    Poco::Dynamic::Var readValue(std::string_view key);
    std::optional<std::string> readString(std::string_view key);

    Poco::JSON::Object::Ptr m_object;
    std::string m_path;
    ValidationErrors *m_errors;
    std::set<std::string> m_knownKeys;
};

/// Returns true for an IP number and a port from 1 to 65535. Host names are not resolved.
bool isSocketAddress(std::string_view text);

/// Returns true for a name that requireName accepts.
bool isName(std::string_view text);

} // namespace Carawaykeel::Configuration
