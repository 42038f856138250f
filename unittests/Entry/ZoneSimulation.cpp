#include "ZoneSimulation.h"

#include "tamarackcove/Entry/Peers/PeerMessages.h"

#include <algorithm>

using namespace tamarackcove::simulation;

namespace tamarackcove {

ZoneSimulation::Term::Term(FencingNumber termNumber, TimePoint startedAt, PriorReleases takeover, std::size_t entries)
    : number(termNumber)
    , start(startedAt)
    , priorReleases(std::move(takeover))
    , registry({})
    , publisher(number, registry, [this, entries](const TargetId &target, const AdapterRef &adapter) {
        return !engineStateRead
            && (!priorReleases.complete(entries) || priorReleases.released().contains({target, adapter}));
    })
{
}

ZoneSimulation::ZoneSimulation(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_controlGroupVoter(TimePoint::min())
{
    m_nodes.resize(static_cast<std::size_t>(m_options.entries));
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        auto &node = m_nodes[i];
        node.id = EntryId("e" + std::to_string(i));
        // Clock rates differ by up to 1% from the virtual time, far more than the clocks of real hosts drift.
        node.clockRate = 0.99 + 0.02 * std::uniform_real_distribution<double>(0, 1)(m_random);
        node.clockOffset = randomDuration(seconds(100), seconds(100000));
        startProcess(i);
    }
    for (std::size_t a = 0; a < m_nodes.size(); ++a) {
        for (std::size_t b = a + 1; b < m_nodes.size(); ++b) {
            setLink(a, b, true);
        }
    }
    schedule(milliseconds(500), [this] { injectFault(); });
}

bool ZoneSimulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

Duration ZoneSimulation::randomDuration(Duration low, Duration high)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(m_random));
}

void ZoneSimulation::schedule(Duration delay, std::function<void()> action)
{
    m_events.push({.at = m_now + delay, .order = ++m_lastEventOrder, .action = std::move(action)});
}

void ZoneSimulation::recordViolation(const std::string &what)
{
    if (violation.empty()) {
        violation = what + " at " + std::to_string(duration_cast<milliseconds>(m_now).count()) + " ms";
    }
}

TimePoint ZoneSimulation::localTime(const Node &node) const
{
    return TimePoint(node.clockOffset + duration_cast<Duration>(m_now * node.clockRate));
}

bool ZoneSimulation::holdsLease(const Node &node) const
{
    return node.alive && node.term && node.election->holdsLease(localTime(node))
        && node.election->number() == node.term->number;
}

bool ZoneSimulation::mayDispatch(const Node &node) const
{
    return node.alive && (node.term ? holdsLease(node) : node.follower->mayDispatch(localTime(node)));
}

void ZoneSimulation::startProcess(std::size_t index)
{
    auto &node = m_nodes[index];
    const auto now = localTime(node);
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
    options.clockMargin = ClockMargin;
    options.session = m_random();
    options.seed = m_random();
    options.lowestNumber = [this] {
        return FencingNumber(1000 + static_cast<std::uint64_t>(duration_cast<milliseconds>(m_now).count()));
    };
    node.election = std::make_unique<ZoneElection>(options, now);
    node.follower
        = std::make_unique<ZoneFollower>(Zone("a"), node.pins, ReleaseRecords(now, ReleaseTimeout + OrderDeadline));
    const auto process = node.process;
    schedule(randomDuration(milliseconds(0), milliseconds(50)), [this, index, process] {
        if (m_nodes[index].process == process) {
            tick(index);
        }
    });
}

/// Messages in one direction arrive in order. Messages in transit are lost when the link breaks.
void ZoneSimulation::send(std::size_t from, std::size_t to, std::function<void()> deliver)
{
    auto &link = m_links[{from, to}];
    if (!link.up) {
        return;
    }
    const auto epoch = link.epoch;
    auto deliverIfConnected = [this, from, to, epoch, deliver = std::move(deliver)] {
        const auto &now = m_links[{from, to}];
        if (now.epoch == epoch && now.up && m_nodes[to].alive) {
            deliver();
        }
    };
    if (link.stalled) {
        link.stalledMessages.push_back(std::move(deliverIfConnected));
        return;
    }
    const auto delay = chance(0.02) ? randomDuration(milliseconds(1), milliseconds(800))
                                    : randomDuration(microseconds(200), milliseconds(3));
    link.lastArrival = std::max(link.lastArrival, m_now + delay);
    schedule(link.lastArrival - m_now, std::move(deliverIfConnected));
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
    for (const auto &pair : {std::make_pair(a, b), std::make_pair(b, a)}) {
        // Clang 14 does not capture structured bindings.
        const auto from = pair.first;
        const auto to = pair.second;
        if (holdsLease(m_nodes[from])) {
            for (const auto &message : m_nodes[from].term->publisher.full()) {
                send(from, to, [this, from, to, message] {
                    auto &node = m_nodes[to];
                    (void)node.follower->applyView(m_nodes[from].id, message, localTime(node));
                });
            }
        }
    }
}

void ZoneSimulation::injectFault()
{
    const auto a = m_random() % m_nodes.size();
    const auto b = m_random() % m_nodes.size();
    const auto kind = m_random() % 10;
    if (kind < 2) {
        // The entry restarts and loses its state and its links.
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
        schedule(randomDuration(milliseconds(50), seconds(3)), [this, a] {
            if (!m_nodes[a].alive) {
                startProcess(a);
            }
        });
    } else if (kind < 5 && a != b) {
        // A link stalls in one direction; messages on it arrive late, or never when the link breaks before.
        m_links[{a, b}].stalled = true;
        const auto epoch = m_links[{a, b}].epoch;
        schedule(randomDuration(milliseconds(100), milliseconds(2500)), [this, a, b, epoch] {
            auto &link = m_links[{a, b}];
            if (link.epoch != epoch) {
                return;
            }
            link.stalled = false;
            for (auto &deliver : std::exchange(link.stalledMessages, {})) {
                schedule(milliseconds(1), std::move(deliver));
            }
            link.lastArrival = m_now + milliseconds(1);
        });
    } else if (kind < 7) {
        // The coordinator is partitioned from all other entries.
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
    schedule(randomDuration(milliseconds(200), seconds(4)), [this] { injectFault(); });
}

void ZoneSimulation::tick(std::size_t index)
{
    auto &node = m_nodes[index];
    const auto now = localTime(node);
    const auto promised = node.voter->currentPromise(now);
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
    sendHeartbeats(index);
    if (node.term) {
        runCoordinator(index);
    }
    dispatch(index);
    checkLeases();
    const auto process = node.process;
    schedule(randomDuration(milliseconds(20), milliseconds(80)), [this, index, process] {
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
        recordViolation("two or more entries hold the lease");
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
                voter.voter->handleRelease(round.request, round.leaseNeverHeld);
                voter.follower->setHighestGranted(voter.voter->highest());
                return;
            }
            const auto reply = voter.voter->handleRequest(round.request, localTime(voter));
            voter.follower->setHighestGranted(voter.voter->highest());
            const auto released = voter.follower->releaseRecords().activeReleases(localTime(voter));
            const bool complete = voter.follower->releaseRecords().isComplete(localTime(voter));
            send(to, index, [this, index, to, round, reply, released, complete] {
                auto &candidate = m_nodes[index];
                if (reply.granted && !candidate.term && candidate.election->awaitsReply(round.id)) {
                    candidate.priorReleases.addVoterReleases(candidate.election->number(), m_nodes[to].id, complete,
                                                             released);
                }
                candidate.election->onReply(round.id, m_nodes[to].id, reply);
            });
        });
    }
    if (release) {
        node.voter->handleRelease(round.request, round.leaseNeverHeld);
        node.follower->setHighestGranted(node.voter->highest());
        return;
    }
    if (!node.term) {
        node.priorReleases.addVoterReleases(round.request.number, node.id,
                                            node.follower->releaseRecords().isComplete(localTime(node)),
                                            node.follower->releaseRecords().activeReleases(localTime(node)));
    }
    node.election->onReply(round.id, node.id, node.voter->handleRequest(round.request, localTime(node)));
    node.follower->setHighestGranted(node.voter->highest());
    if (controlGroupVotes(m_nodes.size()) && !chance(0.2)) {
        const auto process = node.process;
        const auto reply = m_controlGroupVoter.handleRequest(round.request, TimePoint(seconds(1) + m_now));
        schedule(randomDuration(milliseconds(1), milliseconds(20)), [this, index, process, round, reply] {
            if (m_nodes[index].process == process) {
                m_nodes[index].election->onReply(round.id, controlGroupVoter(), reply);
            }
        });
    }
}

void ZoneSimulation::run()
{
    while (!m_events.empty() && m_now < m_options.duration && violation.empty()) {
        auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
}

} // namespace tamarackcove
