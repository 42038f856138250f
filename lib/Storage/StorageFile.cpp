#include "StorageFile.h"

#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace tamarackcove {

/// The code of a failed call: NoSpace if the disk is full, otherwise this one.
static StorageErrorCode codeOf(StorageErrorCode otherwise)
{
    return errno == ENOSPC || errno == EDQUOT ? StorageErrorCode::NoSpace : otherwise;
}

static std::string errnoText()
{
    return std::error_code(errno, std::generic_category()).message();
}

FileHooks FileHooks::system()
{
    return {
        .write = [](int file, const void *bytes, std::size_t size) { return ::write(file, bytes, size); },
        .sync = [](int file) { return ::fdatasync(file); },
        .truncate = [](int file, off_t size) { return ::ftruncate(file, size); },
        .rename = [](const std::string &from, const std::string &to) { return std::rename(from.c_str(), to.c_str()); },
    };
}

StorageFile::~StorageFile()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

StorageFile::StorageFile(StorageFile &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_path(std::move(other.m_path))
{
}

StorageFile &StorageFile::operator=(StorageFile &&other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    std::swap(m_path, other.m_path);
    return *this;
}

Result<StorageFile, StorageError> StorageFile::open(const std::filesystem::path &path, int flags)
{
    StorageFile file;
    file.m_path = path;
    file.m_descriptor = ::open(path.c_str(), flags | O_CLOEXEC, 0644);
    if (file.m_descriptor < 0) {
        return file.makeError(codeOf(StorageErrorCode::OpenFailed), "cannot open");
    }
    return file;
}

Result<void, StorageError> StorageFile::writeAll(std::string_view bytes, const FileHooks &hooks)
{
    while (!bytes.empty()) {
        const auto written = hooks.write(m_descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return makeError(written < 0 ? codeOf(StorageErrorCode::WriteFailed) : StorageErrorCode::WriteFailed,
                             "cannot write to");
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return ok();
}

Result<void, StorageError> StorageFile::sync(const FileHooks &hooks)
{
    if (hooks.sync(m_descriptor) != 0) {
        return makeError(codeOf(StorageErrorCode::SyncFailed), "cannot sync");
    }
    return ok();
}

Result<void, StorageError> StorageFile::truncate(std::uint64_t size, const FileHooks &hooks)
{
    if (hooks.truncate(m_descriptor, static_cast<off_t>(size)) != 0) {
        return makeError(codeOf(StorageErrorCode::WriteFailed), "cannot truncate");
    }
    return ok();
}

Result<void, StorageError> StorageFile::lock()
{
    if (::flock(m_descriptor, LOCK_EX | LOCK_NB) != 0) {
        return StorageError{StorageErrorCode::Locked,
                            m_path.string()
                                + " is locked: another process uses this data folder; stop that process first"};
    }
    return ok();
}

StorageError StorageFile::makeError(StorageErrorCode code, std::string_view what) const
{
    return {code, std::string(what) + " " + m_path.string() + ": " + errnoText()};
}

Result<std::string, StorageError> readWholeFile(const std::filesystem::path &path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream bytes;
    if (!in || !(bytes << in.rdbuf() || in.eof())) {
        return StorageError{StorageErrorCode::OpenFailed, "cannot read " + path.string()};
    }
    return std::move(bytes).str();
}

Result<void, StorageError> syncFolder(const std::filesystem::path &folder, const FileHooks &hooks)
{
    auto opened = StorageFile::open(folder, O_RDONLY | O_DIRECTORY);
    if (opened.has_error()) {
        return std::move(opened).error();
    }
    return opened.value().sync(hooks);
}

Result<void, StorageError> replaceFile(const std::filesystem::path &path, std::string_view bytes,
                                       const FileHooks &hooks)
{
    auto temporary = path;
    temporary += ".tmp";
    {
        auto opened = StorageFile::open(temporary, O_WRONLY | O_CREAT | O_TRUNC);
        if (opened.has_error()) {
            return std::move(opened).error();
        }
        if (auto written = opened.value().writeAll(bytes, hooks); written.has_error()) {
            return written;
        }
        if (auto synced = opened.value().sync(hooks); synced.has_error()) {
            return synced;
        }
    }
    if (hooks.rename(temporary.string(), path.string()) != 0) {
        return StorageError{codeOf(StorageErrorCode::WriteFailed),
                            "cannot rename " + temporary.string() + ": " + errnoText()};
    }
    return syncFolder(path.parent_path(), hooks);
}

} // namespace tamarackcove
