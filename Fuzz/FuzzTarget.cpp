#include <Support/DecoderCatalog.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace {

/// Returns the decoder whose name this target was built with.
const Carawaykeel::Tests::CataloguedDecoder &decoder()
{
    static const auto &found = *std::ranges::find(Carawaykeel::Tests::decoderCatalog(),
        FUZZED_DECODER, &Carawaykeel::Tests::CataloguedDecoder::name);
    return found;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *bytes, std::size_t size)
{
    decoder().decode(std::string_view(reinterpret_cast<const char *>(bytes), size));
    return 0;
}
