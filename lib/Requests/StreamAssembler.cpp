#include "tamarackcove/Requests/StreamAssembler.h"

#include <cassert>

namespace tamarackcove {

StreamAssembler::StreamAssembler(std::size_t maxEarly)
    : m_maxEarly(maxEarly)
{
    assert(maxEarly > 0 && "without room for early pieces every reordering breaks the stream");
}

StreamAssembler::Verdict StreamAssembler::place(std::uint64_t offset, std::uint64_t length, std::string_view payload)
{
    assert(length > 0 && "a piece holds at least one token");
    if (offset == m_next) {
        m_next += length;
        return Verdict::Next;
    }
    if (offset + length <= m_next || m_early.contains(offset)) {
        ++m_duplicates;
        return Verdict::Duplicate;
    }
    if (offset < m_next || m_early.size() >= m_maxEarly) {
        return Verdict::Unusable;
    }
    m_early.emplace(offset, Piece{length, std::string(payload)});
    return Verdict::Early;
}

void StreamAssembler::takeReady(std::string &out)
{
    while (!m_early.empty()) {
        const auto first = m_early.begin();
        if (first->first > m_next) {
            return;
        }
        // A piece that overlaps what was delivered is dropped; the gap behind it is filled by a resume.
        if (first->first == m_next) {
            out += first->second.payload;
            m_next += first->second.length;
        }
        m_early.erase(first);
    }
}

void StreamAssembler::noteEnd(std::uint64_t endOffset)
{
    m_end = endOffset;
    m_endKnown = true;
}

std::uint64_t StreamAssembler::nextOffset() const
{
    return m_next;
}

bool StreamAssembler::complete() const
{
    return m_endKnown && m_next >= m_end;
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
