#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace tamarackcove {

/// A counter of one kind, such as a revision or a fencing number. Counters of different kinds are distinct types and do
/// not convert into each other.
///
/// Thread safety: a value type; distinct objects may be used from distinct threads.
template<typename Tag>
class Number
{
public:
    constexpr Number() = default;
    constexpr explicit Number(std::uint64_t value)
        : m_value(value)
    {
    }

    [[nodiscard]] constexpr std::uint64_t value() const
    {
        return m_value;
    }
    [[nodiscard]] constexpr Number next() const
    {
        return Number(m_value + 1);
    }

    constexpr auto operator<=>(const Number &) const = default;

private:
    std::uint64_t m_value = 0;
};

} // namespace tamarackcove

template<typename Tag>
struct std::hash<tamarackcove::Number<Tag>>
{
    std::size_t operator()(const tamarackcove::Number<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t>()(number.value());
    }
};
