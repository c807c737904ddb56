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

constexpr std::size_t LongestName = 64;
constexpr int LargestPort = 65'535;
constexpr std::size_t DeepestDocument = 16;

bool isIpNumber(std::string text)
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
    const bool isPort = ec == std::errc() && end == digits.data() + digits.size() && port >= 1
        && port <= LargestPort;
    return isPort && isIpNumber(std::string(text.substr(0, colon)));
}

bool isName(std::string_view text)
{
    const auto isAllowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= LongestName
        && std::all_of(text.begin(), text.end(), isAllowed);
}

JsonObjectReader::JsonObjectReader(
    Poco::JSON::Object::Ptr object, std::string path, ValidationErrors &faults)
    : m_object(std::move(object))
    , m_path(std::move(path))
    , m_faults(&faults)
{
}

JsonObjectReader JsonObjectReader::parse(std::string_view text, ValidationErrors &faults)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(DeepestDocument);
        const auto value = parser.parse(blankComments(text));
        if (value.type() == typeid(Poco::JSON::Object::Ptr))
            return {value.extract<Poco::JSON::Object::Ptr>(), "", faults};
        faults.push_back({"", "a JSON object"});
    } catch (const Poco::Exception &ex) {
        faults.push_back({"", "well-formed JSON: " + ex.displayText()});
    } catch (const std::exception &ex) {
        faults.push_back({"", std::string("well-formed JSON: ") + ex.what()});
    }
    return {new Poco::JSON::Object(), "", faults};
}

std::string JsonObjectReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void JsonObjectReader::addError(std::string_view key, std::string expected)
{
    m_faults->push_back({pathOf(key), std::move(expected)});
}

bool JsonObjectReader::has(std::string_view key) const
{
    return m_object->has(std::string(key));
}

Poco::Dynamic::Var JsonObjectReader::take(std::string_view key)
{
    m_asked.insert(std::string(key));
    return m_object->get(std::string(key));
}

std::optional<std::string> JsonObjectReader::takeText(std::string_view key)
{
    const auto value = take(key);
    if (!value.isString())
        return std::nullopt;
    return value.extract<std::string>();
}

std::string JsonObjectReader::requireString(std::string_view key)
{
    auto text = takeText(key);
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
    std::string_view key, std::int64_t smallest, std::int64_t largest)
{
    const auto value = take(key);
    const bool isInteger = !value.isEmpty() && value.isInteger() && !value.isBoolean();
    std::int64_t n = 0;
    bool isInRange = false;
    if (isInteger) {
        try {
            n = value.convert<std::int64_t>();
            isInRange = n >= smallest && n <= largest;
        } catch (const Poco::Exception &) {
            isInRange = false;
        }
    }
    if (!isInRange) {
        addError(key, fmt::format("a whole number from {} to {}", smallest, largest));
        return smallest;
    }
    return n;
}

std::int64_t JsonObjectReader::optionalInteger(
    std::string_view key, std::int64_t fallback, std::int64_t smallest, std::int64_t largest)
{
    return has(key) ? requireInteger(key, smallest, largest) : fallback;
}

double JsonObjectReader::optionalNumber(
    std::string_view key, double fallback, double smallest, double largest)
{
    if (!has(key))
        return fallback;
    const auto value = take(key);
    if (value.isNumeric() && !value.isBoolean()) {
        const auto number = value.convert<double>();
        if (number >= smallest && number <= largest)
            return number;
    }
    addError(key, "a number from " + std::to_string(smallest) + " to " + std::to_string(largest));
    return fallback;
}

bool JsonObjectReader::optionalBool(std::string_view key, bool fallback)
{
    if (!has(key))
        return fallback;
    const auto value = take(key);
    if (value.isBoolean())
        return value.extract<bool>();
    addError(key, "true or false");
    return fallback;
}

std::string JsonObjectReader::requireName(std::string_view key)
{
    auto text = takeText(key);
    if (!text || !isName(*text))
        addError(key, "a name of 1 to 64 letters, digits, '.', '_' or '-'");
    return text.value_or("");
}

std::string JsonObjectReader::requireAddress(std::string_view key)
{
    auto text = takeText(key);
    if (!text || !isSocketAddress(*text))
        addError(key, "an IP number and a port, as 127.0.0.1:8080");
    return text.value_or("");
}

std::string JsonObjectReader::optionalAddress(std::string_view key)
{
    return has(key) ? requireAddress(key) : std::string();
}

std::size_t JsonObjectReader::requireChoice(
    std::string_view key, const std::vector<std::string_view> &words)
{
    const auto text = takeText(key);
    for (std::size_t n = 0; text && n < words.size(); ++n) {
        if (words[n] == *text)
            return n;
    }
    std::string all;
    for (const auto word : words)
        all += (all.empty() ? "\"" : ", \"") + std::string(word) + "\"";
    addError(key, "one of " + all);
    return 0;
}

std::vector<std::string> JsonObjectReader::optionalStrings(std::string_view key)
{
    std::vector<std::string> texts;
    if (!has(key))
        return texts;
    const auto value = take(key);
    if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
        addError(key, "a list of texts");
        return texts;
    }
    const auto &array = value.extract<Poco::JSON::Array::Ptr>();
    for (std::size_t n = 0; n < array->size(); ++n) {
        const auto item = array->get(static_cast<unsigned>(n));
        if (item.isString()) {
            texts.push_back(item.extract<std::string>());
        } else {
            addError(fmt::format("{}[{}]", key, n), "a text");
        }
    }
    return texts;
}

std::vector<std::string> JsonObjectReader::optionalAddresses(std::string_view key)
{
    auto texts = optionalStrings(key);
    for (std::size_t n = 0; n < texts.size(); ++n) {
        if (!isSocketAddress(texts[n]))
            addError(fmt::format("{}[{}]", key, n), "an IP number and a port, as 127.0.0.1:8080");
    }
    return texts;
}

JsonObjectReader JsonObjectReader::requireObject(std::string_view key)
{
    const auto value = take(key);
    if (value.type() == typeid(Poco::JSON::Object::Ptr))
        return {value.extract<Poco::JSON::Object::Ptr>(), pathOf(key), *m_faults};
    addError(key, "an object");
    return {new Poco::JSON::Object(), pathOf(key), *m_faults};
}

JsonObjectReader JsonObjectReader::optionalObject(std::string_view key)
{
    if (has(key))
        return requireObject(key);
    return {new Poco::JSON::Object(), pathOf(key), *m_faults};
}

std::vector<JsonObjectReader> JsonObjectReader::optionalObjects(std::string_view key)
{
    std::vector<JsonObjectReader> objects;
    if (!has(key))
        return objects;
    const auto value = take(key);
    if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
        addError(key, "a list of objects");
        return objects;
    }
    const auto &array = value.extract<Poco::JSON::Array::Ptr>();
    for (std::size_t n = 0; n < array->size(); ++n) {
        const auto item = array->get(static_cast<unsigned>(n));
        const auto path = fmt::format("{}[{}]", pathOf(key), n);
        if (item.type() == typeid(Poco::JSON::Object::Ptr)) {
            objects.emplace_back(item.extract<Poco::JSON::Object::Ptr>(), path, *m_faults);
        } else {
            m_faults->push_back({path, "an object"});
        }
    }
    return objects;
}

void JsonObjectReader::rejectUnknownKeys()
{
    for (const auto &name : m_object->getNames()) {
        if (!m_asked.contains(name))
            addError(name, "no such key here");
    }
}

} // namespace Carawaykeel::Configuration
