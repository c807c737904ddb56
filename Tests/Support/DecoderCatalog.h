#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Carawaykeel::Tests {

/// A decoder of bytes that others send.
struct CataloguedDecoder
{
    std::string name;
    /// Valid inputs, to be mutated.
    std::vector<std::string> samples;
    /// Decodes bytes and drops the result. Must neither throw nor break an invariant; it aborts if
    /// a decoder's own promise does not hold.
    std::function<void(std::string_view)> decode;
};

/// Returns all decoders of bytes from callers, servers, the table service and other instances. Unit
/// tests feed them seeded random bytes, the fuzz targets in Fuzz/ search for inputs.
const std::vector<CataloguedDecoder> &decoderCatalog();

} // namespace Carawaykeel::Tests
