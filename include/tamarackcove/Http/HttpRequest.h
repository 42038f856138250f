#pragma once

#include "tamarackcove/Http/HttpHeaders.h"

#include <string>

namespace tamarackcove {

struct HttpRequest
{
    std::string method = "GET";
    /// Path and query.
    std::string target = "/";
    HttpHeaders headers;
    std::string body;

    /// The path without the query.
    [[nodiscard]] std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

} // namespace tamarackcove
