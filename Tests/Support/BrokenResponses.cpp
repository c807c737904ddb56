#include <Support/BrokenResponses.h>

#include <cctype>
#include <fmt/core.h>
#include <utility>

namespace Carawaykeel::Tests {

namespace {

constexpr int ByteCount = 256;

/// Where a response has a field whose name is invalid.
enum class FieldPlace { Head, InterimHead, Trailer };

std::string validResponse(const ResponseContent &content, std::string_view extraField = {})
{
    return fmt::format("HTTP/1.1 200 OK\r\n{}{}Content-Length: {}\r\n\r\n{}", content.fields,
        extraField, content.body.size(), content.body);
}

std::string chunkedResponse(const ResponseContent &content, std::string_view trailer)
{
    return fmt::format(
        "HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n{}\r\n",
        content.fields, content.body.size(), content.body, trailer);
}

std::string responseWithField(
    FieldPlace place, const ResponseContent &content, const std::string &field)
{
    switch (place) {
    case FieldPlace::Head:
        return validResponse(content, field);
    case FieldPlace::InterimHead:
        return fmt::format("HTTP/1.1 103 Early Hints\r\n{}\r\n{}", field, validResponse(content));
    case FieldPlace::Trailer:
        break;
    }
    return chunkedResponse(content, field);
}

std::string_view nameOf(FieldPlace place)
{
    switch (place) {
    case FieldPlace::Head:
        return "head";
    case FieldPlace::InterimHead:
        return "interim head";
    case FieldPlace::Trailer:
        break;
    }
    return "trailer";
}

std::vector<BrokenResponse> responsesWithInvalidFieldName(
    FieldPlace place, const ResponseContent &content)
{
    std::vector<BrokenResponse> responses;
    const auto add = [&](const std::string &name, std::string_view position, char c) {
        const auto byte = static_cast<unsigned char>(c);
        responses.push_back(
            {fmt::format("byte {:02x} {} of a name in the {}", byte, position, nameOf(place)),
                responseWithField(place, content, name + ": v\r\n")});
    };
    for (const char c : invalidNameBytes()) {
        add(std::string("X") + c + "Y", "in the middle", c);
        add(std::string("X-Y") + c, "at the end", c);
        add(c + std::string("X-Y"), "at the start", c);
    }
    add("", "instead", ':');
    responses.push_back({fmt::format("no colon in the {}", nameOf(place)),
        responseWithField(place, content, "X-Y\r\n")});
    if (place == FieldPlace::Head) {
        // A lenient reader takes the body to be shorter or longer than it is.
        for (const auto *name : {"Content-Length ", "Content-Length\t", "Transfer-Encoding "}) {
            responses.push_back({fmt::format("framing field '{}'", name),
                fmt::format("HTTP/1.1 200 OK\r\n{}{}: 1\r\nConnection: close\r\n\r\n{}",
                    content.fields, name, content.body)});
        }
    }
    return responses;
}

} // namespace

std::vector<std::string> invalidStatusCodes()
{
    return {"000", "001", "010", "099", "600", "700", "999", "1000", "2000", "0200", "00200", "20",
        "2", "0", "-1", "-20", "+20", "+200", "2x0", "20x", "x00", "2,0", "2.0", "0x1", "2 00",
        "\"200\"", "", "2\xb2\xb2"};
}

std::string invalidNameBytes()
{
    constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~:";
    std::string bytes;
    for (int n = 0; n < ByteCount; ++n) {
        const bool isAlphanumeric = n < ByteCount / 2 && std::isalnum(n) != 0;
        if (!isAlphanumeric && Punctuation.find(static_cast<char>(n)) == std::string_view::npos)
            bytes += static_cast<char>(n);
    }
    return bytes;
}

std::vector<BrokenResponse> responsesWithInvalidStatus(const ResponseContent &content)
{
    std::vector<BrokenResponse> responses;
    for (const auto &status : invalidStatusCodes()) {
        const auto head = fmt::format("HTTP/1.1 {} Any\r\n{}", status, content.fields);
        responses.push_back({fmt::format("status '{}'", status),
            fmt::format(
                "{}Content-Length: {}\r\n\r\n{}", head, content.body.size(), content.body)});
        responses.push_back({fmt::format("status '{}' without a body", status),
            head + "Content-Length: 0\r\n\r\n"});
        // A reader that takes the head for an interim one reads the body as the response.
        responses.push_back({fmt::format("status '{}' before a valid response", status),
            head + "\r\n" + validResponse(content)});
    }
    return responses;
}

std::vector<BrokenResponse> responsesWithInvalidHead(const ResponseContent &content)
{
    return responsesWithInvalidFieldName(FieldPlace::Head, content);
}

std::vector<BrokenResponse> responsesWithInvalidInterimHead(const ResponseContent &content)
{
    return responsesWithInvalidFieldName(FieldPlace::InterimHead, content);
}

std::vector<BrokenResponse> responsesWithInvalidTrailer(const ResponseContent &content)
{
    return responsesWithInvalidFieldName(FieldPlace::Trailer, content);
}

std::vector<EarlyResponse> partsOfEarlyResponses(const ResponseContent &content)
{
    using Then = ScriptedResponse::Then;
    const auto &part = content.body;
    const std::pair<std::string, std::string> framings[]{
        {"", part},
        {fmt::format("Content-Length: {}\r\n", part.size() + 1), part},
        {"Transfer-Encoding: chunked\r\n", fmt::format("{:x}\r\n{}\r\n", part.size(), part)},
    };
    const std::pair<std::string, Then> ends[]{{"reset", Then::Reset}, {"close", Then::Close},
        {"half-close", Then::HalfClose}, {"half-close and reset", Then::HalfCloseThenReset}};
    std::vector<EarlyResponse> responses;
    for (const auto &[framing, body] : framings) {
        for (const auto &[end, then] : ends) {
            for (const auto pause : {0, 100}) {
                responses.push_back({fmt::format("'{}' with a {} after {} ms",
                                         framing.substr(0, framing.find(':')), end, pause),
                    {fmt::format("HTTP/1.1 200 OK\r\n{}{}\r\n{}", content.fields, framing, body),
                        then, {}, std::chrono::milliseconds(pause)}});
            }
        }
    }
    return responses;
}

std::vector<BrokenResponse> selectedBrokenResponses(const ResponseContent &content)
{
    std::vector<BrokenResponse> responses;
    for (const auto *status : {"000", "099", "600", "20", "2000"}) {
        responses.push_back({fmt::format("status '{}' before a valid response", status),
            fmt::format("HTTP/1.1 {} Any\r\n\r\n{}", status, validResponse(content))});
    }
    for (const auto place : {FieldPlace::Head, FieldPlace::InterimHead, FieldPlace::Trailer}) {
        for (const char c : {' ', '\t', '\x01', '\x7f'}) {
            responses.push_back(
                {fmt::format("byte {:02x} of a name in the {}", static_cast<int>(c), nameOf(place)),
                    responseWithField(place, content, std::string("X") + c + "Y: v\r\n")});
        }
    }
    return responses;
}

} // namespace Carawaykeel::Tests
