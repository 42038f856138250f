#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Routing/RouteChoice.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
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
    /// Chooses among targets that may take the request; never called with an empty list. `load` is the estimate of
    /// running and waiting requests on a target over its batch size.
    using ChooseTarget = std::function<const TargetView *(
        const std::vector<const TargetView *> &candidates, const std::function<double(const TargetView &)> &load,
        std::mt19937_64 &random)>;

    struct Options {
        Zone zone;
        std::uint64_t seed = 1;
        /// The default is the better of two random candidates.
        ChooseTarget chooseTarget;
        /// Whether a request may be dispatched to a target that does not hold the adapter; only baselines do that.
        bool ignoreResidency = false;
        /// A holder in the own zone above this load loses to a holder in another zone.
        double forwardAboveLoad = 2.0;
    };

    struct Request {
        AdapterRef adapter;
        BaseModel baseModel;
        /// Targets that failed this request before.
        std::set<TargetId> excluded;
        /// False when the request was forwarded here; it then stays in this zone.
        bool mayForward = true;
    };

    explicit Router(Options options);

    /// Chooses for a request that names an adapter.
    /// Precondition: reachableZones holds the own zone.
    [[nodiscard]] RouteChoice choose(const Request &request, const ZoneView &view, const std::vector<Zone> &reachableZones,
                                     TimePoint now);

    /// Chooses a target of a plain service.
    [[nodiscard]] RouteChoice chooseService(const ServiceName &service, const std::set<TargetId> &excluded,
                                            const ZoneView &view, TimePoint now);

    /// Notes that a request was dispatched to the target, or has left it.
    void noteDispatched(const TargetId &target, TimePoint now);
    void noteFinished(const TargetId &target, TimePoint now);

    /// The zone that loads an adapter which no zone holds. All entries with the same reachable zones agree on it.
    [[nodiscard]] static Zone homeZone(const AdapterRef &adapter, const std::vector<Zone> &zones);

    /// Estimated requests on the target, over its batch size.
    [[nodiscard]] double estimatedLoad(const TargetView &target) const;

private:
    struct Sent {
        std::vector<TimePoint> since;
        std::vector<TimePoint> finished;
    };

    [[nodiscard]] const TargetView *best(std::vector<const TargetView *> candidates, const std::set<TargetId> &excluded);

    Options m_options;
    std::mt19937_64 m_random;
    std::map<TargetId, Sent> m_sent;
};

} // namespace tamarackcove
