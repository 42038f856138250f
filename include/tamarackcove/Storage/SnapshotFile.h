#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Consensus/ReplicaOutput.h"
#include "tamarackcove/Storage/FileHooks.h"
#include "tamarackcove/Storage/StorageError.h"

#include <filesystem>
#include <optional>

namespace tamarackcove {

/// Writes the snapshot as a whole, makes it durable, and then removes older ones. Blocks.
[[nodiscard]] Result<void, StorageError> saveSnapshotFile(const std::filesystem::path &folder,
                                                          const SnapshotImage &image, const FileHooks &hooks);

/// Reads the newest snapshot of the folder; nothing when there is none. Fails with Damaged when its checksum does not
/// match: an older snapshot would miss commands that were acknowledged.
[[nodiscard]] Result<std::optional<SnapshotImage>, StorageError> loadSnapshotFile(const std::filesystem::path &folder);

} // namespace tamarackcove
