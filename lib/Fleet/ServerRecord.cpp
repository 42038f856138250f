#include "tamarackcove/Fleet/ServerRecord.h"

#include <algorithm>

namespace tamarackcove {

/// Limits beyond any real server. They keep one server from filling the messages to entries, and sums from overflowing.
static constexpr std::size_t MaxModels = 256;
static constexpr std::size_t MaxAdapters = 4096;
static constexpr std::size_t MaxPendingAdapters = 256;
static constexpr int MaxSlots = 65536;
/// The end of the year 9999 as Unix time in milliseconds.
static constexpr std::uint64_t MaxStartTime = 253402300799999;

static bool isControlCharacter(char c)
{
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return byte < FirstPrintable || byte == Delete;
}

/// Whether the text can stand in the header of a request as it is.
static bool isVisibleAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= MaxNameBytes && std::none_of(name.begin(), name.end(), isControlCharacter);
}

static std::optional<std::string> modelsError(const std::vector<HeldModel> &models)
{
    if (models.size() > MaxModels) {
        return "the server names " + std::to_string(models.size()) + " base models, more than "
            + std::to_string(MaxModels);
    }
    std::size_t adapters = 0;
    for (const auto &model : models) {
        if (!isValidName(model.name.value())) {
            return "a base model has no name of 1 to " + std::to_string(MaxNameBytes) + " printable bytes";
        }
        adapters += model.adapters.size();
        if (adapters > MaxAdapters) {
            return "the server names more than " + std::to_string(MaxAdapters) + " adapters";
        }
        for (const auto &adapter : model.adapters) {
            if (!isValidName(adapter.adapter)) {
                return "an adapter of \"" + model.name.value() + "\" has no name of 1 to "
                    + std::to_string(MaxNameBytes) + " printable bytes";
            }
        }
    }
    return std::nullopt;
}

std::optional<std::string> ServerHeartbeat::validationError() const
{
    const auto &id = identity.id.value();
    if (!isValidName(id) || !isVisibleAscii(id)) {
        return "the id of the server is not of 1 to " + std::to_string(MaxNameBytes) + " visible ASCII characters";
    }
    if (identity.startedAt.value() > MaxStartTime) {
        return "the start time " + std::to_string(identity.startedAt.value()) + " ms is after the year 9999";
    }
    if (!isValidName(service.value())) {
        return "the service has no name of 1 to " + std::to_string(MaxNameBytes) + " printable bytes";
    }
    if (!zone.empty() && !isValidName(zone.value())) {
        return "the zone has no name of at most " + std::to_string(MaxNameBytes) + " printable bytes";
    }
    if (endpoint.port == 0 || endpoint.host.empty() || endpoint.host == "0.0.0.0" || endpoint.host == "::") {
        return endpoint.toString() + " is not the address and port of one server";
    }
    if (slots < 0 || slots > MaxSlots) {
        return "the number of slots " + std::to_string(slots) + " is not from 0 to " + std::to_string(MaxSlots);
    }
    return modelsError(models);
}

std::optional<std::string> ServerReport::validationError() const
{
    if (pending.size() > MaxPendingAdapters) {
        return "the server names " + std::to_string(pending.size()) + " pending adapters, more than "
            + std::to_string(MaxPendingAdapters);
    }
    for (const auto &[key, version] : pending) {
        if (!isValidName(key.model.value()) || !isValidName(key.adapter)) {
            return "a pending adapter has no name of 1 to " + std::to_string(MaxNameBytes) + " printable bytes";
        }
    }
    return modelsError(models);
}

} // namespace tamarackcove
