#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Residency/LoadDemand.h"
#include "tamarackcove/Residency/PlannerHooks.h"
#include "tamarackcove/Residency/Popularity.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

class ZoneView;
struct TargetView;
enum class ResidencyState;

/// Decides what the targets of a zone load and evict. It holds no connection and no clock: the coordinator feeds it
/// demand and outcomes, and carries out the actions of each plan().
///
/// Thread safety: used on one thread.
class ResidencyPlanner
{
public:
    /// What is known of an adapter that could be evicted from a target.
    struct Candidate
    {
        AdapterRef adapter;
        double ratePerSecond = 0;
        TimePoint lastUse;
        double useCount = 0;
        /// Targets of the zone that hold it, this one included.
        int copies = 1;
    };

    /// What evicting costs, in requests per second that would have to wait; the cheapest goes first.
    using EvictionCost = std::function<double(const Candidate &candidate, TimePoint now)>;
    /// Chooses where to load, among targets that have a free slot; never called with an empty list.
    using Placement = std::function<const TargetView *(const std::vector<const TargetView *> &candidates)>;

    struct Options
    {
        Popularity::Options popularity;
        /// The default is the expected rate over the number of copies.
        EvictionCost evictionCost;
        /// The default fills batches: the fullest target below packThreshold, else the emptiest.
        Placement placement;
        /// The base model of an adapter, or nothing when it is not servable.
        std::function<std::optional<BaseModel>(const AdapterRef &)> baseModel;
        /// Weigh waiting requests by age and priority; else loads go in the order in which requests began to wait.
        bool orderByValue = true;
        /// Evict only when the load is worth more than what it displaces; waiting requests gain worth with age.
        bool compareWorth = true;
        /// Load copies of hot adapters when permits are left.
        bool loadAhead = true;
        double packThreshold = 0.75;
        /// A holder above this share of its batch makes a popular adapter want another copy.
        double copyAboveLoad = 0.9;
        /// An adapter stays at least this long after its load, so that two adapters do not displace each other in turn.
        milliseconds minResidence = seconds(1);
        /// Demand that an entry has not repeated for this long is void.
        milliseconds demandLifetime = seconds(2);
        /// How often copies are considered; it costs a look at every loaded target.
        milliseconds aheadInterval = milliseconds(500);
        /// How long an adapter that was found in use is not asked for release again.
        milliseconds releaseRetry = milliseconds(500);
        /// Releases under way at once, ahead of the loads that need the slots.
        int releasesAhead = 4;
    };

    explicit ResidencyPlanner(Options options);

    void noteDemand(const EntryId &entry, const LoadDemand &demand, TimePoint now);
    /// The actions to start now; at most input.loadsAllowed of them are loads. The view must show actions under way as
    /// Loading and Retiring; an adapter that is Resident again after it was retired was in use.
    [[nodiscard]] std::vector<ResidencyAction> plan(const PlanInput &input);

    [[nodiscard]] const Popularity &popularity() const;

private:
    struct Waiting
    {
        int count = 0;
        Priority highest = Priority::Normal;
        TimePoint since;
        TimePoint reportedAt;
    };
    struct Failure
    {
        milliseconds backoff{0};
        TimePoint retryAt;
    };
    struct Wanted
    {
        AdapterRef adapter;
        double worth = 0;
    };
    struct Started
    {
        ResidencyActionKind kind = ResidencyActionKind::Load;
        TimePoint at;
    };
    struct Victim
    {
        const TargetView *target = nullptr;
        AdapterRef adapter;
        double cost = 0;
    };
    struct Round;
    using OnTarget = std::pair<TargetId, AdapterRef>;

    [[nodiscard]] std::vector<Wanted> waitingLoads(const ZoneView &view, TimePoint now);
    [[nodiscard]] std::vector<Wanted> loadsAhead(const ZoneView &view, TimePoint now) const;
    [[nodiscard]] double worthOf(const std::map<EntryId, Waiting> &waiting, TimePoint now) const;
    [[nodiscard]] bool wantsCopy(const ZoneView &view, const AdapterRef &adapter, TimePoint now) const;
    void placeLoad(Round &round, const Wanted &wanted);
    void retireFor(Round &round, const Wanted &wanted);
    [[nodiscard]] std::vector<Victim> findVictims(const PlanInput &input) const;
    void start(Round &round, ResidencyAction action);
    void observe(const PlanInput &input);
    [[nodiscard]] bool mayLoadOn(const Round &round, const TargetView &target, const AdapterRef &adapter) const;
    [[nodiscard]] bool mayRetire(const OnTarget &key, ResidencyState state, TimePoint now) const;
    [[nodiscard]] const TargetView *defaultPlacement(const std::vector<const TargetView *> &candidates) const;

    Options m_options;
    Popularity m_popularity;
    std::unordered_map<AdapterRef, std::map<EntryId, Waiting>> m_waiting;
    /// Actions that were started and are not yet seen to have ended.
    std::map<OnTarget, Started> m_started;
    /// Adapters that are not retired before this time.
    std::map<OnTarget, TimePoint> m_keepUntil;
    TimePoint m_tidiedAt;
    TimePoint m_lookedAheadAt;
};

/// A new planner as the zone coordinator takes it; one for each term.
[[nodiscard]] PlannerHooks makeResidencyPlanner(ResidencyPlanner::Options options);

} // namespace tamarackcove
