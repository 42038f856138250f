#pragma once

#include "tamarackcove/Http/HttpError.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace tamarackcove {

/// Maps an error of asio or beast to an error code of this library; the detail is the message of the error.
[[nodiscard]] HttpError toHttpError(const boost::system::error_code &error);
/// The request without its hop-by-hop fields.
[[nodiscard]] HttpRequest requestFromBeast(boost::beast::http::request<boost::beast::http::string_body> request);

/// The header fields without those that frame the message (such as transfer-encoding and content-length) and without
/// the hop-by-hop fields (connection, and those that the Connection field lists).
[[nodiscard]] HttpHeaders headersFromBeast(const boost::beast::http::fields &fields);

} // namespace tamarackcove
