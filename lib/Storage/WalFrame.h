#pragma once

#include "tamarackcove/Consensus/ReplicaOutput.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Wraps a payload with a magic number, its length and its checksum.
[[nodiscard]] std::string encodeFrame(std::string_view payload);

struct WalFrame
{
    std::string_view payload;
    /// Bytes of the frame as a whole.
    std::size_t size = 0;
};

/// The frame at the start of these bytes, if it is whole and undamaged.
[[nodiscard]] std::optional<WalFrame> decodeFrame(std::string_view bytes);
/// Whether an undamaged frame starts anywhere in these bytes.
[[nodiscard]] bool containsFrame(std::string_view bytes);

enum class WalRecordKind {
    HardState = 1,
    Entry = 2,
    /// A snapshot from the leader replaced the log: the entries before are void.
    Reset = 3,
};

/// Payload of one frame for these requests.
[[nodiscard]] std::string encodeRecords(std::span<const PersistRequest> requests);

/// Applies the records of a payload to what was read before them. Returns false when they make no sense.
[[nodiscard]] bool replayRecords(std::string_view payload, HardState &hardState, std::vector<LogEntryPtr> &entries);

} // namespace tamarackcove
