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

/// What the simulated network and disks do.
struct SimulationOptions
{
    int nodes = 3;
    double dropRate = 0;
    double duplicateRate = 0;
    milliseconds minDelay{1};
    milliseconds maxDelay{2};
    milliseconds maxSync{2};
    /// How much faster or slower a clock may run, as a share.
    double clockDrift = 0;
    std::uint64_t snapshotEvery = 1000;
    std::uint64_t trailingEntries = 100;
    /// See ReplicaOptions; 0 makes every node a voter.
    std::size_t maxVoters = 0;
};

/// One simulated control process with its disk.
struct SimulatedNode
{
    struct PendingPersist
    {
        TimePoint due;
        PersistRequest request;
    };

    std::string name;
    std::optional<Replica> replica;
    RecoveredState disk;
    std::deque<PendingPersist> persists;
    std::optional<TimePoint> frozenUntil;
    std::vector<ReplicaMessage> inbox;
    Duration clockOffset{0};
    double clockDrift = 0;
    int incarnation = 0;

    LogIndex applied = 0;
    std::uint64_t stateHash = 0;
    LogIndex highestCommit = 0;
    LogIndex lastSnapshot = 0;
    std::chrono::system_clock::time_point lastTime{};
    std::map<std::uint64_t, LogIndex> reads;
    std::map<LogIndex, Term> proposals;
};

/// A group of replicas in virtual time, with a network and disks that fail as told. After each step it checks that no
/// promise is broken; the first violation is kept.
class SimulatedGroup
{
public:
    SimulatedGroup(SimulationOptions options, std::uint64_t seed);

    /// Lets the first node form the group of all nodes.
    void bootstrap();
    void run(Duration duration);
    /// Runs until the condition holds or the time is over; returns whether it holds.
    bool runUntil(const std::function<bool()> &condition, Duration atMost);

    void crash(int node);
    void restart(int node);
    /// Removes the disk: the node starts as a new identity.
    void wipe(int node);
    void freeze(int node, Duration duration);
    /// Blocks or unblocks messages in one direction.
    void cut(int from, int to, bool blocked = true);
    void isolate(int node);
    void heal();

    /// Tries to append a command; returns whether the node took it.
    bool propose(int node);
    void requestRead(int node);
    void transfer(int node);

    /// The node that leads with a valid lease, or -1.
    [[nodiscard]] int leader() const;
    [[nodiscard]] SimulatedNode &node(int index);
    [[nodiscard]] int size() const;
    [[nodiscard]] bool alive(int node) const;
    [[nodiscard]] TimePoint now() const;
    [[nodiscard]] TimePoint localNow(const SimulatedNode &node) const;
    [[nodiscard]] LogIndex highestDecided() const;
    [[nodiscard]] std::size_t acknowledged() const;
    [[nodiscard]] std::size_t readsAnswered() const;
    /// Whether all living nodes have applied everything that was decided, and agree.
    [[nodiscard]] bool converged() const;
    [[nodiscard]] const std::string &violation() const;
    [[nodiscard]] std::uint64_t random(std::uint64_t bound);
    [[nodiscard]] bool chance(double probability);

private:
    struct Decision
    {
        Term term = 0;
        std::string command;
        std::uint64_t stateHash = 0;
    };

    void start(SimulatedNode &node);
    void settle(SimulatedNode &node);
    void transmit(int from, ReplicaMessage message);
    void apply(SimulatedNode &node, const LogEntry &entry);
    void applySnapshot(SimulatedNode &node, const SnapshotImage &image);
    void saveSnapshot(SimulatedNode &node);
    static void writeToDisk(RecoveredState &disk, const PersistRequest &request);
    void completePersists(SimulatedNode &node);
    void introducePeers();
    [[nodiscard]] TimePoint nextEvent() const;
    [[nodiscard]] TimePoint globalTime(const SimulatedNode &node, TimePoint local) const;
    void checkLeaders();
    void report(const std::string &what);

    SimulationOptions m_options;
    std::mt19937_64 m_random;
    std::vector<SimulatedNode> m_nodes;
    std::set<std::pair<int, int>> m_cuts;
    std::multimap<TimePoint, std::pair<int, ReplicaMessage>> m_network;
    TimePoint m_now;
    TimePoint m_nextIntroduction;
    std::map<LogIndex, Decision> m_decided;
    LogIndex m_acknowledgedIndex = 0;
    std::size_t m_acknowledged = 0;
    std::size_t m_readsAnswered = 0;
    std::uint64_t m_nextCommand = 0;
    std::string m_violation;
};

} // namespace tamarackcove::test
