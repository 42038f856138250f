#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Consensus/ReplicaOutput.h"
#include "tamarackcove/Storage/FileHooks.h"
#include "tamarackcove/Storage/StorageError.h"

#include <filesystem>
#include <optional>

namespace tamarackcove {

/// Writes the snapshot atomically, makes it durable, and then removes older ones. Blocks.
[[nodiscard]] Result<void, StorageError> saveSnapshotFile(const std::filesystem::path &folder,
                                                          const SnapshotImage &image, const FileHooks &hooks);

/// Reads the newest snapshot of the folder; returns nothing if there is none. Fails with Damaged if the snapshot does
/// not match its checksum, and does not fall back to an older one, which would miss acknowledged commands. Blocks.
[[nodiscard]] Result<std::optional<SnapshotImage>, StorageError> loadSnapshotFile(const std::filesystem::path &folder);

} // namespace tamarackcove
