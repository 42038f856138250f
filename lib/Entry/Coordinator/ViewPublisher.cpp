#include "tamarackcove/Entry/Coordinator/ViewPublisher.h"

#include "../Peers/ViewEncoding.h"
#include "tamarackcove/Targets/TargetRegistry.h"

#include <utility>

namespace tamarackcove {

// Keep each message well below the maximum frame size.
static constexpr std::size_t TargetsPerMessage = 200;
static constexpr std::size_t RemoteAdaptersPerMessage = 5000;

ViewPublisher::ViewPublisher(FencingNumber number, TargetRegistry &registry, MayBeEvicted mayBeEvicted)
    : m_number(number)
    , m_registry(registry)
    , m_mayBeEvicted(std::move(mayBeEvicted))
{
}

void ViewPublisher::setRemoteResidency(const Zone &zone, const AdapterRef &adapter, bool resident)
{
    auto &held = m_remoteResidency[zone];
    const bool changed = resident ? held.insert(adapter).second : held.erase(adapter) > 0;
    if (changed) {
        m_pendingChanges.remote.emplace_back(zone.value(), adapter.toString(), resident);
    }
}

void ViewPublisher::clearRemoteResidency(const Zone &zone)
{
    const auto held = m_remoteResidency[zone];
    for (const auto &adapter : held) {
        setRemoteResidency(zone, adapter, false);
    }
}

static std::vector<std::string> entryNames(const std::vector<EntryId> &entries)
{
    std::vector<std::string> texts;
    texts.reserve(entries.size());
    for (const auto &entry : entries) {
        texts.push_back(entry.value());
    }
    return texts;
}

void ViewPublisher::setRemoteEntries(const Zone &zone, std::vector<EntryId> entries)
{
    auto &knownEntries = m_remoteEntries[zone];
    if (knownEntries == entries) {
        return;
    }
    knownEntries = std::move(entries);
    if (knownEntries.empty()) {
        m_remoteResidency.erase(zone);
        std::erase_if(m_pendingChanges.remote,
                      [&zone](const auto &change) { return std::get<0>(change) == zone.value(); });
    }
    std::erase_if(m_pendingChanges.zones, [&zone](const auto &change) { return change.first == zone.value(); });
    m_pendingChanges.zones.emplace_back(zone.value(), entryNames(knownEntries));
}

int ViewPublisher::wireState(const TargetId &target, const AdapterRef &adapter, int state) const
{
    const bool evictionPossible = state == fromResidency(ResidencyState::Resident) && m_mayBeEvicted(target, adapter);
    return evictionPossible ? fromResidency(ResidencyState::Retiring) : state;
}

WireTarget ViewPublisher::wireTarget(const TargetId &target) const
{
    auto view = m_registry.view(target);
    for (auto &[adapter, state] : view.adapters) {
        if (state == ResidencyState::Resident && m_mayBeEvicted(target, adapter)) {
            state = ResidencyState::Retiring;
        }
    }
    return toWire(m_registry.index(target), view);
}

void ViewPublisher::republish(const TargetId &target)
{
    if (m_registry.contains(target)) {
        m_pendingChanges.targets.push_back(wireTarget(target));
        m_publishedIndexes[target] = m_registry.index(target);
    }
}

ViewMessage ViewPublisher::takeChanges()
{
    auto changes = m_registry.takeChanges();
    auto message = std::exchange(m_pendingChanges, {});
    message.number = m_number.value();
    for (const auto &target : changes.gone) {
        const auto published = m_publishedIndexes.find(target);
        if (published != m_publishedIndexes.end()) {
            message.gone.push_back(published->second);
            m_publishedIndexes.erase(published);
        }
    }
    for (const auto &target : changes.replaced) {
        if (m_registry.contains(target)) {
            m_publishedIndexes[target] = m_registry.index(target);
            message.targets.push_back(wireTarget(target));
        }
    }
    for (const auto &target : changes.health) {
        if (m_registry.contains(target) && !changes.replaced.contains(target)) {
            message.health.emplace_back(m_registry.index(target), static_cast<int>(m_registry.view(target).health));
        }
    }
    // Only the last change of each target and adapter is sent, and none for replaced targets, whose message already
    // lists all their adapters.
    std::map<std::pair<std::uint32_t, AdapterRef>, int> lastStates;
    for (const auto &change : changes.residency) {
        if (m_registry.contains(change.target) && !changes.replaced.contains(change.target)) {
            lastStates[{m_registry.index(change.target), change.adapter}]
                = wireState(change.target, change.adapter, fromResidency(change.state));
        }
    }
    for (const auto &[pair, state] : lastStates) {
        message.residency.emplace_back(pair.first, pair.second.toString(), state);
    }
    return message;
}

std::vector<ViewMessage> ViewPublisher::full() const
{
    std::vector<ViewMessage> messages(1);
    messages.back().full = true;
    for (const auto &target : m_registry.targets()) {
        if (messages.back().targets.size() >= TargetsPerMessage) {
            messages.emplace_back();
        }
        messages.back().targets.push_back(wireTarget(target));
    }
    for (const auto &[zone, entries] : m_remoteEntries) {
        messages.back().zones.emplace_back(zone.value(), entryNames(entries));
    }
    for (const auto &[zone, adapters] : m_remoteResidency) {
        for (const auto &adapter : adapters) {
            if (messages.back().remote.size() >= RemoteAdaptersPerMessage) {
                messages.emplace_back();
            }
            messages.back().remote.emplace_back(zone.value(), adapter.toString(), true);
        }
    }
    for (auto &message : messages) {
        message.number = m_number.value();
    }
    return messages;
}

} // namespace tamarackcove
