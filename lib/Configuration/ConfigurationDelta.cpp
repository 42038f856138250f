#include "tamarackcove/Configuration/ConfigurationDelta.h"

#include <algorithm>
#include <cassert>

namespace tamarackcove {

std::size_t ConfigurationDelta::size() const
{
    return removed.size() + put.size() + services.size() + removedServices.size() + quarantined.size() + released.size()
        + (store ? 1 : 0) + (weights ? 1 : 0);
}

// Adds the fingerprints of the later delta to one list and removes them from the list of opposite changes, which they
// cancel.
static void appendFingerprints(std::vector<std::uint64_t> &added, std::vector<std::uint64_t> &opposite,
                               const std::vector<std::uint64_t> &later)
{
    for (const auto fingerprint : later) {
        std::erase(opposite, fingerprint);
        added.push_back(fingerprint);
    }
}

void ConfigurationDelta::append(const ConfigurationDelta &later)
{
    assert(!later.full && later.from == to && "an appended delta must start at the revision where this one ends");
    if (!later.removed.empty()) {
        const std::set<AdapterRef> removedLater(later.removed.begin(), later.removed.end());
        std::erase_if(put, [&removedLater](const AdapterPut &entry) { return removedLater.contains(entry.adapter); });
        removed.insert(removed.end(), later.removed.begin(), later.removed.end());
    }
    put.insert(put.end(), later.put.begin(), later.put.end());
    for (const auto &name : later.removedServices) {
        services.erase(name);
        removedServices.insert(name);
    }
    for (const auto &[name, route] : later.services) {
        removedServices.erase(name);
        services[name] = route;
    }
    appendFingerprints(quarantined, released, later.quarantined);
    appendFingerprints(released, quarantined, later.released);
    if (later.store) {
        store = later.store;
    }
    if (later.weights) {
        weights = later.weights;
    }
    to = later.to;
}

void applyDelta(ServingConfiguration &configuration, const ConfigurationDelta &delta)
{
    if (delta.full) {
        configuration = ServingConfiguration{};
    }
    assert((delta.full || delta.from == configuration.revision)
           && "an incremental delta applies only to the revision it starts from");
    for (const auto &adapter : delta.removed) {
        configuration.adapters.remove(adapter);
    }
    for (const auto &[adapter, record] : delta.put) {
        configuration.adapters.put(adapter, record);
    }
    for (const auto &name : delta.removedServices) {
        configuration.services.erase(name);
    }
    for (const auto &[name, route] : delta.services) {
        configuration.services[name] = route;
    }
    for (const auto fingerprint : delta.released) {
        configuration.quarantined.erase(fingerprint);
    }
    configuration.quarantined.insert(delta.quarantined.begin(), delta.quarantined.end());
    if (delta.store) {
        configuration.store = *delta.store;
    }
    if (delta.weights) {
        configuration.weights = *delta.weights;
    }
    configuration.revision = delta.to;
}

ConfigurationDelta fullDelta(const ServingConfiguration &configuration)
{
    ConfigurationDelta delta;
    delta.full = true;
    delta.to = configuration.revision;
    auto adapters = configuration.adapters.all();
    std::sort(adapters.begin(), adapters.end());
    delta.put.reserve(adapters.size());
    for (auto &adapter : adapters) {
        const auto record = configuration.adapters.find(adapter);
        assert(record && "all() lists an adapter that find() does not return");
        delta.put.push_back({.adapter = std::move(adapter), .record = *record});
    }
    delta.services = configuration.services;
    delta.quarantined.assign(configuration.quarantined.begin(), configuration.quarantined.end());
    std::sort(delta.quarantined.begin(), delta.quarantined.end());
    delta.store = configuration.store;
    delta.weights = configuration.weights;
    return delta;
}

} // namespace tamarackcove
