#include "tamarackcove/Storage/EntryCodec.h"

namespace tamarackcove {

ByteWriter::ByteWriter(std::string &out)
    : m_out(out)
{
}

void ByteWriter::number(std::uint64_t value, int bytes)
{
    for (int i = 0; i < bytes; ++i) {
        m_out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
    }
}

void ByteWriter::text(std::string_view bytes)
{
    number(bytes.size(), 4);
    m_out += bytes;
}

ByteReader::ByteReader(std::string_view bytes)
    : m_unread(bytes)
{
}

std::uint64_t ByteReader::number(int bytes)
{
    if (m_failed || m_unread.size() < static_cast<std::size_t>(bytes)) {
        m_failed = true;
        return 0;
    }
    std::uint64_t value = 0;
    for (int i = 0; i < bytes; ++i) {
        value |= std::uint64_t{static_cast<unsigned char>(m_unread[static_cast<std::size_t>(i)])} << (8 * i);
    }
    m_unread.remove_prefix(static_cast<std::size_t>(bytes));
    return value;
}

std::string_view ByteReader::text()
{
    const auto length = number(4);
    if (m_failed || length > m_unread.size()) {
        m_failed = true;
        return {};
    }
    const auto bytes = m_unread.substr(0, length);
    m_unread.remove_prefix(length);
    return bytes;
}

bool ByteReader::failed() const
{
    return m_failed;
}

bool ByteReader::atEnd() const
{
    return m_failed || m_unread.empty();
}

void encodeGroup(ByteWriter &writer, const ReplicaGroup &group)
{
    writer.text(group.groupId);
    writer.number(group.members.size(), 2);
    for (const auto &member : group.members) {
        writer.text(member.id.value());
        writer.text(member.name);
        writer.number(member.voter ? 1 : 0, 1);
    }
}

std::optional<ReplicaGroup> decodeGroup(ByteReader &reader)
{
    ReplicaGroup group;
    group.groupId = reader.text();
    const auto count = reader.number(2);
    for (std::uint64_t i = 0; i < count && !reader.failed(); ++i) {
        GroupMember member;
        member.id = ReplicaId(std::string(reader.text()));
        member.name = reader.text();
        member.voter = reader.number(1) == 1;
        group.members.push_back(std::move(member));
    }
    return reader.failed() ? std::nullopt : std::optional(std::move(group));
}

void encodeEntry(ByteWriter &writer, const LogEntry &entry)
{
    writer.number(entry.index, 8);
    writer.number(entry.term, 8);
    writer.number(encodeTime(entry.time), 8);
    writer.number(static_cast<std::uint64_t>(entry.kind), 1);
    if (entry.kind == EntryKind::Group) {
        encodeGroup(writer, *entry.group);
    } else {
        writer.text(entry.command);
    }
}

std::optional<LogEntry> decodeEntry(ByteReader &reader)
{
    LogEntry entry;
    entry.index = reader.number(8);
    entry.term = reader.number(8);
    entry.time = decodeTime<std::chrono::system_clock::time_point>(reader.number(8));
    const auto kind = reader.number(1);
    if (reader.failed() || kind > static_cast<std::uint64_t>(EntryKind::Group)) {
        return std::nullopt;
    }
    entry.kind = static_cast<EntryKind>(kind);
    if (entry.kind == EntryKind::Group) {
        entry.group = decodeGroup(reader);
    } else {
        entry.command = reader.text();
    }
    return reader.failed() ? std::nullopt : std::optional(std::move(entry));
}

} // namespace tamarackcove
