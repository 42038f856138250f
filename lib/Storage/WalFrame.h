#pragma once

#include "tamarackcove/Consensus/ReplicaOutput.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Prefixes a payload with a magic number, its length and its checksum.
[[nodiscard]] std::string encodeFrame(std::string_view payload);

struct WalFrame
{
    std::string_view payload;
    /// Bytes of the whole frame, including its header.
    std::size_t size = 0;
};

/// Returns the frame at the start of `bytes`, if it is complete and matches its checksum.
[[nodiscard]] std::optional<WalFrame> decodeFrame(std::string_view bytes);
/// Returns whether a complete, undamaged frame starts anywhere in `bytes`.
[[nodiscard]] bool containsFrame(std::string_view bytes);

enum class WalRecordKind {
    HardState = 1,
    Entry = 2,
    /// A snapshot from the leader replaced the log: all earlier entries are discarded.
    Reset = 3,
};

/// Encodes the requests as the payload of one frame.
[[nodiscard]] std::string encodeRecords(std::span<const PersistRequest> requests);

/// Applies the records of a payload to the hard state and entries read from earlier frames. Returns false if a record
/// is malformed or leaves a gap between entries.
[[nodiscard]] bool replayRecords(std::string_view payload, HardState &hardState, std::vector<LogEntryPtr> &entries);

} // namespace tamarackcove
