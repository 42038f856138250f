#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Consensus/ReplicaOutput.h"
#include "tamarackcove/Storage/FileHooks.h"
#include "tamarackcove/Storage/StorageError.h"

#include <filesystem>
#include <memory>
#include <span>

namespace tamarackcove {

/// What the log files held when they were opened.
struct WalContents
{
    HardState hardState;
    /// Without gaps; the first one need not have index 1.
    std::vector<LogEntryPtr> entries;
};

/// The log of a replica on disk: segment files of checksummed frames. Each append is one frame and one sync.
///
/// A frame at the end that is not whole was never acknowledged and is cut off. A damaged frame before others is an
/// error. After a failed write or sync every call fails with the same error, because what the disk holds is not known.
/// Thread safety: one thread at a time. All calls block.
class WriteAheadLog
{
public:
    static constexpr std::size_t DefaultSegmentBytes = 8 * 1024 * 1024;

    ~WriteAheadLog();
    WriteAheadLog(WriteAheadLog &&) noexcept;
    WriteAheadLog &operator=(WriteAheadLog &&) noexcept;

    /// Reads the segments of the folder, or creates the first one, and fills in the contents.
    [[nodiscard]] static Result<WriteAheadLog, StorageError> open(const std::filesystem::path &folder, FileHooks hooks,
                                                                  WalContents &contents,
                                                                  std::size_t segmentBytes = DefaultSegmentBytes);

    /// Whether the folder holds a segment.
    [[nodiscard]] static bool exists(const std::filesystem::path &folder);

    /// Returns when the requests are on the disk. Their snapshots are not written here, but empty the log.
    [[nodiscard]] Result<void, StorageError> append(std::span<const PersistRequest> requests);

    /// Removes segments that hold no entry after this index. Precondition: a snapshot up to it is on the disk.
    [[nodiscard]] Result<void, StorageError> compactTo(LogIndex index);

private:
    struct Impl;
    explicit WriteAheadLog(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
