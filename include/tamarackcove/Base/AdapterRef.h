#pragma once

#include <compare>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// An adapter and one of its versions, written `name@version`.
///
/// Thread safety: a value type; distinct objects may be used from distinct threads.
class AdapterRef
{
public:
    AdapterRef() = default;
    AdapterRef(std::string name, std::string version);

    /// Parses `name@version`. Returns nothing when either part is empty or holds a character outside
    /// `[A-Za-z0-9._/-]`, or when the text is longer than 256 bytes.
    [[nodiscard]] static std::optional<AdapterRef> parse(std::string_view text);

    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }
    [[nodiscard]] const std::string &version() const
    {
        return m_version;
    }
    [[nodiscard]] std::string toString() const;

    auto operator<=>(const AdapterRef &) const = default;

private:
    std::string m_name;
    std::string m_version;
};

} // namespace tamarackcove

template<>
struct std::hash<tamarackcove::AdapterRef>
{
    std::size_t operator()(const tamarackcove::AdapterRef &adapter) const noexcept;
};
