#pragma once

#include "tamarackcove/Entry/Coordinator/ViewPublisher.h"
#include "tamarackcove/Entry/Peers/ZoneFollower.h"
#include "tamarackcove/Membership/ReleaseRound.h"
#include "tamarackcove/Membership/TakeoverKnowledge.h"
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
inline constexpr milliseconds Margin{100};
inline constexpr seconds OrderDeadline{10};
inline constexpr seconds ReleaseTimeout{6};

} // namespace simulation

/// A zone in virtual time: entries with their votes, views and pins, and one engine with one adapter. Links are lost,
/// held up and restored, entries restart without memory, clocks run at different rates, and orders take up to their
/// deadline. Everything follows from the seed.
class ZoneSimulation
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        int entries = 3;
        bool engineRefuses = false;
        seconds duration{60};
    };

    explicit ZoneSimulation(Options options);

    void run();

    /// What broke an invariant, empty when nothing did.
    std::string violation;
    int terms = 0;
    int unloads = 0;
    int dispatches = 0;
    int restarts = 0;

private:
    struct Round
    {
        std::uint64_t id = 0;
        ReleaseRound round;
        bool asking = false;
    };
    struct Term
    {
        Term(FencingNumber termNumber, TimePoint startedAt, TakeoverKnowledge takeover, std::size_t entries);
        FencingNumber number;
        TimePoint start;
        TakeoverKnowledge knowledge;
        TargetRegistry registry;
        ViewPublisher publisher;
        std::map<EntryId, TimePoint> renewedAt;
        std::optional<Round> round;
        /// The state was read before orders may be sent, when the adapter may still be evicted.
        bool readEarly = false;
        bool stateKnown = false;
        bool ordering = false;
    };
    struct Node
    {
        EntryId id;
        double rate = 1;
        Duration offset{0};
        int process = 0;
        bool alive = true;
        PinTable pins;
        std::unique_ptr<ZoneVoter> voter;
        std::unique_ptr<ZoneElection> election;
        std::unique_ptr<ZoneFollower> follower;
        TakeoverKnowledge knowledge;
        std::unique_ptr<Term> term;
        Duration nextBeat{0};
    };
    /// One direction of a connection.
    struct Link
    {
        int epoch = 0;
        bool up = false;
        bool heldUp = false;
        Duration lastArrival{0};
        std::uint64_t beat = 0;
        std::map<std::uint64_t, TimePoint> beatSentAt;
        std::uint64_t peerBeat = 0;
        std::vector<std::function<void()>> waiting;
    };
    struct Event
    {
        Duration at{0};
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void after(Duration delay, std::function<void()> act);
    void send(std::size_t from, std::size_t to, std::function<void()> deliver);
    bool chance(double probability);
    Duration between(Duration low, Duration high);
    [[nodiscard]] TimePoint local(const Node &node) const;
    [[nodiscard]] bool holdsLease(const Node &node) const;
    [[nodiscard]] bool mayDispatch(const Node &node) const;
    void fail(const std::string &what);

    void startProcess(std::size_t index);
    void tick(std::size_t index);
    void disturb();
    void setLink(std::size_t a, std::size_t b, bool up);
    void sendRound(std::size_t index, const ZoneElection::Round &round);
    void startTerm(std::size_t index);
    void publish(std::size_t index);
    void beat(std::size_t index);
    void coordinate(std::size_t index);
    void stepRound(std::size_t index);
    void order(std::size_t index, bool load);
    void dispatch(std::size_t index);
    void onEngineOrder(FencingNumber number, bool load);
    void checkLeases();

    Options m_options;
    std::mt19937_64 m_random;
    Duration m_now{0};
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<Node> m_nodes;
    std::map<std::pair<std::size_t, std::size_t>, Link> m_links;
    ZoneVoter m_control;
    FencingNumber m_lastNumber;
    /// The engine.
    bool m_resident = true;
    FencingNumber m_highest;
    std::uint64_t m_rounds = 0;
};

} // namespace tamarackcove
