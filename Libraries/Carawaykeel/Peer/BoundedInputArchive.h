#pragma once

#include <cereal/archives/binary.hpp>
#include <cereal/cereal.hpp>
#include <cstddef>
#include <cstring>
#include <span>
#include <type_traits>

namespace Carawaykeel::Peer {

/// Reads the output of cereal's binary archive from untrusted bytes: no read goes past the end, and
/// no container may have more elements than bytes remain. Errors are thrown as
/// cereal::Exception.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedInputArchive(std::span<const char> bytes)
        : InputArchive(this)
        , m_remaining(bytes)
    {
    }

    void loadBinary(void *data, std::size_t size)
    {
        if (size > m_remaining.size())
            throw cereal::Exception("message is too short");
        std::memcpy(data, m_remaining.data(), size);
        m_remaining = m_remaining.subspan(size);
    }

    std::size_t remaining() const { return m_remaining.size(); }

private:
    std::span<const char> m_remaining;
};

// cereal requires these names and signatures of an archive.
// NOLINTBEGIN(readability-identifier-naming)
template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(
    BoundedInputArchive &archive, T &value)
{
    archive.loadBinary(std::addressof(value), sizeof(value));
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &archive, cereal::SizeTag<T> &tag)
{
    archive(tag.size);
    if (tag.size > archive.remaining())
        throw cereal::Exception("container claims more than the message holds");
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}
// NOLINTEND(readability-identifier-naming)

} // namespace Carawaykeel::Peer

CEREAL_REGISTER_ARCHIVE(Carawaykeel::Peer::BoundedInputArchive)

/// Declares the output archive whose data this archive reads. CEREAL_SETUP_ARCHIVE_TRAITS would
/// also declare the reverse mapping, which belongs to cereal's binary input archive.
template <>
struct cereal::traits::detail::get_output_from_input<Carawaykeel::Peer::BoundedInputArchive>
{
    using type = cereal::BinaryOutputArchive;
};
