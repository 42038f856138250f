#include "ZoneSimulation.h"

#include "tamarackcove/Entry/Peers/PeerMessages.h"

#include <algorithm>

using namespace tamarackcove::simulation;

namespace tamarackcove {

static std::string text(const FencingNumber &number)
{
    return std::to_string(number.value());
}

void ZoneSimulation::startTerm(std::size_t index)
{
    auto &node = m_nodes[index];
    ++terms;
    const auto number = node.election->number();
    if (number <= m_lastNumber) {
        recordViolation("fencing number " + text(number) + " is not greater than the previous one, "
                        + text(m_lastNumber));
    }
    m_lastNumber = std::max(m_lastNumber, number);
    const auto now = localTime(node);
    node.term = std::make_unique<Term>(number, now, node.priorReleases, m_nodes.size());
    Announcement announcement;
    announcement.id = Engine;
    announcement.incarnation = Incarnation(1);
    announcement.zone = Zone("a");
    announcement.adapterSlots = 1;
    node.term->registry.announce(announcement, now);
    const auto *known = node.follower->view().find(Engine);
    if (known != nullptr && known->adapters.contains(Adapter)
        && known->adapters.at(Adapter) == ResidencyState::Resident) {
        node.term->registry.apply(Engine, Adapter, ResidencyEvent::ReportedResident, now);
    }
    (void)node.term->registry.takeChanges();
    for (const auto &message : node.term->publisher.full()) {
        (void)node.follower->applyView(node.id, message, now);
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            send(index, to, [this, index, to, message] {
                (void)m_nodes[to].follower->applyView(m_nodes[index].id, message, localTime(m_nodes[to]));
            });
        }
    }
    node.nextHeartbeat = Duration(0);
}

void ZoneSimulation::publish(std::size_t index)
{
    auto &node = m_nodes[index];
    const auto message = node.term->publisher.takeChanges();
    if (message.empty()) {
        return;
    }
    (void)node.follower->applyView(node.id, message, localTime(node));
    for (std::size_t to = 0; to < m_nodes.size(); ++to) {
        send(index, to, [this, index, to, message] {
            (void)m_nodes[to].follower->applyView(m_nodes[index].id, message, localTime(m_nodes[to]));
        });
    }
}

void ZoneSimulation::sendHeartbeats(std::size_t index)
{
    auto &node = m_nodes[index];
    if (m_now < node.nextHeartbeat) {
        return;
    }
    node.nextHeartbeat = m_now + milliseconds(500);
    const auto now = localTime(node);
    for (std::size_t to = 0; to < m_nodes.size(); ++to) {
        if (to == index || !m_links[{index, to}].up) {
            continue;
        }
        auto &link = m_links[{index, to}];
        link.heartbeatSentAt[++link.lastHeartbeat] = now;
        bool renews = false;
        if (holdsLease(node)) {
            auto &term = *node.term;
            renews = !term.round || !term.round->round.silentEntries(now).contains(m_nodes[to].id);
            if (renews) {
                term.viewLeaseRenewedAt[m_nodes[to].id] = now;
            }
        }
        send(index, to,
             [this, index, to, number = link.lastHeartbeat, echo = link.lastPeerHeartbeatNumber, renews,
              term = node.follower->number()] {
                 auto &peer = m_nodes[to];
                 auto &reverse = m_links[{to, index}];
                 reverse.lastPeerHeartbeatNumber = number;
                 const auto sent = reverse.heartbeatSentAt.find(echo);
                 if (renews && peer.follower->coordinator() == m_nodes[index].id
                     && sent != reverse.heartbeatSentAt.end()) {
                     peer.follower->extendViewLease(term, sent->second + ViewLease - ClockMargin);
                 }
             });
    }
}

void ZoneSimulation::runCoordinator(std::size_t index)
{
    auto &node = m_nodes[index];
    auto &term = *node.term;
    const auto now = localTime(node);
    const auto ordersFrom = m_options.engineChecksFencing ? term.start : term.start + OrderDeadline;
    std::set<AdapterRef> held;
    if (m_adapterResident) {
        held.insert(Adapter);
    }
    if (!term.engineStateRead && !term.engineStateReadEarly && chance(0.5)) {
        term.engineStateReadEarly = true;
        term.registry.reconcileResidency(Engine, held, now, now);
    }
    if (!term.engineStateRead && now >= ordersFrom && chance(0.5)) {
        // The simulation sets the fencing number of the engine and reads its state in one step that takes no time.
        term.engineStateRead = true;
        if (m_engineFencingNumber > term.number) {
            node.election->recordFencingNumber(m_engineFencingNumber);
        }
        if (m_options.engineChecksFencing) {
            m_engineFencingNumber = std::max(m_engineFencingNumber, term.number);
        }
        term.registry.reconcileResidency(Engine, held, now, now);
        term.publisher.republish(Engine);
    }
    publish(index);
    if (term.round) {
        advanceReleaseRound(index);
        return;
    }
    if (!term.engineStateRead || term.orderInProgress || !chance(0.3)) {
        return;
    }
    const auto stage = term.registry.stage(Engine, Adapter);
    if (stage == ResidencyStage::Absent) {
        term.registry.apply(Engine, Adapter, ResidencyEvent::LoadOrdered, now);
        sendOrder(index, true);
    } else if (stage == ResidencyStage::Resident) {
        term.registry.apply(Engine, Adapter, ResidencyEvent::RetireStarted, now);
        ReleaseRound::Options options;
        for (const auto &entry : m_nodes) {
            options.entries.insert(entry.id);
        }
        options.minReleases = releaseQuorum(m_nodes.size());
        options.roundTimeout = ReleaseTimeout;
        const auto id = ++m_lastRoundId;
        term.round.emplace(Round{.id = id, .round = ReleaseRound(options, now)});
        term.round->round.onAnswer(node.id, node.follower->release(Engine, Adapter, term.number, now));
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            send(index, to, [this, index, to, id, number = term.number] {
                auto &peer = m_nodes[to];
                const bool released = peer.follower->release(Engine, Adapter, number, localTime(peer));
                send(to, index, [this, index, to, id, released] {
                    auto &coordinator = m_nodes[index];
                    if (coordinator.term && coordinator.term->round && coordinator.term->round->id == id) {
                        coordinator.term->round->round.onAnswer(m_nodes[to].id, released);
                    }
                });
            });
        }
    }
}

void ZoneSimulation::advanceReleaseRound(std::size_t index)
{
    auto &node = m_nodes[index];
    auto &term = *node.term;
    const auto now = localTime(node);
    auto &round = term.round->round;
    for (const auto &entry : m_nodes) {
        const auto renewed = term.viewLeaseRenewedAt.find(entry.id);
        round.setViewLeaseEnd(
            entry.id,
            (renewed == term.viewLeaseRenewedAt.end() ? term.start : std::max(term.start, renewed->second))
                + ViewLease);
    }
    switch (round.state(now)) {
    case ReleaseState::Waiting:
        return;
    case ReleaseState::NeedsEngineState: {
        int running = 0;
        for (const auto &entry : m_nodes) {
            running += entry.alive ? entry.pins.pins(Engine, Adapter) : 0;
        }
        round.recordEngineState(now, running);
        return;
    }
    case ReleaseState::Refused:
        term.round.reset();
        term.registry.apply(Engine, Adapter, ResidencyEvent::RetireAborted, now);
        return;
    case ReleaseState::MayEvict:
        term.round.reset();
        sendOrder(index, false);
        return;
    }
}

void ZoneSimulation::sendOrder(std::size_t index, bool load)
{
    auto &node = m_nodes[index];
    if (!holdsLease(node)) {
        return;
    }
    const auto number = node.term->number;
    const auto process = node.process;
    node.term->orderInProgress = true;
    const auto delay = chance(0.15) ? randomDuration(milliseconds(10), OrderDeadline - milliseconds(200))
                                    : randomDuration(milliseconds(5), milliseconds(300));
    schedule(delay, [this, index, process, number, load] {
        const bool before = m_adapterResident;
        onEngineOrder(number, load);
        auto &sender = m_nodes[index];
        if (sender.process != process || !sender.term || sender.term->number != number) {
            return;
        }
        sender.term->orderInProgress = false;
        const bool refused = m_options.engineChecksFencing && number < m_engineFencingNumber;
        const auto now = localTime(sender);
        if (load) {
            sender.term->registry.apply(Engine, Adapter, refused ? ResidencyEvent::LoadFailed : ResidencyEvent::Loaded,
                                        now);
        } else {
            sender.term->registry.apply(
                Engine, Adapter, refused && before ? ResidencyEvent::RetireAborted : ResidencyEvent::Unloaded, now);
        }
    });
}

void ZoneSimulation::onEngineOrder(FencingNumber number, bool load)
{
    if (m_options.engineChecksFencing && number < m_engineFencingNumber) {
        return;
    }
    if (!m_options.engineChecksFencing && number < m_engineFencingNumber) {
        recordViolation("an order of term " + text(number) + " took effect after one of term "
                        + text(m_engineFencingNumber));
    }
    m_engineFencingNumber = std::max(m_engineFencingNumber, number);
    if (!load && m_adapterResident) {
        ++unloads;
        for (const auto &node : m_nodes) {
            if (node.alive && node.pins.pins(Engine, Adapter) > 0) {
                recordViolation("the adapter was evicted while a request of " + node.id.value() + " uses it");
            }
        }
    }
    m_adapterResident = load;
}

void ZoneSimulation::dispatch(std::size_t index)
{
    auto &node = m_nodes[index];
    if (!mayDispatch(node) || node.follower->view().holders(Adapter).empty() || !chance(0.3)) {
        return;
    }
    ++dispatches;
    node.pins.pin(Engine, Adapter);
    const auto process = node.process;
    schedule(chance(0.1) ? randomDuration(seconds(1), seconds(8)) : randomDuration(milliseconds(5), milliseconds(400)),
             [this, index, process] {
                 if (m_nodes[index].process == process && m_nodes[index].alive) {
                     m_nodes[index].pins.unpin(Engine, Adapter);
                 }
             });
}

} // namespace tamarackcove
