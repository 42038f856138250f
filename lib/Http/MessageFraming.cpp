#include "MessageFraming.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <cassert>
#include <fmt/format.h>
#include <string>
#include <utility>

namespace beast = boost::beast;

namespace tamarackcove {

static constexpr std::string_view Http10 = "HTTP/1.0";
static constexpr std::string_view Http11 = "HTTP/1.1";
static constexpr std::string_view NoContentStatus = "204";
/// A length of more digits need not fit into 64 bits.
static constexpr std::size_t MaxLengthDigits = 18;

static HttpError malformed(std::string detail)
{
    return {HttpErrorCode::Malformed, std::move(detail)};
}

static std::string_view withoutOuterSpace(std::string_view text)
{
    const auto begin = std::min(text.find_first_not_of(" \t"), text.size());
    const auto end = text.find_last_not_of(" \t");
    return begin == text.size() ? std::string_view() : text.substr(begin, end + 1 - begin);
}

MessageFraming::MessageFraming(MessageKind kind, std::size_t maxHeadBytes)
    : m_kind(kind)
    , m_maxHeadBytes(maxHeadBytes)
{
    assert(maxHeadBytes > 0 && "a head has bytes");
}

Result<std::optional<std::size_t>, HttpError> MessageFraming::examine(std::string_view bytes)
{
    constexpr std::string_view LineEnd = "\r\n";
    for (;;) {
        const auto at = bytes.find_first_of(LineEnd, m_searched);
        const bool complete = at != std::string_view::npos && at + LineEnd.size() <= bytes.size();
        if (std::min(at, bytes.size()) >= m_maxHeadBytes) {
            return HttpError{HttpErrorCode::TooLarge, fmt::format("a head of more than {} bytes", m_maxHeadBytes)};
        }
        if (at != std::string_view::npos && bytes[at] == '\n') {
            return malformed("a line ends with LF instead of CRLF");
        }
        if (!complete) {
            m_searched = std::min(at, bytes.size());
            return std::optional<std::size_t>();
        }
        if (bytes[at + 1] != '\n') {
            return malformed("CR without LF in the head");
        }
        const auto line = bytes.substr(m_lineStart, at - m_lineStart);
        m_lineStart = m_searched = at + LineEnd.size();
        if (line.empty() && m_startLineExamined) {
            BOOST_OUTCOME_TRY(examineEnd());
            return std::optional(m_lineStart);
        }
        if (m_startLineExamined) {
            BOOST_OUTCOME_TRY(examineField(line));
        } else {
            BOOST_OUTCOME_TRY(examineStartLine(line));
        }
    }
}

Result<void, HttpError> MessageFraming::examineStartLine(std::string_view line)
{
    m_startLineExamined = true;
    const auto version
        = m_kind == MessageKind::Request ? line.substr(line.rfind(' ') + 1) : line.substr(0, Http11.size());
    m_isHttp10 = version == Http10;
    if (!m_isHttp10 && version != Http11) {
        return malformed("the version is neither 1.1 nor 1.0");
    }
    if (m_kind == MessageKind::Response) {
        const auto status = line.substr(std::min(Http11.size() + 1, line.size()));
        // Other statuses are invalid (RFC 9110, section 15). One below 100 would count as an interim response.
        if (status.empty() || status.front() < '1' || status.front() > '5') {
            return malformed("the status is not between 100 and 599");
        }
        m_isBodiless = status.starts_with('1') || status.starts_with(NoContentStatus);
    }
    return ok();
}

Result<void, HttpError> MessageFraming::examineField(std::string_view line)
{
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    if (line.front() == ' ' || line.front() == '\t') {
        return malformed("a folded line");
    }
    if (colon == std::string_view::npos || name.empty() || name.find_first_of(" \t") != std::string_view::npos) {
        return malformed("a field without a name that ends at its colon");
    }
    const auto value = withoutOuterSpace(line.substr(colon + 1));
    if (beast::iequals(name, "content-length")) {
        const bool isNumber = !value.empty() && value.size() <= MaxLengthDigits
            && std::all_of(value.begin(), value.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
        if (std::exchange(m_hasLength, true) || !isNumber) {
            return malformed("content-length is not one number");
        }
        m_hasNonzeroLength = value.find_first_not_of('0') != std::string_view::npos;
    }
    if (beast::iequals(name, "transfer-encoding")) {
        // Other codings would have to be decoded, as the bodies of messages are passed on without any.
        if (std::exchange(m_isChunked, true) || !beast::iequals(value, "chunked")) {
            return malformed("transfer-encoding is not just chunked");
        }
    }
    return ok();
}

Result<void, HttpError> MessageFraming::examineEnd() const
{
    if (m_isChunked && m_hasLength) {
        return malformed("both transfer-encoding and content-length");
    }
    if (m_isChunked && m_isHttp10) {
        return malformed("transfer-encoding in a message of HTTP/1.0");
    }
    if (m_isBodiless && (m_isChunked || m_hasNonzeroLength)) {
        return malformed("a body after a status that has none");
    }
    return ok();
}

} // namespace tamarackcove
