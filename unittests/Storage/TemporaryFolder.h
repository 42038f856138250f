#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace tamarackcove::test {

/// A folder that is removed at the end of the test.
struct TemporaryFolder
{
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "tamarackcove-XXXXXX").string();
        path = mkdtemp(pattern.data());
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    std::filesystem::path path;
};

} // namespace tamarackcove::test
