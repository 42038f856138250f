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

/// The durable state of a replica: its identity, the write-ahead log and the newest snapshot.
///
/// An empty folder gets a new random identity. A replica whose disk was lost or emptied therefore rejoins as another
/// replica: under its old identity it could vote again in a term in which it has voted, or miss entries that it has
/// acknowledged.
///
/// Thread safety: one thread at a time. All calls block.
class DataFolder
{
public:
    ~DataFolder();
    DataFolder(DataFolder &&) noexcept;
    DataFolder &operator=(DataFolder &&) noexcept;

    /// Locks the folder, creating it if absent, and reads it into `recovered`. `newIdentity` is called if the folder
    /// has no identity.
    [[nodiscard]] static Result<DataFolder, StorageError> open(const std::filesystem::path &path, FileHooks hooks,
                                                               const std::function<std::string()> &newIdentity,
                                                               RecoveredState &recovered);

    /// Writes the requests and their snapshots. Returns when they are durable.
    [[nodiscard]] Result<void, StorageError> persist(std::span<const PersistRequest> requests);

    /// Saves a snapshot of the applied state and removes older snapshots and log segments that the new snapshot covers.
    [[nodiscard]] Result<void, StorageError> saveSnapshot(const SnapshotImage &image);

private:
    struct Impl;
    explicit DataFolder(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

/// 16 random bytes in hexadecimal. Thread safe.
[[nodiscard]] std::string randomIdentity();

} // namespace tamarackcove
