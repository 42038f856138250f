#pragma once

#include <string>

namespace tamarackcove {

enum class StorageErrorCode {
    /// The folder or a file cannot be opened, read or created.
    OpenFailed,
    /// A write failed. The process must stop.
    WriteFailed,
    /// The disk is full. Nothing of the write is kept, and it may be tried again.
    NoSpace,
    /// A sync failed. The kernel may have dropped the data, so the sync must not be retried and the process must stop.
    SyncFailed,
    /// A record before the end of the log, or a snapshot, does not match its checksum.
    Damaged,
    /// Another process uses the folder.
    Locked,
};

/// Why the files of a data folder cannot be used.
struct StorageError
{
    StorageErrorCode code = StorageErrorCode::OpenFailed;
    std::string detail;
};

} // namespace tamarackcove
