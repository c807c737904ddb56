#include <Carawaykeel/Http/HeadParser.h>

#include <Carawaykeel/Http/FieldLine.h>

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/String.h>
#include <algorithm>
#include <limits>
#include <string>

namespace Carawaykeel::Http {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";

/// Bytes of one field in the list of a message besides its text: two strings, two links and the
/// allocator's header.
constexpr std::size_t FieldNodeBytes = 96;

/// Returns true if every line ends with CRLF and has no other control character except tabs, and
/// every line after the first is a field line.
bool isWellFormed(std::string_view head)
{
    bool isFirst = true;
    while (head.size() > LineEnd.size()) {
        const auto end = head.find(LineEnd);
        const auto line = head.substr(0, end);
        if (isFirst ? hasControlCharacter(line) : !isFieldLine(line))
            return false;
        isFirst = false;
        head.remove_prefix(end + LineEnd.size());
    }
    return head == LineEnd;
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view Blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(Blanks), text.size()));
    return text.substr(0, text.find_last_not_of(Blanks) + 1);
}

/// Returns true if the status is three digits from 100 to 599. The library reads any number, also a
/// signed or grouped one, and a status below 200 would count as that of an interim response.
bool hasValidStatus(std::string_view statusLine)
{
    constexpr std::string_view Blanks = " \t";
    constexpr std::size_t StatusLength = 3;
    auto status =
        trim(statusLine.substr(std::min(statusLine.find_first_of(Blanks), statusLine.size())));
    status = status.substr(0, status.find_first_of(Blanks));
    return status.size() == StatusLength && status.front() >= '1' && status.front() <= '5'
        && std::ranges::all_of(status, [](char c) { return c >= '0' && c <= '9'; });
}

/// Adds the fields of a well-formed head without its first line.
void addFields(std::string_view lines, Poco::Net::HTTPMessage &message)
{
    while (lines.size() > LineEnd.size()) {
        const auto end = lines.find(LineEnd);
        const auto colon = lines.find(':');
        message.add(std::string(lines.substr(0, colon)),
            std::string(trim(lines.substr(colon + 1, end - colon - 1))));
        lines.remove_prefix(end + LineEnd.size());
    }
}

/// Returns a description of the ambiguity in the body's length, or an empty string.
std::string_view describeLengthAmbiguity(const Poco::Net::HTTPMessage &message)
{
    const auto lengthFieldCount =
        std::count_if(message.begin(), message.end(), [](const auto &field) {
            return Poco::icompare(field.first, Poco::Net::HTTPMessage::CONTENT_LENGTH) == 0;
        });
    const bool hasTransferCoding = message.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING);
    if (lengthFieldCount > 1)
        return "more than one length";
    if (lengthFieldCount == 1 && hasTransferCoding)
        return "both a length and a transfer coding";
    if (lengthFieldCount == 1) {
        const auto &text = message.get(Poco::Net::HTTPMessage::CONTENT_LENGTH);
        const bool isNumber = !text.empty()
            && text.size() < std::numeric_limits<std::int64_t>::digits10
            && std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
        return isNumber ? "" : "a length that is no number";
    }
    if (hasTransferCoding
        && Poco::icompare(message.get(Poco::Net::HTTPMessage::TRANSFER_ENCODING),
               Poco::Net::HTTPMessage::CHUNKED_TRANSFER_ENCODING)
            != 0)
        return "an unknown transfer coding";
    return "";
}

template <typename Head>
Base::Result<std::unique_ptr<Head>> tryParse(std::string_view text, Base::ErrorKind kind)
{
    if (!isWellFormed(text))
        return Base::fail(kind, "the head is not well formed");
    auto head = std::make_unique<Head>();
    const auto startLineEnd = text.find(LineEnd) + LineEnd.size();
    const auto startLine = std::string(text.substr(0, startLineEnd)) + std::string(LineEnd);
    try {
        Poco::MemoryInputStream stream(
            startLine.data(), static_cast<std::streamsize>(startLine.size()));
        head->read(stream);
        // The library limits a value to 8 KB, also where the operator allows longer heads.
        addFields(text.substr(startLineEnd), *head);
    } catch (const Poco::Exception &ex) {
        return Base::fail(kind, "the head cannot be parsed: " + ex.displayText());
    }
    if (const auto ambiguity = describeLengthAmbiguity(*head); !ambiguity.empty())
        return Base::fail(kind, "the head has " + std::string(ambiguity));
    return head;
}

} // namespace

std::optional<std::size_t> findHeadEnd(std::string_view bytes)
{
    const auto end = bytes.find(HeadEnd);
    if (end == std::string_view::npos)
        return std::nullopt;
    return end + HeadEnd.size();
}

std::size_t estimateParsedBytes(std::string_view head)
{
    const auto lines = static_cast<std::size_t>(std::ranges::count(head, '\n'));
    return head.size() + lines * FieldNodeBytes;
}

std::size_t occupiedBytes(const Poco::Net::HTTPMessage &head)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : head)
        bytes += FieldNodeBytes + name.size() + value.size();
    return bytes;
}

Base::Result<RequestHead> tryParseRequestHead(std::string_view head)
{
    return tryParse<Poco::Net::HTTPRequest>(head, Base::ErrorKind::MalformedRequest);
}

Base::Result<ResponseHead> tryParseResponseHead(std::string_view head)
{
    if (!hasValidStatus(head.substr(0, head.find(LineEnd))))
        return Base::fail(Base::ErrorKind::ServerFailed, "the status is not from 100 to 599");
    return tryParse<Poco::Net::HTTPResponse>(head, Base::ErrorKind::ServerFailed);
}

} // namespace Carawaykeel::Http
