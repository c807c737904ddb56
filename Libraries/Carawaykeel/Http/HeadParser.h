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

/// Returns the number of bytes that a head of these fields occupies once it is parsed. An estimate
/// from the lines alone, so that a head can be refused before its fields become nodes of a map.
std::size_t estimateParsedBytes(std::string_view head);

/// Returns the number of bytes that a parsed head occupies.
std::size_t occupiedBytes(const Poco::Net::HTTPMessage &head);

/// Parses a complete request head. Fails with MalformedRequest for anything that two parsers may
/// interpret differently: bare line feeds, spaces in field names, folded lines, two lengths.
Base::Result<RequestHead> tryParseRequestHead(std::string_view head);

/// Parses a complete response head. Fails with ServerFailed for what tryParseRequestHead() rejects
/// and for a status that is not three digits from 100 to 599.
Base::Result<ResponseHead> tryParseResponseHead(std::string_view head);

} // namespace Carawaykeel::Http
