#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Storage/FileHooks.h"
#include "tamarackcove/Storage/StorageError.h"

#include <filesystem>
#include <string>
#include <string_view>

namespace tamarackcove {

/// A file descriptor with the errors of this layer. Thread safety: one thread at a time.
class StorageFile
{
public:
    StorageFile() = default;
    ~StorageFile();
    StorageFile(StorageFile &&other) noexcept;
    StorageFile &operator=(StorageFile &&other) noexcept;

    /// Opens with these flags of open(2).
    [[nodiscard]] static Result<StorageFile, StorageError> open(const std::filesystem::path &path, int flags);

    [[nodiscard]] Result<void, StorageError> writeAll(std::string_view bytes, const FileHooks &hooks);
    [[nodiscard]] Result<void, StorageError> sync(const FileHooks &hooks);
    [[nodiscard]] Result<void, StorageError> truncate(std::uint64_t size);
    /// Takes the exclusive lock of the file, or fails with Locked.
    [[nodiscard]] Result<void, StorageError> lock();

private:
    [[nodiscard]] StorageError failure(StorageErrorCode code, std::string_view what) const;

    int m_file = -1;
    std::filesystem::path m_path;
};

[[nodiscard]] Result<std::string, StorageError> readWholeFile(const std::filesystem::path &path);
/// Makes created, renamed and removed names in the folder durable.
[[nodiscard]] Result<void, StorageError> syncFolder(const std::filesystem::path &folder, const FileHooks &hooks);
/// Replaces a file as a whole: after a crash it holds either the old bytes or the new ones.
[[nodiscard]] Result<void, StorageError> replaceFile(const std::filesystem::path &path, std::string_view bytes,
                                                     const FileHooks &hooks);

} // namespace tamarackcove
