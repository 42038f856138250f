#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Storage/FileHooks.h"
#include "tamarackcove/Storage/StorageError.h"

#include <filesystem>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Owns a file descriptor and reports failed system calls as StorageError. Thread safety: one thread at a time.
class StorageFile
{
public:
    StorageFile() = default;
    ~StorageFile();
    StorageFile(StorageFile &&other) noexcept;
    StorageFile &operator=(StorageFile &&other) noexcept;

    /// Opens the file with flags of open(2).
    [[nodiscard]] static Result<StorageFile, StorageError> open(const std::filesystem::path &path, int flags);

    [[nodiscard]] Result<void, StorageError> writeAll(std::string_view bytes, const FileHooks &hooks);
    [[nodiscard]] Result<void, StorageError> sync(const FileHooks &hooks);
    [[nodiscard]] Result<void, StorageError> truncate(std::uint64_t size, const FileHooks &hooks);
    /// Takes an exclusive lock on the file, or fails with Locked if another process has it.
    [[nodiscard]] Result<void, StorageError> lock();

private:
    /// Error text: `what`, the path, and the description of errno.
    [[nodiscard]] StorageError makeError(StorageErrorCode code, std::string_view what) const;

    int m_descriptor = -1;
    std::filesystem::path m_path;
};

[[nodiscard]] Result<std::string, StorageError> readWholeFile(const std::filesystem::path &path);
/// Makes the creation, renaming and removal of files in the folder durable.
[[nodiscard]] Result<void, StorageError> syncFolder(const std::filesystem::path &folder, const FileHooks &hooks);
/// Replaces a file atomically: after a crash the file has either the old bytes or the new ones.
[[nodiscard]] Result<void, StorageError> replaceFile(const std::filesystem::path &path, std::string_view bytes,
                                                     const FileHooks &hooks);

} // namespace tamarackcove
