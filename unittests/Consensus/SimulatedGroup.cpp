#include "SimulatedGroup.h"

#include <algorithm>

namespace tamarackcove::test {

/// Start of virtual time, well after the epoch, because TimePoint{} has special meanings.
static constexpr TimePoint Epoch{std::chrono::hours(1)};
static constexpr milliseconds IdentityExchangeInterval{100};

SimulatedGroup::SimulatedGroup(SimulationOptions options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_now(Epoch)
    , m_nextIdentityExchange(Epoch)
{
    m_nodes.resize(static_cast<std::size_t>(options.nodes));
    for (int i = 0; i < options.nodes; ++i) {
        auto &created = node(i);
        created.name = "c" + std::to_string(i);
        created.clockOffset = milliseconds(random(1000000));
        created.clockDrift = options.clockDrift * (static_cast<double>(random(2001)) / 1000.0 - 1.0);
        created.disk.self = ReplicaId(created.name + ".0");
        start(created);
    }
}

void SimulatedGroup::bootstrap()
{
    ReplicaGroup group{.groupId = "g", .members = {}};
    for (const auto &member : m_nodes) {
        group.members.push_back({.id = member.disk.self, .name = member.name, .voter = true});
    }
    node(0).replica->bootstrap(std::move(group), localNow(node(0)));
    processOutput(node(0));
}

void SimulatedGroup::start(SimulatedNode &node)
{
    ReplicaOptions options;
    options.trailingEntries = m_options.trailingEntries;
    options.maxVoters = m_options.maxVoters;
    // Smaller than a snapshot, so that each snapshot is sent in several chunks.
    options.snapshotChunkBytes = 8;
    options.random = [this] {
        return m_random();
    };
    node.appliedIndex = node.highestCommitIndex = node.lastSnapshotIndex = 0;
    node.stateHash = 0;
    node.lastTime = {};
    if (node.disk.snapshot) {
        applySnapshot(node, *node.disk.snapshot);
    }
    node.replica.emplace(std::move(options), node.disk, localNow(node));
}

SimulatedNode &SimulatedGroup::node(int index)
{
    return m_nodes[static_cast<std::size_t>(index)];
}

int SimulatedGroup::size() const
{
    return static_cast<int>(m_nodes.size());
}

bool SimulatedGroup::alive(int node) const
{
    return m_nodes[static_cast<std::size_t>(node)].replica.has_value();
}

TimePoint SimulatedGroup::now() const
{
    return m_now;
}

TimePoint SimulatedGroup::localNow(const SimulatedNode &node) const
{
    const auto drift = std::chrono::duration<double, std::nano>(m_now - Epoch) * node.clockDrift;
    return m_now + node.clockOffset + duration_cast<Duration>(drift);
}

TimePoint SimulatedGroup::globalTime(const SimulatedNode &node, TimePoint local) const
{
    // The elapsed time is rounded up: otherwise the simulation could reach a deadline a nanosecond early again and
    // again without progress.
    const std::chrono::duration<double, std::nano> elapsed(local - node.clockOffset - Epoch);
    return Epoch + duration_cast<Duration>(elapsed / (1 + node.clockDrift)) + microseconds(1);
}

std::uint64_t SimulatedGroup::random(std::uint64_t bound)
{
    return bound == 0 ? 0 : m_random() % bound;
}

bool SimulatedGroup::chance(double probability)
{
    return probability > 0 && static_cast<double>(random(1000000)) < probability * 1000000;
}

TimePoint SimulatedGroup::nextEvent() const
{
    auto next = m_nextIdentityExchange;
    if (!m_network.empty()) {
        next = std::min(next, m_network.begin()->first);
    }
    for (const auto &node : m_nodes) {
        if (!node.replica) {
            continue;
        }
        if (node.frozenUntil) {
            next = std::min(next, *node.frozenUntil);
            continue;
        }
        if (!node.pendingPersists.empty()) {
            next = std::min(next, node.pendingPersists.front().completesAt);
        }
        const auto deadline = node.replica->deadline();
        if (deadline != TimePoint::max()) {
            next = std::min(next, globalTime(node, deadline));
        }
    }
    return std::max(next, m_now);
}

void SimulatedGroup::run(Duration duration)
{
    (void)runUntil([] { return false; }, duration);
}

bool SimulatedGroup::runUntil(const std::function<bool()> &condition, Duration atMost)
{
    const auto end = m_now + atMost;
    while (m_violation.empty()) {
        if (condition()) {
            return true;
        }
        const auto next = nextEvent();
        if (next > end) {
            m_now = end;
            return condition();
        }
        m_now = next;
        if (m_now >= m_nextIdentityExchange) {
            exchangePeerIdentities();
            m_nextIdentityExchange = m_now + IdentityExchangeInterval;
        }
        if (!m_network.empty() && m_network.begin()->first <= m_now) {
            auto [to, message] = std::move(m_network.begin()->second);
            m_network.erase(m_network.begin());
            auto &receiver = node(to);
            if (receiver.frozenUntil) {
                receiver.inbox.push_back(std::move(message));
            } else if (receiver.replica) {
                receive(receiver, message);
                processOutput(receiver);
            }
        }
        for (auto &each : m_nodes) {
            if (!each.replica) {
                continue;
            }
            if (each.frozenUntil && *each.frozenUntil <= m_now) {
                each.frozenUntil.reset();
                for (const auto &message : std::exchange(each.inbox, {})) {
                    receive(each, message);
                }
                processOutput(each);
            }
            if (each.frozenUntil) {
                continue;
            }
            completePersists(each);
            if (each.replica->deadline() <= localNow(each)) {
                each.replica->tick(localNow(each));
                processOutput(each);
            }
        }
        checkLeaders();
    }
    return false;
}

void SimulatedGroup::receive(SimulatedNode &node, const ReplicaMessage &message)
{
    if (const auto refused = node.replica->receive(message, localNow(node))) {
        recordViolation(node.name + " refused a message of another replica: " + std::string(*refused));
    }
}

void SimulatedGroup::exchangePeerIdentities()
{
    for (int from = 0; from < size(); ++from) {
        for (int to = 0; to < size(); ++to) {
            const bool connected = !m_blockedLinks.contains({from, to}) && !m_blockedLinks.contains({to, from});
            if (from != to && connected && alive(from) && alive(to) && !node(to).frozenUntil
                && !node(from).frozenUntil) {
                node(to).replica->recordPeerIdentity(node(from).name, node(from).disk.self);
            }
        }
    }
}

void SimulatedGroup::processOutput(SimulatedNode &node)
{
    auto output = node.replica->takeOutput(localNow(node));
    const auto self = static_cast<int>(&node - m_nodes.data());
    if (output.persist) {
        const microseconds spread = m_options.maxSyncDuration - m_options.minSyncDuration;
        auto completesAt
            = m_now + m_options.minSyncDuration + microseconds(random(static_cast<std::uint64_t>(spread.count())) + 1);
        if (!node.pendingPersists.empty()) {
            completesAt = std::max(completesAt, node.pendingPersists.back().completesAt);
        }
        node.pendingPersists.push_back({.completesAt = completesAt, .request = std::move(*output.persist)});
    }
    for (auto &message : output.messages) {
        transmit(self, std::move(message));
    }
    for (const auto &entry : output.committed) {
        apply(node, *entry);
    }
    for (const auto number : output.readyReads) {
        if (node.appliedIndex < node.pendingReads[number]) {
            recordViolation("a read on " + node.name + " did not include an acknowledged command");
        }
        node.pendingReads.erase(number);
        ++m_answeredReadCount;
    }
    if (node.replica->commitIndex() < node.highestCommitIndex) {
        recordViolation("the commit index of " + node.name + " went back");
    }
    node.highestCommitIndex = node.replica->commitIndex();
    if (node.replica->role() != ReplicaRole::Leader) {
        node.pendingProposals.clear();
    }
    saveSnapshot(node);
}

void SimulatedGroup::transmit(int from, ReplicaMessage message)
{
    const auto receiver
        = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto &node) { return node.disk.self == message.to; });
    if (receiver == m_nodes.end()) {
        return;
    }
    const auto to = static_cast<int>(receiver - m_nodes.begin());
    if (m_blockedLinks.contains({from, to}) || chance(m_options.dropProbability)) {
        return;
    }
    const auto spread
        = static_cast<std::uint64_t>(microseconds(m_options.maxNetworkDelay - m_options.minNetworkDelay).count());
    for (int copies = chance(m_options.duplicateProbability) ? 2 : 1; copies > 0; --copies) {
        m_network.emplace(m_now + m_options.minNetworkDelay + microseconds(random(spread + 1)), std::pair(to, message));
    }
}

void SimulatedGroup::crash(int index)
{
    auto &crashed = node(index);
    if (!crashed.replica) {
        return;
    }
    // A random number of the pending writes reaches the disk, in order.
    for (auto kept = random(crashed.pendingPersists.size() + 1); kept > 0; --kept) {
        writeToDisk(crashed.disk, crashed.pendingPersists.front().request);
        crashed.pendingPersists.pop_front();
    }
    crashed.pendingPersists.clear();
    crashed.replica.reset();
    crashed.frozenUntil.reset();
    crashed.inbox.clear();
    crashed.pendingReads.clear();
    crashed.pendingProposals.clear();
}

void SimulatedGroup::restart(int index)
{
    if (!node(index).replica) {
        start(node(index));
    }
}

void SimulatedGroup::replaceDisk(int index)
{
    crash(index);
    auto &wiped = node(index);
    wiped.disk = {};
    wiped.disk.self = ReplicaId(wiped.name + "." + std::to_string(++wiped.incarnation));
    start(wiped);
}

void SimulatedGroup::freeze(int index, Duration duration)
{
    if (node(index).replica) {
        node(index).frozenUntil = m_now + duration;
    }
}

void SimulatedGroup::setLinkBlocked(int from, int to, bool blocked)
{
    if (blocked) {
        m_blockedLinks.insert({from, to});
    } else {
        m_blockedLinks.erase({from, to});
    }
}

void SimulatedGroup::isolate(int index)
{
    for (int other = 0; other < size(); ++other) {
        if (other != index) {
            setLinkBlocked(index, other);
            setLinkBlocked(other, index);
        }
    }
}

void SimulatedGroup::unblockAllLinks()
{
    m_blockedLinks.clear();
}

bool SimulatedGroup::propose(int index)
{
    auto &target = node(index);
    if (!target.replica || target.frozenUntil) {
        return false;
    }
    const std::chrono::system_clock::time_point wallTime(milliseconds(random(1000000)));
    const auto position
        = target.replica->propose("command-" + std::to_string(m_nextCommand++), wallTime, localNow(target));
    if (position.has_error()) {
        return false;
    }
    target.pendingProposals[position.value().index] = position.value().term;
    processOutput(target);
    return true;
}

void SimulatedGroup::requestRead(int index)
{
    auto &target = node(index);
    if (!target.replica || target.frozenUntil) {
        return;
    }
    const auto number = target.replica->requestRead(localNow(target));
    if (number.has_value()) {
        target.pendingReads[number.value()] = m_highestAcknowledgedIndex;
        processOutput(target);
    }
}

void SimulatedGroup::transfer(int index)
{
    if (node(index).replica && !node(index).frozenUntil) {
        (void)node(index).replica->transferLeadership(localNow(node(index)));
        processOutput(node(index));
    }
}

int SimulatedGroup::leader() const
{
    for (int i = 0; i < size(); ++i) {
        const auto &each = m_nodes[static_cast<std::size_t>(i)];
        if (each.replica && !each.frozenUntil && each.replica->leads(localNow(each))) {
            return i;
        }
    }
    return -1;
}

void SimulatedGroup::checkLeaders()
{
    int leaders = 0;
    for (const auto &each : m_nodes) {
        // A frozen leader counts as well: it may resume now and act as the leader.
        leaders += each.replica && each.replica->leads(localNow(each)) ? 1 : 0;
    }
    if (leaders > 1) {
        recordViolation("two leaders hold a valid lease");
    }
}

LogIndex SimulatedGroup::highestCommittedIndex() const
{
    return m_committed.empty() ? 0 : m_committed.rbegin()->first;
}

std::size_t SimulatedGroup::acknowledgedCount() const
{
    return m_acknowledgedCount;
}

std::size_t SimulatedGroup::answeredReadCount() const
{
    return m_answeredReadCount;
}

bool SimulatedGroup::converged() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [this](const auto &each) {
        return !each.replica || each.appliedIndex == highestCommittedIndex();
    });
}

const std::string &SimulatedGroup::violation() const
{
    return m_violation;
}

void SimulatedGroup::recordViolation(const std::string &what)
{
    if (m_violation.empty()) {
        m_violation = what;
    }
}

} // namespace tamarackcove::test
