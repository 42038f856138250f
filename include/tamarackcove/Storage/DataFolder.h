#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Consensus/ReplicaOutput.h"
#include "tamarackcove/Storage/FileHooks.h"
#include "tamarackcove/Storage/StorageError.h"

#include <filesystem>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace tamarackcove {

/// Everything that a replica keeps on disk: its identity, the write-ahead log and the newest snapshot.
///
/// A folder without an identity gets a new random one. So a replica whose disk was lost or emptied comes back as
/// another replica, and what the old one promised is not broken.
/// Thread safety: one thread at a time. All calls block.
class DataFolder
{
public:
    ~DataFolder();
    DataFolder(DataFolder &&) noexcept;
    DataFolder &operator=(DataFolder &&) noexcept;

    /// Locks the folder, creating it if absent, and reads it.
    [[nodiscard]] static Result<DataFolder, StorageError> open(const std::filesystem::path &path, FileHooks hooks,
                                                               const std::function<std::string()> &newIdentity,
                                                               RecoveredState &recovered);

    /// Returns when the requests, including their snapshots, are on the disk.
    [[nodiscard]] Result<void, StorageError> persist(std::span<const PersistRequest> requests);

    /// Saves a snapshot of the applied state and removes what it makes superfluous.
    [[nodiscard]] Result<void, StorageError> saveSnapshot(const SnapshotImage &image);

private:
    struct Impl;
    explicit DataFolder(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

/// 16 random bytes in hexadecimal. Thread safe.
[[nodiscard]] std::string randomIdentity();

} // namespace tamarackcove
