#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace tamarackcove {

/// A string identifier of one kind, such as a target or a zone. Ids of different kinds are distinct types and do not
/// convert into each other.
///
/// Thread safety: a value type; distinct objects may be used from distinct threads.
template<typename Tag>
class StringId
{
public:
    StringId() = default;
    explicit StringId(std::string value)
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] const std::string &value() const
    {
        return m_value;
    }
    [[nodiscard]] bool empty() const
    {
        return m_value.empty();
    }

    auto operator<=>(const StringId &) const = default;

private:
    std::string m_value;
};

} // namespace tamarackcove

template<typename Tag>
struct std::hash<tamarackcove::StringId<Tag>>
{
    std::size_t operator()(const tamarackcove::StringId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
