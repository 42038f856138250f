#pragma once

#include "tamarackcove/Consensus/Replica.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tamarackcove::test {

/// Behaviour of the simulated network, disks and clocks.
struct SimulationOptions
{
    int nodes = 3;
    double dropProbability = 0;
    double duplicateProbability = 0;
    milliseconds minNetworkDelay{1};
    milliseconds maxNetworkDelay{2};
    milliseconds minSyncDuration{0};
    milliseconds maxSyncDuration{2};
    /// Largest deviation of the rate of a clock, as a fraction.
    double clockDrift = 0;
    /// Number of applied entries between two snapshots.
    std::uint64_t snapshotEvery = 1000;
    std::uint64_t trailingEntries = 100;
    /// See ReplicaOptions::maxVoters; 0 makes every node a voter.
    std::size_t maxVoters = 0;
};

/// One simulated control process with its disk.
struct SimulatedNode
{
    /// A persist request that reaches the disk at `completesAt`.
    struct PendingPersist
    {
        TimePoint completesAt;
        PersistRequest request;
    };

    std::string name;
    std::optional<Replica> replica;
    RecoveredState disk;
    std::deque<PendingPersist> pendingPersists;
    std::optional<TimePoint> frozenUntil;
    /// Messages that arrived while the node was frozen.
    std::vector<ReplicaMessage> inbox;
    Duration clockOffset{0};
    double clockDrift = 0;
    /// Number of disks that the node has lost; part of its identity.
    int incarnation = 0;

    LogIndex appliedIndex = 0;
    std::uint64_t stateHash = 0;
    LogIndex highestCommitIndex = 0;
    LogIndex lastSnapshotIndex = 0;
    std::chrono::system_clock::time_point lastTime{};
    /// Maps the number of each pending read barrier to the highest acknowledged index when the read was requested.
    std::map<std::uint64_t, LogIndex> pendingReads;
    /// Maps the index of each proposed command that is not applied yet to its term.
    std::map<LogIndex, Term> pendingProposals;
};

/// A group of replicas in virtual time, with simulated network, disks and clocks. It injects the faults that a test
/// requests, checks the guarantees of the replicated log after each step, and keeps the first violation.
class SimulatedGroup
{
public:
    SimulatedGroup(SimulationOptions options, std::uint64_t seed);

    /// Makes the first node create a group of all nodes.
    void bootstrap();
    void run(Duration duration);
    /// Runs until the condition is true or `atMost` of virtual time has passed. Returns whether the condition is true.
    bool runUntil(const std::function<bool()> &condition, Duration atMost);

    void crash(int node);
    void restart(int node);
    /// Replaces the disk of the node by an empty one and restarts the node under a new identity.
    void replaceDisk(int node);
    /// Suspends the process of the node; its messages arrive when it resumes.
    void freeze(int node, Duration duration);
    /// Blocks or unblocks messages in one direction.
    void setLinkBlocked(int from, int to, bool blocked = true);
    /// Blocks messages between the node and all others.
    void isolate(int node);
    /// Unblocks all links.
    void unblockAllLinks();

    /// Proposes a command; returns whether the node accepted it.
    bool propose(int node);
    void requestRead(int node);
    /// Makes the node transfer its leadership, if it leads.
    void transfer(int node);

    /// The node that leads with a valid lease, or -1.
    [[nodiscard]] int leader() const;
    [[nodiscard]] SimulatedNode &node(int index);
    [[nodiscard]] int size() const;
    [[nodiscard]] bool alive(int node) const;
    [[nodiscard]] TimePoint now() const;
    /// The current time on the clock of the node.
    [[nodiscard]] TimePoint localNow(const SimulatedNode &node) const;
    /// Highest index that any node has applied.
    [[nodiscard]] LogIndex highestCommittedIndex() const;
    /// Number of commands that were applied on the node that proposed them while it still led.
    [[nodiscard]] std::size_t acknowledgedCount() const;
    [[nodiscard]] std::size_t answeredReadCount() const;
    /// Whether all running nodes have applied all committed entries.
    [[nodiscard]] bool converged() const;
    /// The first violation of a guarantee; empty if there is none.
    [[nodiscard]] const std::string &violation() const;
    /// A random number below `bound`; 0 if `bound` is 0.
    [[nodiscard]] std::uint64_t random(std::uint64_t bound);
    [[nodiscard]] bool chance(double probability);

private:
    /// A log entry as applied by the first node that reached the index of the entry, with the hash of the state of that
    /// node afterwards.
    struct CommittedEntry
    {
        Term term = 0;
        std::string command;
        std::uint64_t stateHash = 0;
    };

    void start(SimulatedNode &node);
    /// Passes the message to the replica. A refusal is a violation, because all senders are correct.
    void receive(SimulatedNode &node, const ReplicaMessage &message);
    /// Carries out the output of the replica and checks its guarantees.
    void processOutput(SimulatedNode &node);
    void transmit(int from, ReplicaMessage message);
    void apply(SimulatedNode &node, const LogEntry &entry);
    void applySnapshot(SimulatedNode &node, const SnapshotImage &image);
    void saveSnapshot(SimulatedNode &node);
    static void writeToDisk(RecoveredState &disk, const PersistRequest &request);
    void completePersists(SimulatedNode &node);
    /// Tells every node the identities of the nodes that it is connected to.
    void exchangePeerIdentities();
    [[nodiscard]] TimePoint nextEvent() const;
    /// The virtual time at which the clock of the node shows `local`.
    [[nodiscard]] TimePoint globalTime(const SimulatedNode &node, TimePoint local) const;
    void checkLeaders();
    void recordViolation(const std::string &what);

    SimulationOptions m_options;
    std::mt19937_64 m_random;
    std::vector<SimulatedNode> m_nodes;
    std::set<std::pair<int, int>> m_blockedLinks;
    std::multimap<TimePoint, std::pair<int, ReplicaMessage>> m_network;
    TimePoint m_now;
    TimePoint m_nextIdentityExchange;
    std::map<LogIndex, CommittedEntry> m_committed;
    LogIndex m_highestAcknowledgedIndex = 0;
    std::size_t m_acknowledgedCount = 0;
    std::size_t m_answeredReadCount = 0;
    std::uint64_t m_nextCommand = 0;
    std::string m_violation;
};

} // namespace tamarackcove::test
