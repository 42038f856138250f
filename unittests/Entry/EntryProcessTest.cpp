#include "tamarackcove/Entry/EntryProcess.h"

#include "tamarackcove/Entry/EntrySettings.h"

#include <cstddef>
#include <cstring>
#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace tamarackcove;

/// Leaves blocks of all sizes on the free list that do not hold zeros.
static void soilHeap()
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

TEST_CASE("an entry is made without reading members that are constructed later")
{
    for (int i = 0; i < 3; ++i) {
        soilHeap();
        EntrySettings settings;
        settings.name = EntryId("e1");
        const EntryProcess entry(std::move(settings));
    }
}
