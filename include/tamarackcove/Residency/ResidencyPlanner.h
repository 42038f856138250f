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

/// Decides which adapters the targets of a zone load and evict. The planner does no I/O and reads no clock: the zone
/// coordinator passes in the demand that entries report, the zone view and the time, and carries out the actions that
/// plan() returns.
///
/// Thread safety: used on one thread.
class ResidencyPlanner
{
public:
    /// An adapter that could be evicted from a target, with the figures that its eviction cost depends on.
    struct EvictionCandidate
    {
        AdapterRef adapter;
        /// Expected requests per second; see Popularity::rate().
        double ratePerSecond = 0;
        TimePoint lastUse;
        /// See Popularity::useCount().
        double useCount = 0;
        /// Number of targets of the zone that hold the adapter, including this target.
        int copies = 1;
    };

    /// Cost of evicting an adapter. The candidate with the lowest cost is evicted first. With the default the cost is
    /// the rate of requests per second that would have to wait for a reload.
    using EvictionCost = std::function<double(const EvictionCandidate &candidate, TimePoint now)>;
    /// Chooses the target that an adapter is loaded on, among targets with a free adapter slot. `candidates` is never
    /// empty.
    using Placement = std::function<const TargetView *(const std::vector<const TargetView *> &candidates)>;

    struct Options
    {
        Popularity::Options popularity;
        /// The default is the expected rate over the number of copies.
        EvictionCost evictionCost;
        /// The default fills batches: it chooses the target with the highest request load below packThreshold, or the
        /// one with the lowest request load if all are above it.
        Placement placement;
        /// Returns the base model of an adapter, or no value if the adapter cannot be served. Must be set.
        std::function<std::optional<BaseModel>(const AdapterRef &)> baseModel;
        /// Whether adapter loads are ordered by the number, priority and age of the requests that wait for them. If
        /// false, they are ordered by the time at which the first of these requests began to wait.
        bool orderByValue = true;
        /// Whether an adapter is evicted only if the value of the adapter load that needs its slot exceeds its eviction
        /// cost. The value grows with the age of the requests that wait for the load.
        bool requireValueAboveCost = true;
        /// Whether to load additional copies of popular adapters when PlanInput::loadsAllowed exceeds the loads for
        /// waiting requests.
        bool loadCopies = true;
        /// Request load of a target (running and waiting requests divided by its batch size) below which the default
        /// placement prefers the target with the higher request load.
        double packThreshold = 0.75;
        /// Another copy of a popular adapter is considered when the request load (running and waiting requests divided
        /// by the batch size) of every target that holds the adapter is at least this.
        double copyAboveLoad = 0.9;
        /// Minimum time from the end of an adapter load on a target to the retirement of the adapter there, so that two
        /// adapters do not evict each other in turn.
        milliseconds minResidence = seconds(1);
        /// The demand of an entry for an adapter expires if the entry has not reported it again within this time.
        milliseconds demandLifetime = seconds(2);
        /// Interval at which additional copies are considered; each check visits every adapter of the loaded targets.
        milliseconds copyCheckInterval = milliseconds(500);
        /// Delay before the retirement of an adapter is tried again after it failed because requests used the adapter.
        milliseconds retirementRetryDelay = milliseconds(500);
        /// Maximum number of retirements in progress at the same time. Retirements free adapter slots in advance of the
        /// adapter loads that need these slots.
        int maxConcurrentRetirements = 4;
    };

    explicit ResidencyPlanner(Options options);

    /// Records a report of an entry: its waiting requests replace those of the entry's previous report for this
    /// adapter, its arrivals add to the adapter's request rate.
    void noteDemand(const EntryId &entry, const LoadDemand &demand, TimePoint now);
    /// Returns the actions to start now, at most input.loadsAllowed of them loads. input.view must show actions in
    /// progress as Loading and Retiring. If the view shows an adapter as Resident again after its retirement began,
    /// the planner assumes that the retirement failed because requests used the adapter.
    [[nodiscard]] std::vector<ResidencyAction> plan(const PlanInput &input);

    [[nodiscard]] const Popularity &popularity() const;

private:
    struct EntryDemand
    {
        /// Number of requests that wait for the adapter at the entry.
        int count = 0;
        Priority highest = Priority::Normal;
        /// When the oldest waiting request began to wait.
        TimePoint waitingSince;
        TimePoint reportedAt;
    };
    struct Failure
    {
        milliseconds backoff{0};
        TimePoint retryAt;
    };
    struct DesiredLoad
    {
        AdapterRef adapter;
        double value = 0;
    };
    struct StartedAction
    {
        ResidencyActionKind kind = ResidencyActionKind::Load;
        TimePoint startedAt;
    };
    struct Victim
    {
        const TargetView *target = nullptr;
        AdapterRef adapter;
        double cost = 0;
    };
    struct Round;
    using TargetAdapter = std::pair<TargetId, AdapterRef>;

    [[nodiscard]] std::vector<DesiredLoad> waitingLoads(const ZoneView &view, TimePoint now);
    [[nodiscard]] std::vector<DesiredLoad> copyLoads(const ZoneView &view, TimePoint now) const;
    [[nodiscard]] double valueOf(const std::map<EntryId, EntryDemand> &waiting, TimePoint now) const;
    [[nodiscard]] bool wantsCopy(const ZoneView &view, const AdapterRef &adapter, TimePoint now) const;
    void placeLoad(Round &round, const DesiredLoad &desired);
    void retireVictimFor(Round &round, const DesiredLoad &desired);
    [[nodiscard]] std::vector<Victim> findVictims(const PlanInput &input) const;
    void startAction(Round &round, ResidencyAction action);
    void updateStartedActions(const PlanInput &input);
    [[nodiscard]] bool mayLoadOn(const Round &round, const TargetView &target, const AdapterRef &adapter) const;
    [[nodiscard]] bool mayRetire(const TargetAdapter &key, ResidencyState state, TimePoint now) const;
    [[nodiscard]] const TargetView *defaultPlacement(const std::vector<const TargetView *> &candidates) const;

    Options m_options;
    Popularity m_popularity;
    std::unordered_map<AdapterRef, std::map<EntryId, EntryDemand>> m_waiting;
    /// Actions that plan() has returned and that the zone view has not yet shown as completed.
    std::map<TargetAdapter, StartedAction> m_startedActions;
    /// Time before which an adapter is not retired from a target.
    std::map<TargetAdapter, TimePoint> m_retireNotBefore;
    TimePoint m_lastCleanupAt;
    TimePoint m_lastCopyCheckAt;
};

/// Creates a ResidencyPlanner behind the hooks of the zone coordinator. Call once for each term of the coordinator.
[[nodiscard]] PlannerHooks makeResidencyPlanner(ResidencyPlanner::Options options);

} // namespace tamarackcove
