#include "tamarackcove/Entry/EntryProcess.h"

#include "tamarackcove/Entry/EntrySettings.h"

#include <cstddef>
#include <cstring>
#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace tamarackcove;

/// Fills heap blocks of all sizes with non-zero bytes and frees them, so that later allocations are likely to reuse
/// them and a read of an uninitialised member does not return zero.
static void fillHeapWithNonZeroBytes()
{
    constexpr std::size_t LargestBlock = 64 * 1024;
    constexpr std::size_t Step = 64;
    std::vector<std::unique_ptr<std::byte[]>> blocks;
    blocks.reserve(LargestBlock / Step);
    for (std::size_t size = Step; size <= LargestBlock; size += Step) {
        blocks.push_back(std::make_unique<std::byte[]>(size));
        std::memset(blocks.back().get(), 0xff, size);
    }
}

TEST_CASE("the constructor of an entry process reads no member that is initialised later")
{
    for (int i = 0; i < 3; ++i) {
        fillHeapWithNonZeroBytes();
        EntrySettings settings;
        settings.name = EntryId("e1");
        const EntryProcess entry(std::move(settings));
    }
}
