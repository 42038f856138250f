#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <sys/types.h>

namespace tamarackcove {

/// The system calls that can lose data, so that tests can make them fail. Each returns what the call returns and sets
/// errno.
struct FileHooks
{
    std::function<ssize_t(int file, const void *bytes, std::size_t size)> write;
    std::function<int(int file)> sync;
    std::function<int(const std::string &from, const std::string &to)> rename;

    /// The calls of the operating system; sync is fdatasync.
    [[nodiscard]] static FileHooks system();
};

} // namespace tamarackcove
