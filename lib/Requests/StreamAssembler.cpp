#include "tamarackcove/Requests/StreamAssembler.h"

#include <cassert>

namespace tamarackcove {

StreamAssembler::StreamAssembler(std::size_t maxEarlyPieces)
    : m_maxEarlyPieces(maxEarlyPieces)
{
    assert(maxEarlyPieces > 0 && "maxEarlyPieces must be positive, else any reordering forces a resume");
}

StreamAssembler::Verdict StreamAssembler::place(std::uint64_t offset, std::uint64_t length, std::string_view payload)
{
    assert(length > 0 && "a piece holds at least one token");
    if (offset == m_nextOffset) {
        m_nextOffset += length;
        return Verdict::Next;
    }
    if (offset + length <= m_nextOffset || m_early.contains(offset)) {
        ++m_duplicates;
        return Verdict::Duplicate;
    }
    if (offset < m_nextOffset || m_early.size() >= m_maxEarlyPieces) {
        return Verdict::Unusable;
    }
    m_early.emplace(offset, Piece{length, std::string(payload)});
    return Verdict::Early;
}

void StreamAssembler::takeReady(std::string &out)
{
    while (!m_early.empty()) {
        const auto first = m_early.begin();
        if (first->first > m_nextOffset) {
            return;
        }
        // A kept piece that overlaps delivered pieces is dropped; a resume fills the gap that this may leave.
        if (first->first == m_nextOffset) {
            out += first->second.payload;
            m_nextOffset += first->second.length;
        }
        m_early.erase(first);
    }
}

void StreamAssembler::noteEnd(std::uint64_t endOffset)
{
    m_endOffset = endOffset;
    m_endKnown = true;
}

std::uint64_t StreamAssembler::nextOffset() const
{
    return m_nextOffset;
}

bool StreamAssembler::complete() const
{
    return m_endKnown && m_nextOffset >= m_endOffset;
}

bool StreamAssembler::hasGap() const
{
    return !m_early.empty();
}

std::uint64_t StreamAssembler::duplicates() const
{
    return m_duplicates;
}

} // namespace tamarackcove
