#include "tamarackcove/Storage/DataFolder.h"

#include "StorageFile.h"
#include "tamarackcove/Storage/SnapshotFile.h"
#include "tamarackcove/Storage/WriteAheadLog.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <optional>
#include <random>

namespace tamarackcove {

namespace fs = std::filesystem;

struct DataFolder::Impl
{
    fs::path path;
    FileHooks hooks;
    StorageFile lock;
    std::optional<WriteAheadLog> log;
    /// The first error other than NoSpace. Every later call fails with this error.
    std::optional<StorageError> failure;

    Result<void, StorageError> readIdentity(const std::function<std::string()> &newIdentity, ReplicaId &self);
    Result<void, StorageError> recordFailure(Result<void, StorageError> result);
};

std::string randomIdentity()
{
    std::random_device device;
    std::string text;
    for (int i = 0; i < 4; ++i) {
        text += fmt::format("{:08x}", device());
    }
    return text;
}

DataFolder::DataFolder(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

DataFolder::~DataFolder() = default;
DataFolder::DataFolder(DataFolder &&) noexcept = default;
DataFolder &DataFolder::operator=(DataFolder &&) noexcept = default;

/// Drops the log entries that the snapshot covers. Fails if entries between the snapshot and the log are missing.
static Result<void, StorageError> reconcileLogWithSnapshot(const fs::path &path, RecoveredState &recovered)
{
    auto &entries = recovered.entries;
    const LogIndex snapshotIndex = recovered.snapshot ? recovered.snapshot->lastIndex : 0;
    for (const auto &entry : entries) {
        // The terms differ, so the snapshot came from the leader and the process ended before it discarded the old log.
        if (entry->index == snapshotIndex && entry->term != recovered.snapshot->lastTerm) {
            entries.clear();
            return ok();
        }
    }
    std::erase_if(entries, [snapshotIndex](const auto &entry) { return entry->index <= snapshotIndex; });
    if (!entries.empty() && entries.front()->index != snapshotIndex + 1) {
        return StorageError{
            StorageErrorCode::Damaged,
            fmt::format("{}: the log starts at index {} but the snapshot ends at index {}; remove the whole data "
                        "folder, so that this replica joins again under a new identity",
                        path.string(), entries.front()->index, snapshotIndex)};
    }
    return ok();
}

Result<DataFolder, StorageError> DataFolder::open(const fs::path &path, FileHooks hooks,
                                                  const std::function<std::string()> &newIdentity,
                                                  RecoveredState &recovered)
{
    std::error_code error;
    fs::create_directories(path, error);
    auto impl = std::make_unique<Impl>();
    impl->path = path;
    impl->hooks = std::move(hooks);
    auto lock = StorageFile::open(path / "lock", O_RDWR | O_CREAT);
    if (lock.has_error()) {
        return std::move(lock).error();
    }
    impl->lock = std::move(lock).value();
    if (auto locked = impl->lock.lock(); locked.has_error()) {
        return std::move(locked).error();
    }
    const bool hadLog = WriteAheadLog::exists(path);
    const bool hadIdentity = fs::exists(path / "identity");
    if (hadIdentity && !hadLog) {
        return StorageError{StorageErrorCode::Damaged,
                            path.string()
                                + " has an identity but no log; remove the whole data folder, so that this "
                                  "replica joins again under a new identity"};
    }
    auto snapshot = loadSnapshotFile(path);
    if (snapshot.has_error()) {
        return std::move(snapshot).error();
    }
    recovered.snapshot = std::move(snapshot).value();
    WalContents contents;
    auto log = WriteAheadLog::open(path, impl->hooks, contents);
    if (log.has_error()) {
        return std::move(log).error();
    }
    impl->log = std::move(log).value();
    recovered.hardState = contents.hardState;
    recovered.entries = std::move(contents.entries);
    const bool holdsState = recovered.snapshot || !recovered.entries.empty() || recovered.hardState.term > 0;
    if (!hadIdentity && holdsState) {
        return StorageError{StorageErrorCode::Damaged,
                            path.string()
                                + " has a log but no identity; remove the whole data folder, so that this "
                                  "replica joins again under a new identity"};
    }
    if (auto reconciled = reconcileLogWithSnapshot(path, recovered); reconciled.has_error()) {
        return std::move(reconciled).error();
    }
    if (auto identity = impl->readIdentity(newIdentity, recovered.self); identity.has_error()) {
        return std::move(identity).error();
    }
    return DataFolder(std::move(impl));
}

Result<void, StorageError> DataFolder::Impl::readIdentity(const std::function<std::string()> &newIdentity,
                                                          ReplicaId &self)
{
    const auto file = path / "identity";
    if (!fs::exists(file)) {
        self = ReplicaId(newIdentity());
        return replaceFile(file, self.value(), hooks);
    }
    auto read = readWholeFile(file);
    if (read.has_error()) {
        return std::move(read).error();
    }
    self = ReplicaId(std::move(read).value());
    if (self.empty()) {
        return StorageError{
            StorageErrorCode::Damaged,
            file.string()
                + " is empty; remove the whole data folder, so that this replica joins again under a new identity"};
    }
    return ok();
}

Result<void, StorageError> DataFolder::Impl::recordFailure(Result<void, StorageError> result)
{
    if (result.has_error() && result.error().code != StorageErrorCode::NoSpace) {
        failure = result.error();
    }
    return result;
}

Result<void, StorageError> DataFolder::persist(std::span<const PersistRequest> requests)
{
    auto &impl = *m_impl;
    if (impl.failure) {
        return *impl.failure;
    }
    const SnapshotImage *newest = nullptr;
    for (const auto &request : requests) {
        newest = request.snapshot ? &*request.snapshot : newest;
    }
    // The snapshot must be durable before the log discards the entries that the snapshot replaces.
    if (newest != nullptr) {
        if (auto saved = impl.recordFailure(saveSnapshotFile(impl.path, *newest, impl.hooks)); saved.has_error()) {
            return saved;
        }
    }
    if (auto appended = impl.recordFailure(impl.log->append(requests)); appended.has_error()) {
        return appended;
    }
    return newest == nullptr ? Result<void, StorageError>(ok())
                             : impl.recordFailure(impl.log->compactTo(newest->lastIndex));
}

Result<void, StorageError> DataFolder::saveSnapshot(const SnapshotImage &image)
{
    auto &impl = *m_impl;
    if (impl.failure) {
        return *impl.failure;
    }
    if (auto saved = impl.recordFailure(saveSnapshotFile(impl.path, image, impl.hooks)); saved.has_error()) {
        return saved;
    }
    return impl.recordFailure(impl.log->compactTo(image.lastIndex));
}

} // namespace tamarackcove
