#pragma once

#include "tamarackcove/Http/HttpError.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace tamarackcove {

[[nodiscard]] HttpError toHttpError(const boost::system::error_code &error);
[[nodiscard]] HttpRequest fromBeast(boost::beast::http::request<boost::beast::http::string_body> request);

/// The header fields, but for those that frame the message (connection, transfer-encoding, content-length).
[[nodiscard]] HttpHeaders headersFromBeast(const boost::beast::http::fields &fields);

} // namespace tamarackcove
