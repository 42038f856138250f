#include "tamarackcove/Targets/Announcement.h"

#include <algorithm>
#include <string_view>

namespace tamarackcove {

// Far above the values of any real target; a larger value indicates a wrong unit or swapped fields.
static constexpr int MaxAdapterSlots = 10000;
static constexpr int MaxBatchSize = 100000;
static constexpr int MaxRequests = 1000000;
static constexpr std::size_t MaxNameLength = 128;

static bool isValidName(std::string_view text)
{
    if (text.empty() || text.size() > MaxNameLength) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
            || c == '-' || c == '/';
    });
}

bool equalExceptLoad(const Announcement &left, const Announcement &right)
{
    return left.id == right.id && left.incarnation == right.incarnation && left.zone == right.zone
        && left.kind == right.kind && left.service == right.service && left.endpoint == right.endpoint
        && left.baseModel == right.baseModel && left.adapterSlots == right.adapterSlots
        && left.maxBatch == right.maxBatch && left.fencing == right.fencing && left.leaving == right.leaving
        && (!left.adapters || !right.adapters || left.adapters == right.adapters);
}

static Result<void, std::string> validateEngine(const Announcement &announcement)
{
    if (!isValidName(announcement.baseModel.value())) {
        return std::string("base_model must name the model that the engine serves");
    }
    if (announcement.adapterSlots < 1 || announcement.adapterSlots > MaxAdapterSlots) {
        return "adapter_slots must be 1 to " + std::to_string(MaxAdapterSlots);
    }
    if (announcement.maxBatch < 1 || announcement.maxBatch > MaxBatchSize) {
        return "max_batch must be 1 to " + std::to_string(MaxBatchSize);
    }
    const auto held = announcement.adapters ? announcement.adapters->size() : 0;
    if (held > static_cast<std::size_t>(announcement.adapterSlots)) {
        return "adapters holds " + std::to_string(held) + " names, but adapter_slots is "
            + std::to_string(announcement.adapterSlots);
    }
    return ok();
}

Result<void, std::string> validate(const Announcement &announcement, const Zone &zone)
{
    if (!isValidName(announcement.id.value())) {
        return std::string("id must have 1 to 128 characters of A-Z a-z 0-9 . _ - /");
    }
    if (announcement.zone != zone) {
        return "this entry serves zone " + zone.value() + "; announce to an entry of zone " + announcement.zone.value();
    }
    if (announcement.incarnation == Incarnation()) {
        return std::string("incarnation must be above 0 and change with each start");
    }
    if (!Endpoint::parse(announcement.endpoint.toString())) {
        return std::string("host must be an IP address that the entries can reach");
    }
    if (announcement.endpoint.port == 0) {
        return std::string("port must be 1 to 65535");
    }
    if (announcement.running < 0 || announcement.waiting < 0 || announcement.running > MaxRequests
        || announcement.waiting > MaxRequests) {
        return "running and waiting must be 0 to " + std::to_string(MaxRequests);
    }
    if (announcement.kind == TargetKind::Engine) {
        return validateEngine(announcement);
    }
    if (!isValidName(announcement.service.value())) {
        return std::string("service must name the service that the target provides");
    }
    if (announcement.adapters && !announcement.adapters->empty()) {
        return std::string("a service holds no adapters; leave adapters empty");
    }
    return ok();
}

} // namespace tamarackcove
