#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Consensus/ReplicaOutput.h"
#include "tamarackcove/Storage/FileHooks.h"
#include "tamarackcove/Storage/StorageError.h"

#include <filesystem>
#include <memory>
#include <span>

namespace tamarackcove {

/// What was read from the log files when they were opened.
struct WalContents
{
    HardState hardState;
    /// Consecutive indices; the first entry need not have index 1.
    std::vector<LogEntryPtr> entries;
};

/// The write-ahead log of a replica: segment files of checksummed frames. Each append writes one frame and syncs once.
///
/// Opening the log truncates an incomplete frame at its end, because the frame was never acknowledged. A damaged frame
/// that is followed by others is an error. After a failed write or sync every later call fails with the same error,
/// because the content of the file is no longer known; StorageErrorCode::NoSpace is the exception.
///
/// Thread safety: one thread at a time. All calls block.
class WriteAheadLog
{
public:
    static constexpr std::size_t DefaultSegmentBytes = 8 * 1024 * 1024;

    ~WriteAheadLog();
    WriteAheadLog(WriteAheadLog &&) noexcept;
    WriteAheadLog &operator=(WriteAheadLog &&) noexcept;

    /// Reads the segments of the folder into `contents`, or creates the first segment. A segment that has reached
    /// `segmentBytes` gets no further frames.
    [[nodiscard]] static Result<WriteAheadLog, StorageError> open(const std::filesystem::path &folder, FileHooks hooks,
                                                                  WalContents &contents,
                                                                  std::size_t segmentBytes = DefaultSegmentBytes);

    /// Returns whether the folder has a segment.
    [[nodiscard]] static bool exists(const std::filesystem::path &folder);

    /// Appends the requests as one frame and returns when it is durable. A snapshot in a request is not written, but
    /// discards all earlier entries.
    [[nodiscard]] Result<void, StorageError> append(std::span<const PersistRequest> requests);

    /// Removes segments without an entry after this index. Precondition: a snapshot up to this index is durable.
    [[nodiscard]] Result<void, StorageError> compactTo(LogIndex index);

private:
    struct Impl;
    explicit WriteAheadLog(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
