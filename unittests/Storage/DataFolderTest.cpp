#include "tamarackcove/Storage/DataFolder.h"

#include "TemporaryFolder.h"
#include "tamarackcove/Storage/WriteAheadLog.h"

#include <cerrno>
#include <doctest/doctest.h>
#include <fstream>

namespace fs = std::filesystem;
using namespace tamarackcove;
using namespace tamarackcove::test;

static LogEntryPtr entry(LogIndex index, Term term, const std::string &command)
{
    return std::make_shared<const LogEntry>(
        LogEntry{.index = index, .term = term, .kind = EntryKind::Command, .command = command});
}

static PersistRequest entries(LogIndex first, LogIndex last, Term term)
{
    PersistRequest request;
    for (auto index = first; index <= last; ++index) {
        request.entries.push_back(entry(index, term, "command " + std::to_string(index)));
    }
    return request;
}

static SnapshotImage snapshot(LogIndex index, Term term)
{
    return {.lastIndex = index,
            .lastTerm = term,
            .lastTime = {},
            .group = {.groupId = "g", .members = {{.id = ReplicaId("r1"), .name = "c1", .voter = true}}},
            .bytes = std::make_shared<const std::string>("state at " + std::to_string(index))};
}

/// Opens the folder, writes the requests, and closes it.
static void write(const fs::path &path, const std::vector<PersistRequest> &requests)
{
    RecoveredState recovered;
    auto folder = DataFolder::open(path, FileHooks::system(), randomIdentity, recovered);
    REQUIRE(folder.has_value());
    for (const auto &request : requests) {
        REQUIRE(folder.value().persist({&request, 1}).has_value());
    }
}

static Result<RecoveredState, StorageError> reopen(const fs::path &path)
{
    RecoveredState recovered;
    auto folder = DataFolder::open(path, FileHooks::system(), randomIdentity, recovered);
    if (folder.has_error()) {
        return folder.error();
    }
    return recovered;
}

static fs::path onlySegment(const fs::path &path)
{
    fs::path found;
    for (const auto &item : fs::directory_iterator(path)) {
        found = item.path().extension() == ".wal" ? item.path() : found;
    }
    return found;
}

static void flipByte(const fs::path &path, std::uintmax_t offset)
{
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    const auto byte = static_cast<char>(file.get());
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(static_cast<char>(byte ^ 0x40));
}

TEST_CASE("reopening a folder recovers the identity, the hard state and the entries, without overwritten entries")
{
    const TemporaryFolder folder;
    auto vote = entries(1, 5, 1);
    vote.hardState = HardState{.term = 3, .votedFor = ReplicaId("r2")};
    write(folder.path, {vote, entries(4, 6, 2)});
    const auto first = reopen(folder.path);
    REQUIRE(first.has_value());
    CHECK(first.value().hardState == *vote.hardState);
    REQUIRE(first.value().entries.size() == 6);
    CHECK(first.value().entries[2]->term == 1);
    CHECK(first.value().entries[3]->term == 2);
    CHECK(first.value().entries[5]->command == "command 6");
    CHECK(reopen(folder.path).value().self == first.value().self);
}

TEST_CASE("an emptied folder gets a new identity, and a folder in use cannot be opened again")
{
    const TemporaryFolder folder;
    const auto before = reopen(folder.path).value().self;
    for (const auto &item : fs::directory_iterator(folder.path)) {
        fs::remove(item.path());
    }
    CHECK(reopen(folder.path).value().self != before);

    RecoveredState recovered;
    const auto open = DataFolder::open(folder.path, FileHooks::system(), randomIdentity, recovered);
    REQUIRE(open.has_value());
    CHECK(reopen(folder.path).error().code == StorageErrorCode::Locked);
}

// Without its log the replica could vote again in a term in which it has voted.
TEST_CASE("opening a folder fails if only its log or only its identity is missing")
{
    for (const std::string lost : {"log", "identity"}) {
        const TemporaryFolder folder;
        write(folder.path, {entries(1, 3, 1)});
        fs::remove(lost == "log" ? onlySegment(folder.path) : folder.path / "identity");
        const auto opened = reopen(folder.path);
        REQUIRE(opened.has_error());
        CHECK(opened.error().code == StorageErrorCode::Damaged);
    }
}

TEST_CASE("a last frame that is truncated at any byte is dropped and earlier frames are kept")
{
    const TemporaryFolder original;
    write(original.path, {entries(1, 3, 1)});
    const auto acknowledgedSize = fs::file_size(onlySegment(original.path));
    write(original.path, {entries(4, 4, 1)});
    const auto fullSize = fs::file_size(onlySegment(original.path));
    for (auto size = acknowledgedSize; size < fullSize; ++size) {
        const TemporaryFolder truncated;
        fs::copy(original.path, truncated.path, fs::copy_options::recursive | fs::copy_options::overwrite_existing);
        fs::resize_file(onlySegment(truncated.path), size);
        const auto opened = reopen(truncated.path);
        REQUIRE(opened.has_value());
        REQUIRE(opened.value().entries.size() == 3);
        // Frames appended after the truncation must be readable.
        write(truncated.path, {entries(4, 5, 2)});
        REQUIRE(reopen(truncated.path).value().entries.size() == 5);
    }
}

TEST_CASE("damage at any byte of a frame before the last one is an error that names the file")
{
    const TemporaryFolder original;
    write(original.path, {entries(1, 2, 1)});
    const auto firstFrameSize = fs::file_size(onlySegment(original.path));
    write(original.path, {entries(3, 4, 1)});
    for (std::uintmax_t offset = 0; offset < firstFrameSize; ++offset) {
        const TemporaryFolder damaged;
        fs::copy(original.path, damaged.path, fs::copy_options::recursive | fs::copy_options::overwrite_existing);
        flipByte(onlySegment(damaged.path), offset);
        const auto opened = reopen(damaged.path);
        REQUIRE(opened.has_error());
        REQUIRE(opened.error().code == StorageErrorCode::Damaged);
        REQUIRE(opened.error().detail.find(".wal") != std::string::npos);
    }
}

TEST_CASE("after a failed sync or write every call fails without writing to the disk")
{
    for (const bool failSync : {true, false}) {
        const TemporaryFolder folder;
        bool failing = false;
        int calls = 0;
        auto hooks = FileHooks::system();
        const auto system = hooks;
        hooks.sync = [&](int file) {
            calls += failing ? 1 : 0;
            errno = EIO;
            return failing && failSync ? -1 : system.sync(file);
        };
        hooks.write = [&](int file, const void *bytes, std::size_t size) -> ssize_t {
            calls += failing ? 1 : 0;
            errno = EIO;
            // A torn write: half of the bytes reach the file before the error.
            return failing && !failSync ? (size > 1 ? system.write(file, bytes, size / 2) : -1)
                                        : system.write(file, bytes, size);
        };
        RecoveredState recovered;
        auto opened = DataFolder::open(folder.path, hooks, randomIdentity, recovered);
        REQUIRE(opened.has_value());
        REQUIRE(opened.value().persist(std::vector{entries(1, 1, 1)}).has_value());
        failing = true;
        const auto failed = opened.value().persist(std::vector{entries(2, 2, 1)});
        REQUIRE(failed.has_error());
        CHECK(failed.error().code == (failSync ? StorageErrorCode::SyncFailed : StorageErrorCode::WriteFailed));
        failing = false;
        calls = 0;
        CHECK(opened.value().persist(std::vector{entries(2, 2, 1)}).has_error());
        CHECK(opened.value().saveSnapshot(snapshot(1, 1)).has_error());
        CHECK(calls == 0);
    }
}

TEST_CASE("a write to a full disk leaves no partial frame and succeeds when retried with free space")
{
    const TemporaryFolder folder;
    bool diskFull = false;
    auto hooks = FileHooks::system();
    const auto system = hooks;
    hooks.write = [&](int file, const void *bytes, std::size_t size) -> ssize_t {
        if (!diskFull) {
            return system.write(file, bytes, size);
        }
        // The disk accepts half of each write, and refuses a write of one byte.
        if (size > 1) {
            return system.write(file, bytes, size / 2);
        }
        errno = ENOSPC;
        return -1;
    };
    RecoveredState recovered;
    {
        auto opened = DataFolder::open(folder.path, hooks, randomIdentity, recovered);
        REQUIRE(opened.has_value());
        REQUIRE(opened.value().persist(std::vector{entries(1, 1, 1)}).has_value());
        diskFull = true;
        for (int i = 0; i < 3; ++i) {
            const auto refused = opened.value().persist(std::vector{entries(2, 2, 1)});
            REQUIRE(refused.has_error());
            CHECK(refused.error().code == StorageErrorCode::NoSpace);
        }
        diskFull = false;
        REQUIRE(opened.value().persist(std::vector{entries(2, 2, 1)}).has_value());
    }
    RecoveredState recoveredLater;
    const auto reopened = DataFolder::open(folder.path, system, randomIdentity, recoveredLater);
    REQUIRE(reopened.has_value());
    CHECK(recoveredLater.entries.size() == 2);
}

TEST_CASE(
    "saving a snapshot removes the segments it covers, and later entries are recovered; a damaged snapshot is an error")
{
    const TemporaryFolder folder;
    write(folder.path, {entries(1, 10, 1)});
    {
        RecoveredState recovered;
        auto opened = DataFolder::open(folder.path, FileHooks::system(), randomIdentity, recovered);
        REQUIRE(opened.value().saveSnapshot(snapshot(10, 1)).has_value());
        REQUIRE(opened.value().persist(std::vector{entries(11, 12, 1)}).has_value());
    }
    const auto recovered = reopen(folder.path);
    REQUIRE(recovered.has_value());
    CHECK(*recovered.value().snapshot->bytes == "state at 10");
    CHECK(recovered.value().snapshot->group.isVoter(ReplicaId("r1")));
    CHECK(recovered.value().entries.size() == 2);
    CHECK(std::distance(fs::directory_iterator(folder.path), fs::directory_iterator()) == 4);

    flipByte(folder.path / "00000000000000000010.snapshot", 40);
    CHECK(reopen(folder.path).error().code == StorageErrorCode::Damaged);
}

TEST_CASE("a snapshot from the leader replaces a conflicting log, even if the process ends before the log is written")
{
    for (const bool interrupted : {false, true}) {
        const TemporaryFolder folder;
        write(folder.path, {entries(1, 20, 1)});
        bool failing = false;
        auto hooks = FileHooks::system();
        hooks.write = [&, system = hooks.write](int file, const void *bytes, std::size_t size) {
            // The snapshot is the first write; the log is the second.
            return failing && std::string_view(static_cast<const char *>(bytes), 4) == "TCWL"
                ? ssize_t{-1}
                : system(file, bytes, size);
        };
        {
            RecoveredState recovered;
            auto opened = DataFolder::open(folder.path, hooks, randomIdentity, recovered);
            failing = interrupted;
            auto request = entries(16, 17, 3);
            request.snapshot = snapshot(15, 3);
            CHECK(opened.value().persist(std::vector{request}).has_value() != interrupted);
        }
        const auto recovered = reopen(folder.path);
        REQUIRE(recovered.has_value());
        CHECK(recovered.value().snapshot->lastIndex == 15);
        CHECK(recovered.value().entries.size() == (interrupted ? 0 : 2));
    }
}
