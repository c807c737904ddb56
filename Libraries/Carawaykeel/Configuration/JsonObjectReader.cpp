#include <Carawaykeel/Configuration/JsonObjectReader.h>

#include <Carawaykeel/Configuration/BlankComments.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <fmt/core.h>
#include <utility>

namespace Carawaykeel::Configuration {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr int MaxPort = 65'535;
constexpr std::size_t MaxDepth = 16;

bool isIpAddress(std::string text)
{
    if (text.size() > 2 && text.front() == '[' && text.back() == ']')
        text = text.substr(1, text.size() - 2);
    in6_addr buf{};
    return inet_pton(AF_INET, text.c_str(), &buf) == 1
        || inet_pton(AF_INET6, text.c_str(), &buf) == 1;
}

} // namespace

bool isSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const auto digits = text.substr(colon + 1);
    int port = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool isPort =
        ec == std::errc() && end == digits.data() + digits.size() && port >= 1 && port <= MaxPort;
    return isPort && isIpAddress(std::string(text.substr(0, colon)));
}

bool isName(std::string_view text)
{
    const auto isAllowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= MaxNameLength
        && std::all_of(text.begin(), text.end(), isAllowed);
}

JsonObjectReader::JsonObjectReader(
    Poco::JSON::Object::Ptr object, std::string path, ValidationErrors &errors)
    : m_object(std::move(object))
    , m_path(std::move(path))
    , m_errors(&errors)
{
}

JsonObjectReader JsonObjectReader::parse(std::string_view text, ValidationErrors &errors)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(MaxDepth);
        const auto value = parser.parse(blankComments(text));
        if (value.type() == typeid(Poco::JSON::Object::Ptr))
            return {value.extract<Poco::JSON::Object::Ptr>(), "", errors};
        errors.push_back({"", "a JSON object"});
    } catch (const Poco::Exception &ex) {
        errors.push_back({"", "well-formed JSON: " + ex.displayText()});
    } catch (const std::exception &ex) {
        errors.push_back({"", std::string("well-formed JSON: ") + ex.what()});
    }
    return {new Poco::JSON::Object(), "", errors};
}

std::string JsonObjectReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void JsonObjectReader::addError(std::string_view key, std::string expected)
{
    m_errors->push_back({pathOf(key), std::move(expected)});
}

bool JsonObjectReader::has(std::string_view key) const
{
    return m_object->has(std::string(key));
}

Poco::Dynamic::Var JsonObjectReader::readValue(std::string_view key)
{
    m_knownKeys.insert(std::string(key));
    return m_object->get(std::string(key));
}

std::optional<std::string> JsonObjectReader::readString(std::string_view key)
{
    const auto value = readValue(key);
    if (!value.isString())
        return std::nullopt;
    return value.extract<std::string>();
}

std::string JsonObjectReader::requireString(std::string_view key)
{
    auto text = readString(key);
    if (!text || text->empty())
        addError(key, "a text that is not empty");
    return text.value_or("");
}

std::string JsonObjectReader::optionalString(std::string_view key, std::string_view fallback)
{
    if (has(key))
        return requireString(key);
    return std::string(fallback);
}

std::int64_t JsonObjectReader::requireInteger(
    std::string_view key, std::int64_t minimum, std::int64_t maximum)
{
    const auto value = readValue(key);
    const bool isInteger = !value.isEmpty() && value.isInteger() && !value.isBoolean();
    std::int64_t n = 0;
    bool isInRange = false;
    if (isInteger) {
        try {
            n = value.convert<std::int64_t>();
            isInRange = n >= minimum && n <= maximum;
        } catch (const Poco::Exception &) {
            isInRange = false;
        }
    }
    if (!isInRange) {
        addError(key, fmt::format("a whole number from {} to {}", minimum, maximum));
        return minimum;
    }
    return n;
}

std::int64_t JsonObjectReader::optionalInteger(
    std::string_view key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum)
{
    return has(key) ? requireInteger(key, minimum, maximum) : fallback;
}

double JsonObjectReader::optionalNumber(
    std::string_view key, double fallback, double minimum, double maximum)
{
    if (!has(key))
        return fallback;
    const auto value = readValue(key);
    if (value.isNumeric() && !value.isBoolean()) {
        const auto number = value.convert<double>();
        if (number >= minimum && number <= maximum)
            return number;
    }
    addError(key, "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
}

bool JsonObjectReader::optionalBool(std::string_view key, bool fallback)
{
    if (!has(key))
        return fallback;
    const auto value = readValue(key);
    if (value.isBoolean())
        return value.extract<bool>();
    addError(key, "true or false");
    return fallback;
}

std::string JsonObjectReader::requireName(std::string_view key)
{
    auto text = readString(key);
    if (!text || !isName(*text))
        addError(key, "a name of 1 to 64 letters, digits, '.', '_' or '-'");
    return text.value_or("");
}

std::string JsonObjectReader::requireAddress(std::string_view key)
{
    auto text = readString(key);
    if (!text || !isSocketAddress(*text))
        addError(key, "an IP number and a port, as 127.0.0.1:8080");
    return text.value_or("");
}

std::string JsonObjectReader::optionalAddress(std::string_view key)
{
    return has(key) ? requireAddress(key) : std::string();
}

std::size_t JsonObjectReader::requireChoice(
    std::string_view key, const std::vector<std::string_view> &choices)
{
    const auto text = readString(key);
    for (std::size_t n = 0; text && n < choices.size(); ++n) {
        if (choices[n] == *text)
            return n;
    }
    std::string all;
    for (const auto choice : choices)
        all += (all.empty() ? "\"" : ", \"") + std::string(choice) + "\"";
    addError(key, "one of " + all);
    return 0;
}

std::vector<std::string> JsonObjectReader::optionalStrings(std::string_view key)
{
    std::vector<std::string> strings;
    if (!has(key))
        return strings;
    const auto value = readValue(key);
    if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
        addError(key, "a list of texts");
        return strings;
    }
    const auto &array = value.extract<Poco::JSON::Array::Ptr>();
    for (std::size_t n = 0; n < array->size(); ++n) {
        const auto item = array->get(static_cast<unsigned>(n));
        if (item.isString()) {
            strings.push_back(item.extract<std::string>());
        } else {
            addError(fmt::format("{}[{}]", key, n), "a text");
        }
    }
    return strings;
}

std::vector<std::string> JsonObjectReader::optionalAddresses(std::string_view key)
{
    auto strings = optionalStrings(key);
    for (std::size_t n = 0; n < strings.size(); ++n) {
        if (!isSocketAddress(strings[n]))
            addError(fmt::format("{}[{}]", key, n), "an IP number and a port, as 127.0.0.1:8080");
    }
    return strings;
}

JsonObjectReader JsonObjectReader::requireObject(std::string_view key)
{
    const auto value = readValue(key);
    if (value.type() == typeid(Poco::JSON::Object::Ptr))
        return {value.extract<Poco::JSON::Object::Ptr>(), pathOf(key), *m_errors};
    addError(key, "an object");
    return {new Poco::JSON::Object(), pathOf(key), *m_errors};
}

JsonObjectReader JsonObjectReader::optionalObject(std::string_view key)
{
    if (has(key))
        return requireObject(key);
    return {new Poco::JSON::Object(), pathOf(key), *m_errors};
}

std::vector<JsonObjectReader> JsonObjectReader::optionalObjects(std::string_view key)
{
    std::vector<JsonObjectReader> objects;
    if (!has(key))
        return objects;
    const auto value = readValue(key);
    if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
        addError(key, "a list of objects");
        return objects;
    }
    const auto &array = value.extract<Poco::JSON::Array::Ptr>();
    for (std::size_t n = 0; n < array->size(); ++n) {
        const auto item = array->get(static_cast<unsigned>(n));
        const auto path = fmt::format("{}[{}]", pathOf(key), n);
        if (item.type() == typeid(Poco::JSON::Object::Ptr)) {
            objects.emplace_back(item.extract<Poco::JSON::Object::Ptr>(), path, *m_errors);
        } else {
            m_errors->push_back({path, "an object"});
        }
    }
    return objects;
}

void JsonObjectReader::rejectUnknownKeys()
{
    for (const auto &name : m_object->getNames()) {
        if (!m_knownKeys.contains(name))
            addError(name, "no such key here");
    }
}

} // namespace Carawaykeel::Configuration
