#pragma once

#include "tamarackcove/Entry/Coordinator/ViewPublisher.h"
#include "tamarackcove/Entry/Peers/ZoneFollower.h"
#include "tamarackcove/Membership/PriorReleases.h"
#include "tamarackcove/Membership/ReleaseRound.h"
#include "tamarackcove/Membership/ZoneElection.h"
#include "tamarackcove/Membership/ZoneVoter.h"
#include "tamarackcove/Requests/PinTable.h"
#include "tamarackcove/Targets/TargetRegistry.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tamarackcove {

namespace simulation {
inline const TargetId Engine("t1");
inline const AdapterRef Adapter("rules", "1");
inline constexpr seconds Lease{2};
inline constexpr seconds ViewLease{2};
inline constexpr milliseconds ClockMargin{100};
inline constexpr seconds OrderDeadline{10};
inline constexpr seconds ReleaseTimeout{6};

} // namespace simulation

/// Simulates a zone in virtual time: entries with their votes, views and pins, and one engine with one adapter. Links
/// break, stall and are restored, entries restart and lose their state, clocks run at different rates, and orders take
/// up to their deadline. The schedule is determined by the seed.
class ZoneSimulation
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        int entries = 3;
        /// Whether the engine refuses orders whose fencing number is lower than the highest one that it has received.
        bool engineChecksFencing = false;
        seconds duration{60};
    };

    explicit ZoneSimulation(Options options);

    void run();

    /// The first violation of an invariant and the virtual time at which it happened; empty when there was none.
    std::string violation;
    int terms = 0;
    int unloads = 0;
    int dispatches = 0;
    int restarts = 0;

private:
    /// A round in which the coordinator asks all entries to release the adapter.
    struct Round
    {
        std::uint64_t id = 0;
        ReleaseRound round;
        bool asking = false;
    };
    struct Term
    {
        Term(FencingNumber termNumber, TimePoint startedAt, PriorReleases takeover, std::size_t entries);
        FencingNumber number;
        TimePoint start;
        PriorReleases priorReleases;
        TargetRegistry registry;
        ViewPublisher publisher;
        std::map<EntryId, TimePoint> viewLeaseRenewedAt;
        std::optional<Round> round;
        /// Whether the engine state was read while an order of an earlier term may still have evicted the adapter,
        /// before this term could send orders.
        bool engineStateReadEarly = false;
        /// Whether the engine state was read when orders of earlier terms could no longer take effect.
        bool engineStateRead = false;
        /// Whether an order of this term has been sent whose answer has not reached the coordinator yet.
        bool orderInProgress = false;
    };
    struct Node
    {
        EntryId id;
        /// The clock of this entry shows the virtual time multiplied by `clockRate`, plus `clockOffset`.
        double clockRate = 1;
        Duration clockOffset{0};
        /// Incremented when the simulated entry stops and when it starts, so that callbacks of an earlier process are
        /// ignored.
        int process = 0;
        bool alive = true;
        PinTable pins;
        std::unique_ptr<ZoneVoter> voter;
        std::unique_ptr<ZoneElection> election;
        std::unique_ptr<ZoneFollower> follower;
        PriorReleases priorReleases;
        /// Set while this entry acts as coordinator.
        std::unique_ptr<Term> term;
        /// The virtual time at which this entry sends its next heartbeat.
        Duration nextHeartbeat{0};
    };
    /// One direction of a connection.
    struct Link
    {
        /// Incremented when the connection breaks or is restored, so that messages of the earlier one are lost.
        int epoch = 0;
        bool up = false;
        /// While set, messages are queued in `stalledMessages` and delivered when the link recovers.
        bool stalled = false;
        Duration lastArrival{0};
        std::uint64_t lastHeartbeat = 0;
        std::map<std::uint64_t, TimePoint> heartbeatSentAt;
        std::uint64_t lastPeerHeartbeatNumber = 0;
        std::vector<std::function<void()>> stalledMessages;
    };
    struct Event
    {
        Duration at{0};
        /// Events that are due at the same virtual time run in increasing `order`.
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void schedule(Duration delay, std::function<void()> action);
    void send(std::size_t from, std::size_t to, std::function<void()> deliver);
    bool chance(double probability);
    Duration randomDuration(Duration low, Duration high);
    [[nodiscard]] TimePoint localTime(const Node &node) const;
    [[nodiscard]] bool holdsLease(const Node &node) const;
    [[nodiscard]] bool mayDispatch(const Node &node) const;
    void recordViolation(const std::string &what);

    void startProcess(std::size_t index);
    void tick(std::size_t index);
    void injectFault();
    void setLink(std::size_t a, std::size_t b, bool up);
    void sendRound(std::size_t index, const ZoneElection::Round &round);
    void startTerm(std::size_t index);
    void publish(std::size_t index);
    void sendHeartbeats(std::size_t index);
    void runCoordinator(std::size_t index);
    void advanceReleaseRound(std::size_t index);
    void sendOrder(std::size_t index, bool load);
    void dispatch(std::size_t index);
    void onEngineOrder(FencingNumber number, bool load);
    void checkLeases();

    Options m_options;
    std::mt19937_64 m_random;
    Duration m_now{0};
    std::uint64_t m_lastEventOrder = 0;
    std::priority_queue<Event> m_events;
    std::vector<Node> m_nodes;
    std::map<std::pair<std::size_t, std::size_t>, Link> m_links;
    ZoneVoter m_controlGroupVoter;
    FencingNumber m_lastNumber;
    /// Whether the adapter is resident on the engine.
    bool m_adapterResident = true;
    /// The highest fencing number that the engine has received.
    FencingNumber m_engineFencingNumber;
    std::uint64_t m_lastRoundId = 0;
};

} // namespace tamarackcove
