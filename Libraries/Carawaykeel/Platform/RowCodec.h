#pragma once

#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Base/Verify.h>

#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>
#include <string>
#include <string_view>

namespace Carawaykeel::Platform {

/// Encodes a typed row for the table service, as JSON so that operators can read it there.
template <typename T>
std::string encodeRow(const T &row)
{
    std::ostringstream stream;
    {
        cereal::JSONOutputArchive archive(stream, cereal::JSONOutputArchive::Options::NoIndent());
        archive(cereal::make_nvp("row", row));
    }
    return stream.str();
}

/// Decodes a typed row. Fails with Internal when the text is not such a row.
template <typename T>
Base::Result<T> tryDecodeRow(std::string_view text)
{
    try {
        std::istringstream stream{std::string(text)};
        cereal::JSONInputArchive archive(stream);
        T row;
        archive(cereal::make_nvp("row", row));
        return row;
    } catch (const std::exception &ex) {
        return Base::fail(Base::ErrorKind::Internal, ex.what());
    }
}

/// Decodes a row that a router instance wrote. Aborts the process when that fails: no tokens may be
/// spent from a ledger that cannot be read.
template <typename T>
T decodeRow(std::string_view text)
{
    auto outcome = Base::toOutcome<T>([&] { return tryDecodeRow<T>(text); });
    Base::verify(std::holds_alternative<T>(outcome), "a row of the platform's table can be read");
    return std::get<T>(std::move(outcome));
}

} // namespace Carawaykeel::Platform
