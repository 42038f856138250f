#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Http/HttpError.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace tamarackcove {

enum class MessageKind {
    Request,
    Response,
};

/// Finds the end of the head of an HTTP/1.x message and checks that the head frames the message in one way only (RFC
/// 9112, sections 2.2, 5.1, 5.2, 6.1 to 6.3 and 11.2). A message that another recipient could end elsewhere is refused,
/// as the bytes after its end would count as a further message there. A response with a status outside 100 to 599 is
/// refused as well.
///
/// Stricter than the parser of Beast, which unfolds lines, ignores a transfer coding other than chunked, and lets a
/// message have several equal lengths.
///
/// Thread safety: used on one thread.
class MessageFraming
{
public:
    /// Precondition: `maxHeadBytes` is positive.
    MessageFraming(MessageKind kind, std::size_t maxHeadBytes);

    /// Examines the bytes of a message that have arrived so far. Returns the size of its head, with the empty line
    /// after it, once the head is complete; nothing before. The error is Malformed, or TooLarge if the head exceeds its
    /// limit. Precondition: `bytes` begins with the bytes of the previous call, and that call found neither an end nor
    /// an error.
    Result<std::optional<std::size_t>, HttpError> examine(std::string_view bytes);

private:
    Result<void, HttpError> examineStartLine(std::string_view line);
    Result<void, HttpError> examineField(std::string_view line);
    [[nodiscard]] Result<void, HttpError> examineEnd() const;

    MessageKind m_kind;
    std::size_t m_maxHeadBytes;
    /// Where the first line begins that was not examined yet.
    std::size_t m_lineStart = 0;
    /// Up to where that line was searched for its end.
    std::size_t m_searched = 0;
    bool m_startLineExamined = false;
    bool m_isHttp10 = false;
    /// Whether the status of the response allows it neither a length nor a transfer coding.
    bool m_isBodiless = false;
    bool m_hasLength = false;
    bool m_hasNonzeroLength = false;
    bool m_isChunked = false;
};

} // namespace tamarackcove
