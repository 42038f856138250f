#include "tamarackcove/Entry/Coordinator/ZoneSummaries.h"

#include "tamarackcove/Entry/Peers/PeerLink.h"
#include "tamarackcove/Targets/ZoneView.h"
#include "tamarackcove/Wire/Codec.h"

#include <utility>

namespace tamarackcove {

// Keeps each message well below the maximum frame size.
static constexpr std::size_t AdaptersPerMessage = 5000;

ZoneSummaries::ZoneSummaries(FencingNumber number)
    : m_number(number)
{
}

ZoneSummaryMessage ZoneSummaries::makeMessage() const
{
    ZoneSummaryMessage message;
    message.number = m_number.value();
    message.freeSlots = m_freeSlots;
    for (const auto &entry : m_entries) {
        message.entries.push_back(entry.value());
    }
    return message;
}

void ZoneSummaries::add(PeerLink &link)
{
    m_links.push_back(&link);
    auto message = makeMessage();
    message.full = true;
    for (const auto &adapter : m_residentAdapters) {
        if (message.resident.size() >= AdaptersPerMessage) {
            link.send(toMessage(message));
            message = makeMessage();
        }
        message.resident.push_back(adapter.toString());
    }
    link.send(toMessage(message));
}

void ZoneSummaries::remove(PeerLink &link)
{
    std::erase(m_links, &link);
}

void ZoneSummaries::update(const ZoneView &view, const std::vector<EntryId> &entries)
{
    std::set<AdapterRef> resident;
    int freeSlots = 0;
    for (const auto &[id, target] : view.targets()) {
        freeSlots += target.adapterSlots - static_cast<int>(target.adapters.size());
        for (const auto &[adapter, state] : target.adapters) {
            if (state == ResidencyState::Resident) {
                resident.insert(adapter);
            }
        }
    }
    const bool sameEntries = entries == m_entries;
    m_entries = entries;
    m_freeSlots = freeSlots;
    auto message = makeMessage();
    for (const auto &adapter : resident) {
        if (!m_residentAdapters.contains(adapter)) {
            message.resident.push_back(adapter.toString());
        }
    }
    for (const auto &adapter : m_residentAdapters) {
        if (!resident.contains(adapter)) {
            message.absent.push_back(adapter.toString());
        }
    }
    m_residentAdapters = std::move(resident);
    if (sameEntries && message.resident.empty() && message.absent.empty()) {
        return;
    }
    for (auto *link : m_links) {
        link->send(toMessage(message));
    }
}

void ZoneSummaries::closeAll()
{
    for (auto *link : m_links) {
        link->close();
    }
}

} // namespace tamarackcove
