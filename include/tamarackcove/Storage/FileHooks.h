#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <sys/types.h>

namespace tamarackcove {

/// The system calls whose failure can lose data, as hooks so that tests can inject failures. Each hook returns the
/// result of its system call and sets errno.
struct FileHooks
{
    std::function<ssize_t(int file, const void *bytes, std::size_t size)> write;
    std::function<int(int file)> sync;
    std::function<int(int file, off_t size)> truncate;
    std::function<int(const std::string &from, const std::string &to)> rename;

    /// The real system calls; sync is fdatasync().
    [[nodiscard]] static FileHooks system();
};

} // namespace tamarackcove
