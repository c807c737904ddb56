#pragma once

#include <compare>
#include <cstdint>

namespace Carawaykeel::Base {

/// A signed 64-bit number that cannot be mixed with numbers of another Tag. Arithmetic is not
/// checked for overflow; amounts stay far below the 64-bit range.
template <typename Tag>
class StrongNumber
{
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(std::int64_t count)
        : m_count(count)
    {
    }

    /// Returns the plain number in the unit of the alias.
    constexpr std::int64_t count() const { return m_count; }

    constexpr auto operator<=>(const StrongNumber &) const = default;

    constexpr StrongNumber operator+(StrongNumber other) const
    {
        return StrongNumber(m_count + other.m_count);
    }
    constexpr StrongNumber operator-(StrongNumber other) const
    {
        return StrongNumber(m_count - other.m_count);
    }
    constexpr StrongNumber operator*(std::int64_t factor) const
    {
        return StrongNumber(m_count * factor);
    }
    constexpr StrongNumber operator/(std::int64_t divisor) const
    {
        return StrongNumber(m_count / divisor);
    }
    constexpr StrongNumber &operator+=(StrongNumber other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr StrongNumber &operator-=(StrongNumber other)
    {
        m_count -= other.m_count;
        return *this;
    }

    template <class Archive>
    std::int64_t save_minimal(const Archive &) const
    {
        return m_count;
    }
    template <class Archive>
    void load_minimal(const Archive &, const std::int64_t &n)
    {
        m_count = n;
    }

private:
    std::int64_t m_count = 0;
};

} // namespace Carawaykeel::Base
