#include "tamarackcove/Http/HttpHeaders.h"

#include <boost/beast/core/string.hpp>

namespace tamarackcove {

static bool sameName(std::string_view left, std::string_view right)
{
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

HttpHeaders::HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> fields)
    : m_fields(fields)
{
}

void HttpHeaders::set(std::string_view name, std::string_view value)
{
    for (auto &field : m_fields) {
        if (sameName(field.first, name)) {
            field.second = value;
            return;
        }
    }
    m_fields.emplace_back(name, value);
}

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const
{
    for (const auto &field : m_fields) {
        if (sameName(field.first, name)) {
            return field.second;
        }
    }
    return std::nullopt;
}

const std::vector<std::pair<std::string, std::string>> &HttpHeaders::fields() const
{
    return m_fields;
}

} // namespace tamarackcove
