#include "tamarackcove/Routing/Router.h"

#include "tamarackcove/Base/Hash.h"
#include "tamarackcove/Targets/ZoneView.h"

#include <algorithm>
#include <cassert>

namespace tamarackcove {

static constexpr double DefaultPackThreshold = 0.75;

/// Every load report of a target includes the requests that were dispatched longer ago than this, so their dispatch
/// times are dropped. This limits the number of times kept for a target that has stopped reporting.
static constexpr seconds MaxReportGap{10};

Router::Router(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    if (!m_options.chooseTarget) {
        m_options.chooseTarget = betterOfTwo(DefaultPackThreshold);
    }
}

RouteChoice Router::choose(const Request &request, const ZoneView &view, const std::vector<Zone> &reachableZones)
{
    if (m_options.ignoreResidency && !request.hasWaitedForLoad) {
        const auto *target = chooseAmong(request, engines(view, request.baseModel));
        if (target == nullptr) {
            return {};
        }
        const auto held = target->adapters.find(request.adapter);
        if (held == target->adapters.end() || held->second != ResidencyState::Resident) {
            return {.kind = RouteKind::WaitForLoad, .target = target->id, .zone = m_options.zone};
        }
        return {.kind = RouteKind::Target, .target = target->id, .zone = m_options.zone};
    }
    const auto *holder = chooseAmong(request, view.holders(request.adapter));
    if (holder == nullptr) {
        return chooseForwardOrWait(request, view, reachableZones);
    }
    if (request.mayForward && estimatedLoad(*holder) > m_options.forwardAboveLoad) {
        const auto alternative = chooseForwardOrWait(request, view, reachableZones);
        if (alternative.kind == RouteKind::Forward) {
            return alternative;
        }
    }
    return {.kind = RouteKind::Target, .target = holder->id, .zone = m_options.zone};
}

RouteChoice Router::chooseForwardOrWait(const Request &request, const ZoneView &view,
                                        const std::vector<Zone> &reachableZones)
{
    const RouteChoice waitHere{.kind = RouteKind::WaitForLoad, .target = {}, .zone = m_options.zone};
    const bool canLoadHere = !engines(view, request.baseModel).empty();
    if (!request.mayForward) {
        return canLoadHere ? waitHere : RouteChoice{};
    }
    std::vector<Zone> holdingZones;
    for (const auto &zone : view.remoteHolders(request.adapter)) {
        if (std::find(reachableZones.begin(), reachableZones.end(), zone) != reachableZones.end()) {
            holdingZones.push_back(zone);
        }
    }
    if (!holdingZones.empty()) {
        const auto index = std::uniform_int_distribution<std::size_t>(0, holdingZones.size() - 1)(m_random);
        return {.kind = RouteKind::Forward, .target = {}, .zone = holdingZones[index]};
    }
    if (canLoadHere && (!m_options.useHomeZone || view.isLoading(request.adapter))) {
        return waitHere;
    }
    const auto home = homeZone(request.adapter, reachableZones);
    if (home != m_options.zone) {
        return {.kind = RouteKind::Forward, .target = {}, .zone = home};
    }
    if (canLoadHere) {
        return waitHere;
    }
    // This is the home zone, but it has no engine for the base model. Another reachable zone may have one.
    for (const auto &zone : reachableZones) {
        if (zone != m_options.zone) {
            return {.kind = RouteKind::Forward, .target = {}, .zone = zone};
        }
    }
    return {};
}

RouteChoice Router::chooseService(const ServiceName &service, const std::set<TargetId> &excluded, const ZoneView &view)
{
    const Request request{.adapter = {}, .baseModel = {}, .excluded = excluded};
    const auto *target = chooseAmong(request, view.services(service));
    if (target == nullptr) {
        return {};
    }
    return {.kind = RouteKind::Target, .target = target->id, .zone = m_options.zone};
}

const TargetView *Router::chooseAmong(const Request &request, const std::vector<const TargetView *> &holders)
{
    std::vector<const TargetView *> serving;
    std::vector<const TargetView *> suspect;
    for (const auto *target : holders) {
        if (request.excluded.contains(target->id)) {
            continue;
        }
        if (target->health == TargetHealth::Serving) {
            serving.push_back(target);
        } else if (target->health == TargetHealth::Suspect) {
            suspect.push_back(target);
        }
    }
    const auto &candidates = serving.empty() ? suspect : serving;
    if (candidates.empty()) {
        return nullptr;
    }
    if (candidates.size() == 1) {
        return candidates.front();
    }
    return m_options.chooseTarget(
        request, candidates, [this](const TargetView &target) { return estimatedLoad(target); }, m_random);
}

std::vector<const TargetView *> Router::engines(const ZoneView &view, const BaseModel &baseModel) const
{
    std::vector<const TargetView *> result;
    for (const auto &[id, target] : view.targets()) {
        if (target.kind == TargetKind::Engine && target.baseModel == baseModel
            && target.health != TargetHealth::Leaving) {
            result.push_back(&target);
        }
    }
    return result;
}

void Router::noteDispatched(const TargetId &target, TimePoint now)
{
    auto &traffic = m_traffic[target];
    removeOldTimes(traffic, now);
    traffic.dispatched.push_back(now);
    ++traffic.inFlight;
}

void Router::noteFinished(const TargetId &target, TimePoint now)
{
    auto &traffic = m_traffic[target];
    assert(traffic.inFlight > 0 && "noteFinished without noteDispatched");
    removeOldTimes(traffic, now);
    traffic.finished.push_back(now);
    --traffic.inFlight;
}

static void removeBefore(std::deque<TimePoint> &times, TimePoint limit)
{
    while (!times.empty() && times.front() < limit) {
        times.pop_front();
    }
}

void Router::removeOldTimes(TargetTraffic &traffic, TimePoint now) const
{
    removeBefore(traffic.dispatched, now - MaxReportGap);
    removeBefore(traffic.finished, now - MaxReportGap);
}

static int countSince(const std::deque<TimePoint> &times, TimePoint since)
{
    return static_cast<int>(times.end() - std::lower_bound(times.begin(), times.end(), since));
}

double Router::estimatedLoad(const TargetView &target) const
{
    int requests = target.running + target.waiting;
    const auto found = m_traffic.find(target.id);
    if (found != m_traffic.end()) {
        const auto missingFrom = target.reportedAt - m_options.reportLag;
        requests += countSince(found->second.dispatched, missingFrom) - countSince(found->second.finished, missingFrom);
        requests = std::max(requests, found->second.inFlight);
    }
    return static_cast<double>(requests) / std::max(1, target.maxBatch);
}

Zone Router::homeZone(const AdapterRef &adapter, const std::vector<Zone> &zones)
{
    assert(!zones.empty() && "zones must include at least the zone of this entry");
    const auto key = hash64(adapter.name(), hash64(adapter.version()));
    const auto weight = [key](const Zone &zone) {
        return hash64(zone.value(), key);
    };
    return *std::max_element(zones.begin(), zones.end(),
                             [&weight](const Zone &left, const Zone &right) { return weight(left) < weight(right); });
}

Router::ChooseTarget Router::betterOfTwo(double packThreshold)
{
    return [packThreshold](const Request &, const std::vector<const TargetView *> &candidates, const LoadOf &load,
                           std::mt19937_64 &random) {
        const auto first = std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random);
        auto second = std::uniform_int_distribution<std::size_t>(0, candidates.size() - 2)(random);
        second += second >= first ? 1 : 0;
        const auto firstLoad = load(*candidates[first]);
        const auto secondLoad = load(*candidates[second]);
        const bool pack = firstLoad < packThreshold && secondLoad < packThreshold;
        const bool takeFirst = pack ? firstLoad >= secondLoad : firstLoad <= secondLoad;
        return candidates[takeFirst ? first : second];
    };
}

Router::ChooseTarget Router::leastLoaded()
{
    return [](const Request &, const std::vector<const TargetView *> &candidates, const LoadOf &load,
              std::mt19937_64 &) {
        return *std::min_element(candidates.begin(), candidates.end(),
                                 [&load](const auto *left, const auto *right) { return load(*left) < load(*right); });
    };
}

Router::ChooseTarget Router::boundedRendezvous(double bound)
{
    return [bound](const Request &request, const std::vector<const TargetView *> &candidates, const LoadOf &load,
                   std::mt19937_64 &) {
        double mean = 0;
        for (const auto *target : candidates) {
            mean += load(*target) / static_cast<double>(candidates.size());
        }
        const auto key = hash64(request.adapter.name(), hash64(request.adapter.version()));
        const TargetView *chosen = nullptr;
        std::uint64_t highest = 0;
        for (const auto *target : candidates) {
            const auto weight = hash64(target->id.value(), key);
            if (load(*target) <= bound * mean && (chosen == nullptr || weight > highest)) {
                chosen = target;
                highest = weight;
            }
        }
        return chosen != nullptr ? chosen : candidates.front();
    };
}

} // namespace tamarackcove
