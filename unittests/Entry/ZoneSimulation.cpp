#include "ZoneSimulation.h"

#include "tamarackcove/Entry/Peers/PeerMessages.h"

#include <algorithm>

namespace tamarackcove {

static const TargetId Engine("t1");
static const AdapterRef Adapter("rules", "1");
static constexpr seconds Lease{2};
static constexpr seconds ViewLease{2};
static constexpr milliseconds Margin{100};
static constexpr seconds OrderDeadline{10};
static constexpr seconds ReleaseTimeout{6};

static std::string text(const FencingNumber &number)
{
    return std::to_string(number.value());
}

ZoneSimulation::Term::Term(FencingNumber termNumber, TimePoint startedAt, TakeoverKnowledge takeover,
                           std::size_t entries)
    : number(termNumber)
    , start(startedAt)
    , knowledge(std::move(takeover))
    , registry({})
    , publisher(number, registry, [this, entries](const TargetId &target, const AdapterRef &adapter) {
        return !stateKnown && (!knowledge.complete(entries) || knowledge.released().contains({target, adapter}));
    })
{
}

ZoneSimulation::ZoneSimulation(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_control(TimePoint::min())
{
    m_nodes.resize(static_cast<std::size_t>(m_options.entries));
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        auto &node = m_nodes[i];
        node.id = EntryId("e" + std::to_string(i));
        // One percent in either direction is far more than the oscillators of real hosts drift.
        node.rate = 0.99 + 0.02 * std::uniform_real_distribution<double>(0, 1)(m_random);
        node.offset = between(seconds(100), seconds(100000));
        startProcess(i);
    }
    for (std::size_t a = 0; a < m_nodes.size(); ++a) {
        for (std::size_t b = a + 1; b < m_nodes.size(); ++b) {
            setLink(a, b, true);
        }
    }
    after(milliseconds(500), [this] { disturb(); });
}

bool ZoneSimulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

Duration ZoneSimulation::between(Duration low, Duration high)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(m_random));
}

void ZoneSimulation::after(Duration delay, std::function<void()> act)
{
    m_events.push({.at = m_now + delay, .order = ++m_order, .act = std::move(act)});
}

void ZoneSimulation::fail(const std::string &what)
{
    if (violation.empty()) {
        violation = what + " at " + std::to_string(duration_cast<milliseconds>(m_now).count()) + " ms";
    }
}

TimePoint ZoneSimulation::local(const Node &node) const
{
    return TimePoint(node.offset + duration_cast<Duration>(m_now * node.rate));
}

bool ZoneSimulation::holdsLease(const Node &node) const
{
    return node.alive && node.term && node.election->holdsLease(local(node))
        && node.election->number() == node.term->number;
}

bool ZoneSimulation::mayDispatch(const Node &node) const
{
    return node.alive && (node.term ? holdsLease(node) : node.follower->mayDispatch(local(node)));
}

void ZoneSimulation::startProcess(std::size_t index)
{
    auto &node = m_nodes[index];
    const auto now = local(node);
    node.alive = true;
    ++node.process;
    node.term.reset();
    node.pins = PinTable();
    node.voter = std::make_unique<ZoneVoter>(m_nodes.size() == 1 ? TimePoint::min() : now + Lease);
    ZoneElection::Options options;
    options.self = node.id;
    for (const auto &other : m_nodes) {
        options.voters.insert(other.id.empty() ? EntryId("e" + std::to_string(&other - m_nodes.data())) : other.id);
    }
    if (controlGroupVotes(m_nodes.size())) {
        options.voters.insert(controlGroupVoter());
    }
    options.lease = Lease;
    options.clockMargin = Margin;
    options.session = m_random();
    options.seed = m_random();
    options.lowestNumber = [this] {
        return FencingNumber(1000 + static_cast<std::uint64_t>(duration_cast<milliseconds>(m_now).count()));
    };
    node.election = std::make_unique<ZoneElection>(options, now);
    node.follower
        = std::make_unique<ZoneFollower>(Zone("a"), node.pins, ReleaseMarks(now, ReleaseTimeout + OrderDeadline));
    const auto process = node.process;
    after(between(milliseconds(0), milliseconds(50)), [this, index, process] {
        if (m_nodes[index].process == process) {
            tick(index);
        }
    });
}

/// Messages of one direction arrive in order; when the link breaks, those under way are lost.
void ZoneSimulation::send(std::size_t from, std::size_t to, std::function<void()> deliver)
{
    auto &link = m_links[{from, to}];
    if (!link.up) {
        return;
    }
    const auto epoch = link.epoch;
    auto guarded = [this, from, to, epoch, deliver = std::move(deliver)] {
        const auto &now = m_links[{from, to}];
        if (now.epoch == epoch && now.up && m_nodes[to].alive) {
            deliver();
        }
    };
    if (link.heldUp) {
        link.waiting.push_back(std::move(guarded));
        return;
    }
    const auto delay
        = chance(0.02) ? between(milliseconds(1), milliseconds(800)) : between(microseconds(200), milliseconds(3));
    link.lastArrival = std::max(link.lastArrival, m_now + delay);
    after(link.lastArrival - m_now, std::move(guarded));
}

void ZoneSimulation::setLink(std::size_t a, std::size_t b, bool up)
{
    for (const auto &pair : {std::make_pair(a, b), std::make_pair(b, a)}) {
        auto &link = m_links[pair];
        link = Link{.epoch = link.epoch + 1, .up = up, .lastArrival = m_now};
    }
    if (!up) {
        return;
    }
    for (const auto &[from, to] : {std::make_pair(a, b), std::make_pair(b, a)}) {
        if (holdsLease(m_nodes[from])) {
            for (const auto &message : m_nodes[from].term->publisher.full()) {
                send(from, to, [this, from, to, message] {
                    auto &node = m_nodes[to];
                    (void)node.follower->applyView(m_nodes[from].id, message, local(node));
                });
            }
        }
    }
}

void ZoneSimulation::disturb()
{
    const auto a = m_random() % m_nodes.size();
    const auto b = m_random() % m_nodes.size();
    const auto kind = m_random() % 10;
    if (kind < 2) {
        // A restart without memory; its links break.
        auto &node = m_nodes[a];
        node.alive = false;
        node.term.reset();
        ++node.process;
        ++restarts;
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other != a) {
                setLink(std::min(a, other), std::max(a, other), false);
            }
        }
        after(between(milliseconds(50), seconds(3)), [this, a] {
            if (!m_nodes[a].alive) {
                startProcess(a);
            }
        });
    } else if (kind < 5 && a != b) {
        // A link becomes silent in one direction; what was sent arrives late or never.
        m_links[{a, b}].heldUp = true;
        const auto epoch = m_links[{a, b}].epoch;
        after(between(milliseconds(100), milliseconds(2500)), [this, a, b, epoch] {
            auto &link = m_links[{a, b}];
            if (link.epoch != epoch) {
                return;
            }
            link.heldUp = false;
            for (auto &deliver : std::exchange(link.waiting, {})) {
                after(milliseconds(1), std::move(deliver));
            }
            link.lastArrival = m_now + milliseconds(1);
        });
    } else if (kind < 7) {
        // The coordinator is cut off from everybody, without any error.
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].term) {
                for (std::size_t other = 0; other < m_nodes.size(); ++other) {
                    if (other != i) {
                        setLink(std::min(i, other), std::max(i, other), false);
                    }
                }
            }
        }
    } else if (a != b) {
        setLink(std::min(a, b), std::max(a, b), false);
    }
    for (std::size_t x = 0; x < m_nodes.size(); ++x) {
        for (std::size_t y = x + 1; y < m_nodes.size(); ++y) {
            if (!m_links[{x, y}].up && m_nodes[x].alive && m_nodes[y].alive && chance(0.6)) {
                setLink(x, y, true);
            }
        }
    }
    after(between(milliseconds(200), seconds(4)), [this] { disturb(); });
}

void ZoneSimulation::tick(std::size_t index)
{
    auto &node = m_nodes[index];
    const auto now = local(node);
    const auto promised = node.voter->promised(now);
    std::optional<TimePoint> other;
    if (promised && promised->candidate != node.id) {
        other = node.voter->promiseEnd();
    }
    if (!node.term && node.follower->mayDispatch(now)) {
        other = std::max(other.value_or(TimePoint::min()), node.follower->leaseEnd());
    }
    if (const auto round = node.election->poll(now, other)) {
        sendRound(index, *round);
    }
    if (node.term && !holdsLease(node)) {
        node.term.reset();
    }
    if (!node.term && node.election->holdsLease(now)) {
        startTerm(index);
    }
    node.follower->tick(now);
    beat(index);
    if (node.term) {
        coordinate(index);
    }
    dispatch(index);
    checkLeases();
    const auto process = node.process;
    after(between(milliseconds(20), milliseconds(80)), [this, index, process] {
        if (m_nodes[index].process == process && m_nodes[index].alive) {
            tick(index);
        }
    });
}

void ZoneSimulation::checkLeases()
{
    const auto holders
        = std::count_if(m_nodes.begin(), m_nodes.end(), [this](const Node &node) { return holdsLease(node); });
    if (holders > 1) {
        fail("two entries hold the lease");
    }
}

void ZoneSimulation::sendRound(std::size_t index, const ZoneElection::Round &round)
{
    const bool release = round.kind == ZoneElection::RoundKind::Release;
    auto &node = m_nodes[index];
    for (std::size_t to = 0; to < m_nodes.size(); ++to) {
        if (to == index) {
            continue;
        }
        send(index, to, [this, index, to, round, release] {
            auto &voter = m_nodes[to];
            if (release) {
                voter.voter->release(round.request, round.neverUsed);
                voter.follower->setVoted(voter.voter->highest());
                return;
            }
            const auto reply = voter.voter->request(round.request, local(voter));
            voter.follower->setVoted(voter.voter->highest());
            const auto released = voter.follower->marks().active(local(voter));
            const bool complete = voter.follower->marks().complete(local(voter));
            send(to, index, [this, index, to, round, reply, released, complete] {
                auto &candidate = m_nodes[index];
                if (reply.granted && !candidate.term && candidate.election->awaits(round.id)) {
                    candidate.knowledge.noteVoter(candidate.election->number(), m_nodes[to].id, complete, released);
                }
                candidate.election->onReply(round.id, m_nodes[to].id, reply);
            });
        });
    }
    if (release) {
        node.voter->release(round.request, round.neverUsed);
        node.follower->setVoted(node.voter->highest());
        return;
    }
    if (!node.term) {
        node.knowledge.noteVoter(round.request.number, node.id, node.follower->marks().complete(local(node)),
                                 node.follower->marks().active(local(node)));
    }
    node.election->onReply(round.id, node.id, node.voter->request(round.request, local(node)));
    node.follower->setVoted(node.voter->highest());
    if (controlGroupVotes(m_nodes.size()) && !chance(0.2)) {
        const auto process = node.process;
        const auto reply = m_control.request(round.request, TimePoint(seconds(1) + m_now));
        after(between(milliseconds(1), milliseconds(20)), [this, index, process, round, reply] {
            if (m_nodes[index].process == process) {
                m_nodes[index].election->onReply(round.id, controlGroupVoter(), reply);
            }
        });
    }
}

void ZoneSimulation::startTerm(std::size_t index)
{
    auto &node = m_nodes[index];
    ++terms;
    const auto number = node.election->number();
    if (number <= m_lastNumber) {
        fail("fencing number " + text(number) + " after " + text(m_lastNumber));
    }
    m_lastNumber = std::max(m_lastNumber, number);
    const auto now = local(node);
    node.term = std::make_unique<Term>(number, now, node.knowledge, m_nodes.size());
    Announcement announcement;
    announcement.id = Engine;
    announcement.incarnation = Incarnation(1);
    announcement.zone = Zone("a");
    announcement.adapterSlots = 1;
    node.term->registry.announce(announcement, now);
    const auto *known = node.follower->view().find(Engine);
    if (known != nullptr && known->adapters.contains(Adapter)
        && known->adapters.at(Adapter) == ResidencyState::Resident) {
        node.term->registry.apply(Engine, Adapter, ResidencyEvent::SeenResident, now);
    }
    (void)node.term->registry.takeChanges();
    for (const auto &message : node.term->publisher.full()) {
        (void)node.follower->applyView(node.id, message, now);
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            send(index, to, [this, index, to, message] {
                (void)m_nodes[to].follower->applyView(m_nodes[index].id, message, local(m_nodes[to]));
            });
        }
    }
    node.nextBeat = Duration(0);
}

void ZoneSimulation::publish(std::size_t index)
{
    auto &node = m_nodes[index];
    const auto message = node.term->publisher.takeChanges();
    if (message.empty()) {
        return;
    }
    (void)node.follower->applyView(node.id, message, local(node));
    for (std::size_t to = 0; to < m_nodes.size(); ++to) {
        send(index, to, [this, index, to, message] {
            (void)m_nodes[to].follower->applyView(m_nodes[index].id, message, local(m_nodes[to]));
        });
    }
}

void ZoneSimulation::beat(std::size_t index)
{
    auto &node = m_nodes[index];
    if (m_now < node.nextBeat) {
        return;
    }
    node.nextBeat = m_now + milliseconds(500);
    const auto now = local(node);
    for (std::size_t to = 0; to < m_nodes.size(); ++to) {
        if (to == index || !m_links[{index, to}].up) {
            continue;
        }
        auto &link = m_links[{index, to}];
        link.beatSentAt[++link.beat] = now;
        bool renews = false;
        if (holdsLease(node)) {
            auto &term = *node.term;
            renews = !term.round || !term.round->round.silentEntries(now).contains(m_nodes[to].id);
            if (renews) {
                term.renewedAt[m_nodes[to].id] = now;
            }
        }
        send(index, to,
             [this, index, to, number = link.beat, echo = link.peerBeat, renews, term = node.follower->number()] {
                 auto &peer = m_nodes[to];
                 auto &back = m_links[{to, index}];
                 back.peerBeat = number;
                 const auto sent = back.beatSentAt.find(echo);
                 if (renews && peer.follower->coordinator() == m_nodes[index].id && sent != back.beatSentAt.end()) {
                     peer.follower->extendLease(term, sent->second + ViewLease - Margin);
                 }
             });
    }
}

void ZoneSimulation::coordinate(std::size_t index)
{
    auto &node = m_nodes[index];
    auto &term = *node.term;
    const auto now = local(node);
    const auto ordersFrom = m_options.engineRefuses ? term.start : term.start + OrderDeadline;
    std::set<AdapterRef> held;
    if (m_resident) {
        held.insert(Adapter);
    }
    if (!term.stateKnown && !term.readEarly && chance(0.5)) {
        term.readEarly = true;
        term.registry.setHeld(Engine, held, now, now);
    }
    if (!term.stateKnown && now >= ordersFrom && chance(0.5)) {
        // The engine is fenced and its state is read at once; both take no time here.
        term.stateKnown = true;
        if (m_highest > term.number) {
            node.election->noteNumber(m_highest);
        }
        if (m_options.engineRefuses) {
            m_highest = std::max(m_highest, term.number);
        }
        term.registry.setHeld(Engine, held, now, now);
        term.publisher.republish(Engine);
    }
    publish(index);
    if (term.round) {
        stepRound(index);
        return;
    }
    if (!term.stateKnown || term.ordering || !chance(0.3)) {
        return;
    }
    const auto stage = term.registry.stage(Engine, Adapter);
    if (stage == ResidencyStage::Absent) {
        term.registry.apply(Engine, Adapter, ResidencyEvent::LoadOrdered, now);
        order(index, true);
    } else if (stage == ResidencyStage::Resident) {
        term.registry.apply(Engine, Adapter, ResidencyEvent::RetireStarted, now);
        ReleaseRound::Options options;
        for (const auto &entry : m_nodes) {
            options.entries.insert(entry.id);
        }
        options.minAnswers = releaseQuorum(m_nodes.size());
        options.roundTimeout = ReleaseTimeout;
        const auto id = ++m_rounds;
        term.round.emplace(Round{.id = id, .round = ReleaseRound(options, now)});
        term.round->round.onAnswer(node.id, node.follower->release(Engine, Adapter, term.number, now));
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            send(index, to, [this, index, to, id, number = term.number] {
                auto &peer = m_nodes[to];
                const bool released = peer.follower->release(Engine, Adapter, number, local(peer));
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

void ZoneSimulation::stepRound(std::size_t index)
{
    auto &node = m_nodes[index];
    auto &term = *node.term;
    const auto now = local(node);
    auto &round = term.round->round;
    for (const auto &entry : m_nodes) {
        const auto renewed = term.renewedAt.find(entry.id);
        round.noteViewLeaseEnd(entry.id,
                               (renewed == term.renewedAt.end() ? term.start : std::max(term.start, renewed->second))
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
        round.noteEngineState(now, running);
        return;
    }
    case ReleaseState::Refused:
        term.round.reset();
        term.registry.apply(Engine, Adapter, ResidencyEvent::RetireRefused, now);
        return;
    case ReleaseState::MayEvict:
        term.round.reset();
        order(index, false);
        return;
    }
}

void ZoneSimulation::order(std::size_t index, bool load)
{
    auto &node = m_nodes[index];
    if (!holdsLease(node)) {
        return;
    }
    const auto number = node.term->number;
    const auto process = node.process;
    node.term->ordering = true;
    const auto delay = chance(0.15) ? between(milliseconds(10), OrderDeadline - milliseconds(200))
                                    : between(milliseconds(5), milliseconds(300));
    after(delay, [this, index, process, number, load] {
        const bool before = m_resident;
        onEngineOrder(number, load);
        auto &sender = m_nodes[index];
        if (sender.process != process || !sender.term || sender.term->number != number) {
            return;
        }
        sender.term->ordering = false;
        const bool refused = m_options.engineRefuses && number < m_highest;
        const auto now = local(sender);
        if (load) {
            sender.term->registry.apply(Engine, Adapter, refused ? ResidencyEvent::LoadFailed : ResidencyEvent::Loaded,
                                        now);
        } else {
            sender.term->registry.apply(
                Engine, Adapter, refused && before ? ResidencyEvent::RetireRefused : ResidencyEvent::Unloaded, now);
        }
    });
}

void ZoneSimulation::onEngineOrder(FencingNumber number, bool load)
{
    if (m_options.engineRefuses && number < m_highest) {
        return;
    }
    if (!m_options.engineRefuses && number < m_highest) {
        fail("an order of term " + text(number) + " took effect after one of term " + text(m_highest));
    }
    m_highest = std::max(m_highest, number);
    if (!load && m_resident) {
        ++unloads;
        for (const auto &node : m_nodes) {
            if (node.alive && node.pins.pins(Engine, Adapter) > 0) {
                fail("evicted while " + node.id.value() + " uses it");
            }
        }
    }
    m_resident = load;
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
    after(chance(0.1) ? between(seconds(1), seconds(8)) : between(milliseconds(5), milliseconds(400)),
          [this, index, process] {
              if (m_nodes[index].process == process && m_nodes[index].alive) {
                  m_nodes[index].pins.unpin(Engine, Adapter);
              }
          });
}

void ZoneSimulation::run()
{
    while (!m_events.empty() && m_now < m_options.duration && violation.empty()) {
        auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.act();
    }
}

} // namespace tamarackcove
