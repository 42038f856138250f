#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tamarackcove {

/// Header fields in the order in which they were set. Names are compared case-insensitively.
///
/// Thread safety: a value type; distinct objects may be used from distinct threads.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> fields);

    /// Replaces the field of this name, or adds it.
    void set(std::string_view name, std::string_view value);
    /// The value of the field of this name, valid until the headers change; nothing when there is no such field.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    [[nodiscard]] const std::vector<std::pair<std::string, std::string>> &fields() const;

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

} // namespace tamarackcove
