#include "tamarackcove/Storage/SnapshotFile.h"

#include "StorageFile.h"
#include "tamarackcove/Base/Hash.h"
#include "tamarackcove/Storage/EntryCodec.h"

#include <algorithm>
#include <fmt/format.h>
#include <vector>

namespace tamarackcove {

namespace fs = std::filesystem;

static constexpr std::string_view Suffix = ".snapshot";
static constexpr std::size_t ChecksumBytes = 8;

/// Returns the snapshots of the folder, oldest first: file names are log indices with leading zeros.
static std::vector<fs::path> listSnapshots(const fs::path &folder)
{
    std::vector<fs::path> found;
    std::error_code ignored;
    for (const auto &item : fs::directory_iterator(folder, ignored)) {
        if (item.path().extension() == Suffix) {
            found.push_back(item.path());
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

Result<void, StorageError> saveSnapshotFile(const fs::path &folder, const SnapshotImage &image, const FileHooks &hooks)
{
    std::string bytes;
    bytes.reserve(image.bytes->size() + 1024);
    ByteWriter writer(bytes);
    writer.number(0, ChecksumBytes);
    writer.number(image.lastIndex, 8);
    writer.number(image.lastTerm, 8);
    writer.number(encodeTime(image.lastTime), 8);
    encodeGroup(writer, image.group);
    writer.text(*image.bytes);
    std::string checksum;
    ByteWriter(checksum).number(hash64(std::string_view(bytes).substr(ChecksumBytes)), ChecksumBytes);
    bytes.replace(0, ChecksumBytes, checksum);

    const auto path = folder / fmt::format("{:020}{}", image.lastIndex, Suffix);
    if (auto replaced = replaceFile(path, bytes, hooks); replaced.has_error()) {
        return replaced;
    }
    for (const auto &older : listSnapshots(folder)) {
        std::error_code ignored;
        if (older < path) {
            fs::remove(older, ignored);
        }
    }
    return ok();
}

Result<std::optional<SnapshotImage>, StorageError> loadSnapshotFile(const fs::path &folder)
{
    const auto snapshots = listSnapshots(folder);
    if (snapshots.empty()) {
        return std::optional<SnapshotImage>();
    }
    const auto &path = snapshots.back();
    auto read = readWholeFile(path);
    if (read.has_error()) {
        return std::move(read).error();
    }
    const std::string_view bytes = read.value();
    ByteReader reader(bytes);
    const auto checksum = reader.number(ChecksumBytes);
    SnapshotImage image;
    image.lastIndex = reader.number(8);
    image.lastTerm = reader.number(8);
    image.lastTime = decodeTime<std::chrono::system_clock::time_point>(reader.number(8));
    auto group = decodeGroup(reader);
    const auto state = reader.text();
    if (!group || reader.failed() || checksum != hash64(bytes.substr(ChecksumBytes))) {
        return StorageError{StorageErrorCode::Damaged,
                            path.string()
                                + " does not match its checksum; remove the whole data folder, so that this "
                                  "replica joins again under a new identity"};
    }
    image.group = std::move(*group);
    image.bytes = std::make_shared<const std::string>(state);
    return std::optional(std::move(image));
}

} // namespace tamarackcove
