#include "WalFrame.h"

#include "tamarackcove/Base/Hash.h"
#include "tamarackcove/Storage/EntryCodec.h"

#include <span>

namespace tamarackcove {

static constexpr std::string_view Magic = "TCWL";
static constexpr std::size_t HeaderBytes = 16;

std::string encodeFrame(std::string_view payload)
{
    std::string frame(Magic);
    frame.reserve(HeaderBytes + payload.size());
    ByteWriter writer(frame);
    writer.number(payload.size(), 4);
    writer.number(hash64(payload), 8);
    frame += payload;
    return frame;
}

std::optional<WalFrame> decodeFrame(std::string_view bytes)
{
    if (!bytes.starts_with(Magic)) {
        return std::nullopt;
    }
    ByteReader reader(bytes.substr(Magic.size()));
    const auto length = reader.number(4);
    const auto checksum = reader.number(8);
    if (reader.failed() || bytes.size() - HeaderBytes < length) {
        return std::nullopt;
    }
    const auto payload = bytes.substr(HeaderBytes, length);
    if (hash64(payload) != checksum) {
        return std::nullopt;
    }
    return WalFrame{.payload = payload, .size = HeaderBytes + length};
}

bool containsFrame(std::string_view bytes)
{
    for (auto at = bytes.find(Magic); at != std::string_view::npos; at = bytes.find(Magic, at + 1)) {
        if (decodeFrame(bytes.substr(at))) {
            return true;
        }
    }
    return false;
}

static void encodeHardState(ByteWriter &writer, const HardState &hardState)
{
    writer.number(static_cast<std::uint64_t>(WalRecordKind::HardState), 1);
    writer.number(hardState.term, 8);
    writer.text(hardState.votedFor.value());
}

std::string encodeRecords(std::span<const PersistRequest> requests)
{
    std::string payload;
    ByteWriter writer(payload);
    for (const auto &request : requests) {
        if (request.hardState) {
            encodeHardState(writer, *request.hardState);
        }
        if (request.snapshot) {
            writer.number(static_cast<std::uint64_t>(WalRecordKind::Reset), 1);
        }
        for (const auto &entry : request.entries) {
            writer.number(static_cast<std::uint64_t>(WalRecordKind::Entry), 1);
            encodeEntry(writer, *entry);
        }
    }
    return payload;
}

static bool replayEntry(ByteReader &reader, std::vector<LogEntryPtr> &entries)
{
    auto entry = decodeEntry(reader);
    if (!entry) {
        return false;
    }
    // An entry replaces any entries from its index onwards.
    while (!entries.empty() && entries.back()->index >= entry->index) {
        entries.pop_back();
    }
    if (!entries.empty() && entries.back()->index + 1 != entry->index) {
        return false;
    }
    entries.push_back(std::make_shared<const LogEntry>(std::move(*entry)));
    return true;
}

bool replayRecords(std::string_view payload, HardState &hardState, std::vector<LogEntryPtr> &entries)
{
    ByteReader reader(payload);
    while (!reader.atEnd()) {
        switch (static_cast<WalRecordKind>(reader.number(1))) {
        case WalRecordKind::HardState:
            hardState.term = reader.number(8);
            hardState.votedFor = ReplicaId(std::string(reader.text()));
            break;
        case WalRecordKind::Entry:
            if (!replayEntry(reader, entries)) {
                return false;
            }
            break;
        case WalRecordKind::Reset:
            entries.clear();
            break;
        default:
            return false;
        }
    }
    return !reader.failed();
}

} // namespace tamarackcove
