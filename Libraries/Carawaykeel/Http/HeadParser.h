#pragma once

#include <Carawaykeel/Base/Result.h>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace Carawaykeel::Http {

using RequestHead = std::unique_ptr<Poco::Net::HTTPRequest>;
using ResponseHead = std::unique_ptr<Poco::Net::HTTPResponse>;

/// Returns the length of the head at the start of `bytes`, including the empty line that ends it.
/// Returns nothing if that line has not arrived yet.
std::optional<std::size_t> findHeadEnd(std::string_view bytes);

/// Parses a complete request head. Fails with MalformedRequest for anything that two parsers may
/// interpret differently: bare line feeds, spaces in field names, folded lines, two lengths.
Base::Result<RequestHead> tryParseRequestHead(std::string_view head);

/// Parses a complete response head. Fails with ServerFailed.
Base::Result<ResponseHead> tryParseResponseHead(std::string_view head);

} // namespace Carawaykeel::Http
