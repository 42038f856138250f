#include "HttpConversion.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace beast = boost::beast;
namespace http = beast::http;

namespace tamarackcove {

HttpError toHttpError(const boost::system::error_code &error)
{
    if (error == beast::error::timeout || error == boost::asio::error::timed_out) {
        return HttpError{HttpErrorCode::TimedOut, "operation did not complete within its timeout"};
    }
    if (error == http::error::body_limit || error == http::error::header_limit) {
        return HttpError{HttpErrorCode::TooLarge, error.message()};
    }
    if (error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message) {
        return HttpError{HttpErrorCode::Malformed, error.message()};
    }
    return HttpError{HttpErrorCode::Closed, error.message()};
}

static std::string_view toView(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Whether the Connection field lists this field, which makes it a hop-by-hop field.
static bool listedInConnection(const http::fields &fields, beast::string_view name)
{
    const auto found = fields.find(http::field::connection);
    if (found == fields.end()) {
        return false;
    }
    for (const auto &token : http::token_list(found->value())) {
        if (beast::iequals(token, name)) {
            return true;
        }
    }
    return false;
}

HttpHeaders headersFromBeast(const http::fields &fields)
{
    HttpHeaders headers;
    for (const auto &field : fields) {
        if (listedInConnection(fields, field.name_string())) {
            continue;
        }
        switch (field.name()) {
        case http::field::connection:
        case http::field::transfer_encoding:
        case http::field::content_length:
        case http::field::keep_alive:
        case http::field::expect:
        case http::field::te:
        case http::field::trailer:
        case http::field::upgrade:
        case http::field::proxy_connection:
            break;
        default:
            headers.set(toView(field.name_string()), toView(field.value()));
        }
    }
    return headers;
}

HttpResponse streamHead(std::string_view contentType)
{
    HttpResponse head;
    head.headers.set("content-type", contentType);
    head.headers.set("cache-control", "no-cache");
    return head;
}

HttpResponse jsonResponse(int status, std::string body)
{
    return HttpResponse{.status = status, .headers = {{"content-type", "application/json"}}, .body = std::move(body)};
}

} // namespace tamarackcove
