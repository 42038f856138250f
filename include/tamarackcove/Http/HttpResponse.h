#pragma once

#include "tamarackcove/Http/HttpHeaders.h"

#include <string>

namespace tamarackcove {

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    /// The whole body; empty in the head of a streamed response.
    std::string body;
};

/// The head of a streamed response. Its `cache-control` field asks intermediaries not to cache or buffer the stream.
[[nodiscard]] HttpResponse streamHead(std::string_view contentType);

/// A response with a JSON body.
[[nodiscard]] HttpResponse jsonResponse(int status, std::string body);

} // namespace tamarackcove
