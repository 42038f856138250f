#pragma once

#include "tamarackcove/Consensus/ReplicaOutput.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Appends fixed-width little-endian numbers and length-prefixed strings to a buffer. Thread safety: one thread.
class ByteWriter
{
public:
    explicit ByteWriter(std::string &out);
    void number(std::uint64_t value, int bytes);
    void text(std::string_view bytes);

private:
    std::string &m_out;
};

/// Reads what a ByteWriter wrote. After a read past the end failed() is true, and this read and all later ones return 0
/// or an empty string.
///
/// Thread safety: one thread.
class ByteReader
{
public:
    explicit ByteReader(std::string_view bytes);
    [[nodiscard]] std::uint64_t number(int bytes);
    [[nodiscard]] std::string_view text();
    [[nodiscard]] bool failed() const;
    [[nodiscard]] bool atEnd() const;

private:
    std::string_view m_unread;
    bool m_failed = false;
};

/// Encoding of log entries and replica groups, the same on disk and in messages between replicas. The decoders return
/// nothing for invalid bytes.
void encodeEntry(ByteWriter &writer, const LogEntry &entry);
[[nodiscard]] std::optional<LogEntry> decodeEntry(ByteReader &reader);
void encodeGroup(ByteWriter &writer, const ReplicaGroup &group);
[[nodiscard]] std::optional<ReplicaGroup> decodeGroup(ByteReader &reader);

/// Converts a time to nanoseconds since its clock's epoch, the form on disk and in messages.
template<typename Point>
[[nodiscard]] std::uint64_t encodeTime(Point time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}
/// The inverse of encodeTime().
template<typename Point>
[[nodiscard]] Point decodeTime(std::uint64_t stored)
{
    const std::chrono::nanoseconds sinceEpoch(static_cast<std::int64_t>(stored));
    return Point(std::chrono::duration_cast<typename Point::duration>(sinceEpoch));
}

} // namespace tamarackcove
