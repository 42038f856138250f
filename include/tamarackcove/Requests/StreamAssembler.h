#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Orders the pieces of one response by their offsets, in tokens, and tracks the offset from which a broken response is
/// to be resumed.
///
/// Duplicate pieces are dropped. A piece that arrives before its predecessors is kept until they have arrived; at most
/// maxEarlyPieces pieces are kept. The payload is not interpreted.
/// Thread safety: used on one thread.
class StreamAssembler
{
public:
    enum class Verdict {
        /// The piece is next. The caller of place() delivers the piece, then the payloads that takeReady() appends.
        Next,
        /// The piece arrived before and is dropped.
        Duplicate,
        /// The piece is kept until the pieces before it have arrived.
        Early,
        /// The piece overlaps delivered pieces in part, or maxEarlyPieces pieces are kept already. The caller must
        /// resume at nextOffset().
        Unusable,
    };

    /// Precondition: maxEarlyPieces is positive.
    explicit StreamAssembler(std::size_t maxEarlyPieces = 64);

    /// Classifies a piece of `length` tokens and keeps a copy if the piece is early.
    /// Precondition: length is positive.
    [[nodiscard]] Verdict place(std::uint64_t offset, std::uint64_t length, std::string_view payload);
    /// Appends to `out` the payloads of kept pieces that directly follow the delivered ones, and marks them delivered.
    void takeReady(std::string &out);
    /// Records that the response ends at this offset.
    void noteEnd(std::uint64_t endOffset);

    /// The offset at the end of the delivered pieces.
    [[nodiscard]] std::uint64_t nextOffset() const;
    /// Whether the end offset of the response was recorded and every piece before it was delivered.
    [[nodiscard]] bool complete() const;
    /// Whether pieces are kept because an earlier piece is missing.
    [[nodiscard]] bool hasGap() const;
    /// Number of pieces dropped as duplicates.
    [[nodiscard]] std::uint64_t duplicates() const;

private:
    struct Piece
    {
        std::uint64_t length = 0;
        std::string payload;
    };

    std::size_t m_maxEarlyPieces;
    std::uint64_t m_nextOffset = 0;
    std::uint64_t m_endOffset = 0;
    bool m_endKnown = false;
    std::uint64_t m_duplicates = 0;
    std::map<std::uint64_t, Piece> m_early;
};

} // namespace tamarackcove
