#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Puts the pieces of one stream in order by their offsets, and knows where to resume a stream that broke.
///
/// A piece that arrived before is dropped. A piece that arrives early is kept, within a bound, until the ones before
/// it have come. The payload is opaque here.
/// Thread safety: used on one thread.
class StreamAssembler
{
public:
    enum class Verdict {
        /// The piece is next; the caller of place() delivers it, and then what takeReady() returns.
        Next,
        /// Arrived before.
        Duplicate,
        /// Kept until the pieces before it arrive.
        Early,
        /// Overlaps delivered pieces in part, or is further ahead than the bound: resume at nextOffset().
        Unusable,
    };

    /// Precondition: maxEarly is positive.
    explicit StreamAssembler(std::size_t maxEarly = 64);

    /// Precondition: length is positive.
    [[nodiscard]] Verdict place(std::uint64_t offset, std::uint64_t length, std::string_view payload);
    /// Appends kept pieces that are next now.
    void takeReady(std::string &out);
    /// The piece that ends at this offset is the last one of the stream.
    void noteEnd(std::uint64_t endOffset);

    /// The offset after the last delivered piece.
    [[nodiscard]] std::uint64_t nextOffset() const;
    /// Whether every piece up to the noted end was delivered.
    [[nodiscard]] bool complete() const;
    [[nodiscard]] bool hasGap() const;
    [[nodiscard]] std::uint64_t duplicates() const;

private:
    struct Piece
    {
        std::uint64_t length = 0;
        std::string payload;
    };

    std::size_t m_maxEarly;
    std::uint64_t m_next = 0;
    std::uint64_t m_end = 0;
    bool m_endKnown = false;
    std::uint64_t m_duplicates = 0;
    std::map<std::uint64_t, Piece> m_early;
};

} // namespace tamarackcove
