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

/// Chooses the zone and the target of a request from what this entry knows, without asking another process.
///
/// Load reports lag, so it counts what this entry has sent since each report. It takes the better of two random
/// holders, which keeps entries that share the same stale report from all choosing the same target.
/// Thread safety: used on one thread.
class Router
{
public:
    struct Request
    {
        AdapterRef adapter;
        BaseModel baseModel;
        /// Targets that failed this request before.
        std::set<TargetId> excluded;
        /// False when the request was forwarded here; it then stays in this zone.
        bool mayForward = true;
        /// True when the request has waited for a load that has ended.
        bool hasWaited = false;
    };

    /// Estimate of running and waiting requests on a target, over its batch size.
    using LoadOf = std::function<double(const TargetView &)>;
    /// Chooses among at least two targets that may take the request.
    using ChooseTarget
        = std::function<const TargetView *(const Request &request, const std::vector<const TargetView *> &candidates,
                                           const LoadOf &load, std::mt19937_64 &random)>;

    struct Options
    {
        Zone zone;
        std::uint64_t seed = 1;
        /// The default is betterOfTwo() with a pack threshold of 0.75.
        ChooseTarget chooseTarget;
        /// Whether the least loaded target is chosen before looking at what it holds; only baselines do that.
        bool ignoreResidency = false;
        /// Whether an adapter that no zone holds is loaded by its home zone only.
        bool useHomeZone = true;
        /// Work sent this long before a load report arrived may be missing from it.
        milliseconds reportLag = milliseconds(500);
        /// A holder in the own zone above this load loses to a holder in another zone.
        double forwardAboveLoad = 2.0;
    };

    explicit Router(Options options);

    /// Chooses for a request that names an adapter.
    /// Precondition: reachableZones holds the own zone.
    [[nodiscard]] RouteChoice choose(const Request &request, const ZoneView &view,
                                     const std::vector<Zone> &reachableZones);

    /// Chooses a target of a plain service.
    [[nodiscard]] RouteChoice chooseService(const ServiceName &service, const std::set<TargetId> &excluded,
                                            const ZoneView &view);

    /// Notes that a request was dispatched to the target, or has left it.
    void noteDispatched(const TargetId &target, TimePoint now);
    void noteFinished(const TargetId &target, TimePoint now);

    /// The zone that loads an adapter which no zone holds. All entries with the same reachable zones agree on it.
    [[nodiscard]] static Zone homeZone(const AdapterRef &adapter, const std::vector<Zone> &zones);

    /// Estimated requests on the target, over its batch size.
    [[nodiscard]] double estimatedLoad(const TargetView &target) const;

    /// Takes two random candidates. While both are below the threshold it prefers the fuller one, which fills batches;
    /// above it the emptier one, which keeps queues short. A threshold of 0 always takes the emptier one.
    [[nodiscard]] static ChooseTarget betterOfTwo(double packThreshold);
    /// Baseline: the emptiest of all candidates by the same estimate.
    [[nodiscard]] static ChooseTarget leastLoaded();
    /// Baseline: rendezvous hashing of the adapter, passing over targets whose load is above `bound` times the mean.
    [[nodiscard]] static ChooseTarget boundedRendezvous(double bound);

private:
    struct Sent
    {
        std::deque<TimePoint> dispatched;
        std::deque<TimePoint> finished;
        int inFlight = 0;
    };

    [[nodiscard]] const TargetView *choose(const Request &request, const std::vector<const TargetView *> &holders);
    [[nodiscard]] std::vector<const TargetView *> engines(const ZoneView &view, const BaseModel &baseModel) const;
    [[nodiscard]] RouteChoice chooseElsewhere(const Request &request, const ZoneView &view,
                                              const std::vector<Zone> &reachableZones);
    void forgetReported(Sent &sent, TimePoint now) const;

    Options m_options;
    std::mt19937_64 m_random;
    std::unordered_map<TargetId, Sent> m_sent;
};

} // namespace tamarackcove
