#pragma once

#include <string>

namespace tamarackcove {

enum class StorageErrorCode {
    /// The folder or a file cannot be opened, read or created.
    OpenFailed,
    /// A write, truncation or rename failed for another reason than a full disk. The process must stop.
    WriteFailed,
    /// The disk is full or the quota is exceeded, as of a write or of the sync after it. No part of the write is kept,
    /// and the write and its sync may be retried together.
    NoSpace,
    /// A sync failed for another reason than a full disk. The kernel may have dropped the data, and a retried sync
    /// could succeed without it: the sync must not be retried and the process must stop.
    SyncFailed,
    /// A frame before the last one of the log, or a snapshot, does not match its checksum, or files of the folder are
    /// missing.
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
