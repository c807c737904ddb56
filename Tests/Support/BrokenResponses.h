#pragma once

#include <Support/ScriptedServer.h>

#include <string>
#include <string_view>
#include <vector>

namespace Carawaykeel::Tests {

/// Bytes of a backend server that are not a valid response, although a lenient reader takes them
/// for one.
struct BrokenResponse
{
    /// Names the case in the report of a failed check.
    std::string name;
    std::string bytes;
};

/// What a valid response has in the place of the broken one.
struct ResponseContent
{
    /// Each ends with CR LF.
    std::string fields;
    std::string body;
};

/// Returns status codes that are not three digits from 100 to 599.
std::vector<std::string> invalidStatusCodes();

/// Returns the bytes that no field name may contain, without the colon that ends it.
std::string invalidNameBytes();

std::vector<BrokenResponse> responsesWithInvalidStatus(const ResponseContent &content);

/// Return responses with a field whose name is invalid: in the head, in the head of an interim
/// response before a valid one, and in the trailer section of a chunked body.
std::vector<BrokenResponse> responsesWithInvalidHead(const ResponseContent &content);
std::vector<BrokenResponse> responsesWithInvalidInterimHead(const ResponseContent &content);
std::vector<BrokenResponse> responsesWithInvalidTrailer(const ResponseContent &content);

/// A part of a response, for a server that does not read the whole request, and how the connection
/// ends.
struct EarlyResponse
{
    std::string name;
    ScriptedResponse response;
};

/// Returns responses whose body is a part of one, in each framing: without a length, with one and
/// in chunks. Each ends with a reset, a close, or a close of the sending side, or with that and a
/// reset, at once and some time after the bytes.
std::vector<EarlyResponse> partsOfEarlyResponses(const ResponseContent &content);

/// Returns a few of each kind, for tests that start processes for each.
std::vector<BrokenResponse> selectedBrokenResponses(const ResponseContent &content);

} // namespace Carawaykeel::Tests
