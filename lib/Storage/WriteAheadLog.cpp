#include "tamarackcove/Storage/WriteAheadLog.h"

#include "StorageFile.h"
#include "WalFrame.h"

#include <algorithm>
#include <fcntl.h>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace tamarackcove {

namespace fs = std::filesystem;

static constexpr std::string_view Suffix = ".wal";

struct Segment
{
    fs::path path;
    std::uint64_t number = 0;
    /// Highest index of an entry in the segment; 0 if it has none.
    LogIndex lastIndex = 0;
    std::size_t bytes = 0;
};

struct WriteAheadLog::Impl
{
    fs::path folder;
    FileHooks hooks;
    std::size_t segmentBytes = 0;
    HardState hardState;
    std::vector<Segment> segments;
    StorageFile current;
    /// Whether the newest segment may have bytes after its last whole frame.
    bool hasTorn = false;
    /// The first error other than NoSpace. Every later call fails with this error.
    std::optional<StorageError> failure;

    Result<void, StorageError> readSegment(Segment &segment, bool newest, WalContents &contents);
    Result<void, StorageError> startSegment();
    /// Removes the newest segment, for which the disk had no space, so that later frames are appended to the segment
    /// before it. Returns `reason`.
    Result<void, StorageError> dropNewestSegment(const StorageError &reason);
    Result<void, StorageError> appendFrame(std::string_view payload);
    /// Removes the bytes after the last whole frame, if there may be any, so that the next frame follows it.
    Result<void, StorageError> removeTornFrame();
    Result<void, StorageError> recordFailure(Result<void, StorageError> result);
};

static std::vector<Segment> listSegments(const fs::path &folder)
{
    std::vector<Segment> segments;
    std::error_code ignored;
    for (const auto &item : fs::directory_iterator(folder, ignored)) {
        if (item.path().extension() == Suffix) {
            segments.push_back({.path = item.path(), .number = std::stoull("0" + item.path().stem().string())});
        }
    }
    std::sort(segments.begin(), segments.end(), [](const auto &a, const auto &b) { return a.number < b.number; });
    return segments;
}

WriteAheadLog::WriteAheadLog(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

WriteAheadLog::~WriteAheadLog() = default;
WriteAheadLog::WriteAheadLog(WriteAheadLog &&) noexcept = default;
WriteAheadLog &WriteAheadLog::operator=(WriteAheadLog &&) noexcept = default;

bool WriteAheadLog::exists(const fs::path &folder)
{
    return !listSegments(folder).empty();
}

Result<WriteAheadLog, StorageError> WriteAheadLog::open(const fs::path &folder, FileHooks hooks, WalContents &contents,
                                                        std::size_t segmentBytes)
{
    auto impl = std::make_unique<Impl>();
    impl->folder = folder;
    impl->hooks = std::move(hooks);
    impl->segmentBytes = segmentBytes;
    impl->segments = listSegments(folder);
    for (auto &segment : impl->segments) {
        const bool newest = &segment == &impl->segments.back();
        if (auto read = impl->readSegment(segment, newest, contents); read.has_error()) {
            return std::move(read).error();
        }
    }
    impl->hardState = contents.hardState;
    if (impl->segments.empty()) {
        if (auto started = impl->startSegment(); started.has_error()) {
            return std::move(started).error();
        }
    } else {
        auto opened = StorageFile::open(impl->segments.back().path, O_WRONLY | O_APPEND);
        if (opened.has_error()) {
            return std::move(opened).error();
        }
        impl->current = std::move(opened).value();
    }
    return WriteAheadLog(std::move(impl));
}

Result<void, StorageError> WriteAheadLog::Impl::readSegment(Segment &segment, bool newest, WalContents &contents)
{
    const auto read = readWholeFile(segment.path);
    if (read.has_error()) {
        return read.error();
    }
    const std::string_view bytes = read.value();
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const auto frame = decodeFrame(bytes.substr(offset));
        if (!frame || !replayRecords(frame->payload, contents.hardState, contents.entries)) {
            break;
        }
        offset += frame->size;
        if (!contents.entries.empty()) {
            segment.lastIndex = std::max(segment.lastIndex, contents.entries.back()->index);
        }
    }
    segment.bytes = offset;
    if (offset == bytes.size()) {
        return ok();
    }
    // Only the last frame can be incomplete, because each append is synced before the next one starts.
    if (!newest || containsFrame(bytes.substr(offset))) {
        return StorageError{
            StorageErrorCode::Damaged,
            fmt::format("{} is damaged at byte {}; check the disk, then remove the whole data folder, so "
                        "that this replica joins again under a new identity",
                        segment.path.string(), offset)};
    }
    auto opened = StorageFile::open(segment.path, O_WRONLY);
    if (opened.has_error()) {
        return std::move(opened).error();
    }
    if (auto truncated = opened.value().truncate(offset, hooks); truncated.has_error()) {
        return truncated;
    }
    return opened.value().sync(hooks);
}

Result<void, StorageError> WriteAheadLog::Impl::startSegment()
{
    Segment segment;
    segment.number = segments.empty() ? 1 : segments.back().number + 1;
    segment.path = folder / fmt::format("{:020}{}", segment.number, Suffix);
    // A file of this name is left if the removal of a segment was refused.
    auto opened = StorageFile::open(segment.path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND);
    if (opened.has_error()) {
        return std::move(opened).error();
    }
    current = std::move(opened).value();
    segments.push_back(std::move(segment));
    // Each segment starts with the hard state, so that earlier segments can be removed.
    const PersistRequest hardStateRequest{.sequence = 0, .hardState = hardState};
    if (auto written = appendFrame(encodeRecords({&hardStateRequest, 1})); written.has_error()) {
        if (written.error().code == StorageErrorCode::NoSpace && segments.size() > 1) {
            return dropNewestSegment(written.error());
        }
        return written;
    }
    auto synced = syncFolder(folder, hooks);
    // Without the sync of the folder, the segment and all frames in it could be lost.
    if (synced.has_error() && synced.error().code == StorageErrorCode::NoSpace && segments.size() > 1) {
        return dropNewestSegment(synced.error());
    }
    return synced;
}

Result<void, StorageError> WriteAheadLog::Impl::dropNewestSegment(const StorageError &reason)
{
    std::error_code ignored;
    fs::remove(segments.back().path, ignored);
    segments.pop_back();
    hasTorn = false;
    auto opened = StorageFile::open(segments.back().path, O_WRONLY | O_APPEND);
    if (opened.has_error()) {
        return std::move(opened).error();
    }
    current = std::move(opened).value();
    return reason;
}

Result<void, StorageError> WriteAheadLog::Impl::appendFrame(std::string_view payload)
{
    const auto frame = encodeFrame(payload);
    hasTorn = true;
    auto written = current.writeAll(frame, hooks);
    if (!written.has_error()) {
        written = current.sync(hooks);
    }
    if (written.has_error()) {
        // After a refused sync the kernel may have dropped what was written, so the whole frame is written again. If
        // the disk refuses the truncation as well, the next append begins with it.
        if (written.error().code == StorageErrorCode::NoSpace) {
            if (auto removed = removeTornFrame(); removed.has_error()) {
                return removed;
            }
        }
        return written;
    }
    hasTorn = false;
    segments.back().bytes += frame.size();
    return ok();
}

Result<void, StorageError> WriteAheadLog::Impl::removeTornFrame()
{
    if (!hasTorn) {
        return ok();
    }
    if (auto truncated = current.truncate(segments.back().bytes, hooks); truncated.has_error()) {
        return truncated;
    }
    hasTorn = false;
    return ok();
}

Result<void, StorageError> WriteAheadLog::Impl::recordFailure(Result<void, StorageError> result)
{
    if (result.has_error() && result.error().code != StorageErrorCode::NoSpace) {
        failure = result.error();
    }
    return result;
}

Result<void, StorageError> WriteAheadLog::append(std::span<const PersistRequest> requests)
{
    auto &impl = *m_impl;
    if (impl.failure) {
        return *impl.failure;
    }
    if (auto removed = impl.recordFailure(impl.removeTornFrame()); removed.has_error()) {
        return removed;
    }
    if (impl.segments.back().bytes >= impl.segmentBytes) {
        if (auto started = impl.recordFailure(impl.startSegment()); started.has_error()) {
            return started;
        }
    }
    for (const auto &request : requests) {
        impl.hardState = request.hardState.value_or(impl.hardState);
        if (!request.entries.empty()) {
            auto &last = impl.segments.back().lastIndex;
            last = std::max(last, request.entries.back()->index);
        }
    }
    return impl.recordFailure(impl.appendFrame(encodeRecords(requests)));
}

Result<void, StorageError> WriteAheadLog::compactTo(LogIndex index)
{
    auto &impl = *m_impl;
    if (impl.failure) {
        return *impl.failure;
    }
    if (auto removed = impl.recordFailure(impl.removeTornFrame()); removed.has_error()) {
        return removed;
    }
    if (auto started = impl.recordFailure(impl.startSegment()); started.has_error()) {
        return started;
    }
    // Stops at the first segment that must stay. All newer segments must stay with it, because their entries may
    // replace some of its entries.
    bool removed = false;
    while (impl.segments.size() > 1 && impl.segments.front().lastIndex <= index) {
        std::error_code ignored;
        removed = fs::remove(impl.segments.front().path, ignored) || removed;
        impl.segments.erase(impl.segments.begin());
    }
    return removed ? impl.recordFailure(syncFolder(impl.folder, impl.hooks)) : Result<void, StorageError>(ok());
}

} // namespace tamarackcove
