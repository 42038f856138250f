#include "tamarackcove/Entry/Coordinator/ViewPublisher.h"

#include "../Peers/ViewEncoding.h"
#include "tamarackcove/Targets/TargetRegistry.h"

#include <utility>

namespace tamarackcove {

// Keeps each message well below the longest frame.
static constexpr std::size_t TargetsPerMessage = 200;
static constexpr std::size_t RemotePerMessage = 5000;

ViewPublisher::ViewPublisher(FencingNumber number, TargetRegistry &registry, MayBeEvicted mayBeEvicted)
    : m_number(number)
    , m_registry(registry)
    , m_mayBeEvicted(std::move(mayBeEvicted))
{
}

void ViewPublisher::setRemote(const Zone &zone, const AdapterRef &adapter, bool resident)
{
    auto &held = m_remote[zone];
    const bool changed = resident ? held.insert(adapter).second : held.erase(adapter) > 0;
    if (changed) {
        m_pending.remote.emplace_back(zone.value(), adapter.toString(), resident);
    }
}

void ViewPublisher::clearRemote(const Zone &zone)
{
    const auto held = m_remote[zone];
    for (const auto &adapter : held) {
        setRemote(zone, adapter, false);
    }
}

static std::vector<std::string> names(const std::vector<EntryId> &entries)
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
    auto &known = m_remoteEntries[zone];
    if (known == entries) {
        return;
    }
    known = std::move(entries);
    if (known.empty()) {
        m_remote.erase(zone);
        std::erase_if(m_pending.remote, [&zone](const auto &change) { return std::get<0>(change) == zone.value(); });
    }
    std::erase_if(m_pending.zones, [&zone](const auto &change) { return change.first == zone.value(); });
    m_pending.zones.emplace_back(zone.value(), names(known));
}

int ViewPublisher::wireState(const TargetId &target, const AdapterRef &adapter, int state) const
{
    const bool hidden = state == fromResidency(ResidencyState::Resident) && m_mayBeEvicted(target, adapter);
    return hidden ? fromResidency(ResidencyState::Retiring) : state;
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
        m_pending.targets.push_back(wireTarget(target));
        m_published[target] = m_registry.index(target);
    }
}

ViewMessage ViewPublisher::takeChanges()
{
    auto changes = m_registry.takeChanges();
    auto message = std::exchange(m_pending, {});
    message.number = m_number.value();
    for (const auto &target : changes.gone) {
        const auto published = m_published.find(target);
        if (published != m_published.end()) {
            message.gone.push_back(published->second);
            m_published.erase(published);
        }
    }
    for (const auto &target : changes.replaced) {
        if (m_registry.contains(target)) {
            m_published[target] = m_registry.index(target);
            message.targets.push_back(wireTarget(target));
        }
    }
    for (const auto &target : changes.health) {
        if (m_registry.contains(target) && !changes.replaced.contains(target)) {
            message.health.emplace_back(m_registry.index(target), static_cast<int>(m_registry.view(target).health));
        }
    }
    // Only the last change of a pair counts, and a replaced target carries all of its adapters already.
    std::map<std::pair<std::uint32_t, AdapterRef>, int> last;
    for (const auto &change : changes.residency) {
        if (m_registry.contains(change.target) && !changes.replaced.contains(change.target)) {
            last[{m_registry.index(change.target), change.adapter}]
                = wireState(change.target, change.adapter, fromResidency(change.state));
        }
    }
    for (const auto &[pair, state] : last) {
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
        messages.back().zones.emplace_back(zone.value(), names(entries));
    }
    for (const auto &[zone, adapters] : m_remote) {
        for (const auto &adapter : adapters) {
            if (messages.back().remote.size() >= RemotePerMessage) {
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
