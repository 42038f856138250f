#pragma once

#include "tamarackcove/Http/HttpError.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <boost/beast/http/fields.hpp>
#include <boost/system/error_code.hpp>

namespace tamarackcove {

/// Maps an error of asio or beast to an error code of this library; the detail is the message of the error.
[[nodiscard]] HttpError toHttpError(const boost::system::error_code &error);

/// The header fields without those that frame the message (such as transfer-encoding and content-length) and without
/// the hop-by-hop fields (connection, and those that the Connection field lists).
[[nodiscard]] HttpHeaders headersFromBeast(const boost::beast::http::fields &fields);

} // namespace tamarackcove
