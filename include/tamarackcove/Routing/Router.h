#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Routing/RouteChoice.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

class ZoneView;
struct TargetView;

/// Chooses the zone and the target of a request from this entry's view of the zone, without a call to another process.
///
/// The request load that a target reports is outdated when it arrives, so the router adds the requests that this entry
/// has dispatched to the target since Options::reportLag before the report. It compares two random holders of the
/// adapter (power of two choices), so that entries with the same stale report do not all choose the same target.
///
/// Thread safety: used on one thread.
class Router
{
public:
    struct Request
    {
        AdapterRef adapter;
        BaseModel baseModel;
        /// Targets that must not be chosen, such as those on which earlier attempts of this request failed.
        std::set<TargetId> excluded;
        /// False if another entry forwarded the request here; a request is forwarded at most once.
        bool mayForward = true;
        /// Whether the request has waited for a load of its adapter that has ended.
        bool hasWaitedForLoad = false;
    };

    /// Returns the estimated number of running and waiting requests on a target, divided by its batch size.
    using LoadOf = std::function<double(const TargetView &)>;
    /// Chooses the target of a request among at least two candidates.
    using ChooseTarget
        = std::function<const TargetView *(const Request &request, const std::vector<const TargetView *> &candidates,
                                           const LoadOf &load, std::mt19937_64 &random)>;

    struct Options
    {
        /// The zone of this entry.
        Zone zone;
        std::uint64_t seed = 1;
        /// The default is betterOfTwo() with a pack threshold of 0.75.
        ChooseTarget chooseTarget;
        /// Choose the target by request load among all engines of the base model, whether or not they hold the adapter.
        /// Used by baselines only.
        bool ignoreResidency = false;
        /// Load an adapter that no zone holds in its home zone only; see homeZone(). If false, the zone of the entry
        /// that received the request loads it, provided that it has an engine for the base model.
        bool useHomeZone = true;
        /// Requests dispatched up to this long before a load report arrived may be missing from the report.
        milliseconds reportLag = milliseconds(500);
        /// Requests are forwarded to another zone that holds the adapter if the request load (see LoadOf) of the target
        /// chosen in this zone exceeds this.
        double forwardAboveLoad = 2.0;
    };

    explicit Router(Options options);

    /// Chooses the route of a request for an adapter.
    /// Precondition: reachableZones includes this entry's zone.
    [[nodiscard]] RouteChoice choose(const Request &request, const ZoneView &view,
                                     const std::vector<Zone> &reachableZones);

    /// Chooses a target of a plain service, which answers ordinary HTTP calls without an adapter.
    [[nodiscard]] RouteChoice chooseService(const ServiceName &service, const std::set<TargetId> &excluded,
                                            const ZoneView &view);

    /// Records that this entry dispatched a request to the target.
    void noteDispatched(const TargetId &target, TimePoint now);
    /// Records that a request that this entry dispatched to the target is no longer in flight there.
    /// Precondition: a matching noteDispatched().
    void noteFinished(const TargetId &target, TimePoint now);

    /// Returns the zone that loads an adapter that no zone holds, by rendezvous hashing. All entries with the same
    /// reachable zones get the same result.
    /// Precondition: zones is not empty.
    [[nodiscard]] static Zone homeZone(const AdapterRef &adapter, const std::vector<Zone> &zones);

    /// Returns the estimated number of running and waiting requests on the target, divided by its batch size.
    [[nodiscard]] double estimatedLoad(const TargetView &target) const;

    /// Compares two random candidates. If the request loads of both are below the threshold, chooses the more loaded
    /// one, which fills batches; otherwise the less loaded one, which keeps queues short. With a threshold of 0 it
    /// always chooses the less loaded one.
    [[nodiscard]] static ChooseTarget betterOfTwo(double packThreshold);
    /// Baseline: the least loaded of all candidates.
    [[nodiscard]] static ChooseTarget leastLoaded();
    /// Baseline: rendezvous hashing of the adapter that skips targets whose request load exceeds `bound` times the
    /// mean.
    [[nodiscard]] static ChooseTarget boundedRendezvous(double bound);

private:
    /// Requests that this entry has sent to one target.
    struct TargetTraffic
    {
        std::deque<TimePoint> dispatched;
        std::deque<TimePoint> finished;
        int inFlight = 0;
    };

    [[nodiscard]] const TargetView *chooseAmong(const Request &request, const std::vector<const TargetView *> &holders);
    [[nodiscard]] std::vector<const TargetView *> engines(const ZoneView &view, const BaseModel &baseModel) const;
    /// Chooses the route when no holder in this zone takes the request: another zone, or an adapter load in this zone.
    [[nodiscard]] RouteChoice chooseForwardOrWait(const Request &request, const ZoneView &view,
                                                  const std::vector<Zone> &reachableZones);
    void removeOldTimes(TargetTraffic &traffic, TimePoint now) const;

    Options m_options;
    std::mt19937_64 m_random;
    std::unordered_map<TargetId, TargetTraffic> m_traffic;
};

} // namespace tamarackcove
