#include "tamarackcove/Residency/ResidencyPlanner.h"

#include "tamarackcove/Targets/ZoneView.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <memory>

namespace tamarackcove {

using FloatSeconds = std::chrono::duration<double>;

static constexpr seconds CleanupInterval{10};

/// The zone view reflects a started action at the latest after this time.
static constexpr milliseconds ActionVisibleAfter{100};

/// Weight of a waiting request in the value of an adapter load. The weights differ by a small factor only, so that a
/// request of low priority overtakes others after a longer wait.
static double priorityWeight(Priority priority)
{
    switch (priority) {
    case Priority::Low:
        return 0.5;
    case Priority::Normal:
        return 1.0;
    case Priority::High:
        return 3.0;
    }
    return 1.0;
}

/// State of one call of plan(): the adapter loads and retirements that are still allowed, and the actions decided so
/// far.
struct ResidencyPlanner::Round
{
    const PlanInput &input;
    int loadsLeft = 0;
    int retirementsLeft = 0;
    /// Adapter slots reserved on each target by the loads of this round.
    std::map<TargetId, int> slotsTaken;
    /// Possible evictions by ascending cost; computed when the first load of the round finds no free slot.
    std::optional<std::vector<Victim>> victims;
    std::vector<ResidencyAction> actions;

    [[nodiscard]] bool hasFreeSlot(const TargetView &target) const
    {
        const auto taken = slotsTaken.find(target.id);
        return static_cast<int>(target.adapters.size()) + (taken == slotsTaken.end() ? 0 : taken->second)
            < target.adapterSlots;
    }
};

static double loadOf(const TargetView &target)
{
    return static_cast<double>(target.running + target.waiting) / std::max(1, target.maxBatch);
}

ResidencyPlanner::ResidencyPlanner(Options options)
    : m_options(std::move(options))
    , m_popularity(m_options.popularity)
{
    assert(m_options.baseModel && "Options::baseModel must be set");
    if (!m_options.evictionCost) {
        m_options.evictionCost = [](const EvictionCandidate &candidate, TimePoint) {
            return candidate.ratePerSecond / candidate.copies;
        };
    }
    if (!m_options.placement) {
        m_options.placement = [this](const std::vector<const TargetView *> &candidates) {
            return defaultPlacement(candidates);
        };
    }
}

void ResidencyPlanner::noteDemand(const EntryId &entry, const LoadDemand &demand, TimePoint now)
{
    if (demand.arrivals > 0) {
        m_popularity.noteArrivals(demand.adapter, demand.arrivals, now);
    }
    if (demand.waiting == 0) {
        const auto found = m_waiting.find(demand.adapter);
        if (found != m_waiting.end()) {
            found->second.erase(entry);
            if (found->second.empty()) {
                m_waiting.erase(found);
            }
        }
        return;
    }
    m_waiting[demand.adapter][entry] = {
        .count = demand.waiting, .highest = demand.highest, .waitingSince = now - demand.oldestWait, .reportedAt = now};
}

void ResidencyPlanner::updateStartedActions(const PlanInput &input)
{
    for (auto entry = m_startedActions.begin(); entry != m_startedActions.end();) {
        const auto &[key, started] = *entry;
        const auto *target = input.view.find(key.first);
        const auto residency = target == nullptr ? std::map<AdapterRef, ResidencyState>::const_iterator()
                                                 : target->adapters.find(key.second);
        const bool present = target != nullptr && residency != target->adapters.end();
        const bool resident = present && residency->second == ResidencyState::Resident;
        if ((present && !resident) || input.now - started.startedAt < ActionVisibleAfter) {
            ++entry;
            continue;
        }
        if (resident) {
            const bool wasLoad = started.kind == ResidencyActionKind::Load;
            m_retireNotBefore[key] = input.now + (wasLoad ? m_options.minResidence : m_options.retirementRetryDelay);
        }
        entry = m_startedActions.erase(entry);
    }
    if (input.now - m_lastCleanupAt >= CleanupInterval) {
        m_popularity.removeIdle(input.now);
        std::erase_if(m_retireNotBefore, [&input](const auto &entry) { return entry.second <= input.now; });
        m_lastCleanupAt = input.now;
    }
}

void ResidencyPlanner::startAction(Round &round, ResidencyAction action)
{
    m_startedActions[{action.target, action.adapter}] = {.kind = action.kind, .startedAt = round.input.now};
    round.actions.push_back(std::move(action));
}

std::vector<ResidencyAction> ResidencyPlanner::plan(const PlanInput &input)
{
    updateStartedActions(input);
    const auto retiring = std::count_if(m_startedActions.begin(), m_startedActions.end(), [](const auto &entry) {
        return entry.second.kind == ResidencyActionKind::Retire;
    });
    Round round{.input = input,
                .loadsLeft = input.loadsAllowed,
                .retirementsLeft = m_options.maxConcurrentRetirements - static_cast<int>(retiring)};
    for (const auto &desired : waitingLoads(input.view, input.now)) {
        placeLoad(round, desired);
    }
    if (m_options.loadCopies && round.loadsLeft > 0 && input.now - m_lastCopyCheckAt >= m_options.copyCheckInterval) {
        m_lastCopyCheckAt = input.now;
        for (const auto &desired : copyLoads(input.view, input.now)) {
            placeLoad(round, desired);
        }
    }
    return std::move(round.actions);
}

double ResidencyPlanner::valueOf(const std::map<EntryId, EntryDemand> &waiting, TimePoint now) const
{
    double value = 0;
    for (const auto &[entry, entryDemand] : waiting) {
        const auto age = FloatSeconds(now - entryDemand.waitingSince).count();
        // The value grows with the square of the age, so that the adapter of an old request eventually comes first,
        // however popular the other adapters are.
        value += entryDemand.count * priorityWeight(entryDemand.highest) * (1.0 + age) * (1.0 + age);
    }
    return value;
}

std::vector<ResidencyPlanner::DesiredLoad> ResidencyPlanner::waitingLoads(const ZoneView &view, TimePoint now)
{
    std::vector<DesiredLoad> desired;
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        auto &[adapter, waiting] = *entry;
        std::erase_if(waiting, [this, now](const auto &entryDemand) {
            return entryDemand.second.reportedAt + m_options.demandLifetime <= now;
        });
        if (waiting.empty()) {
            entry = m_waiting.erase(entry);
            continue;
        }
        if (!view.isLoading(adapter) && view.holders(adapter).empty()) {
            double value = valueOf(waiting, now);
            if (!m_options.orderByValue) {
                const auto first = std::min_element(waiting.begin(), waiting.end(), [](const auto &l, const auto &r) {
                    return l.second.waitingSince < r.second.waitingSince;
                });
                value = FloatSeconds(now - first->second.waitingSince).count();
            }
            desired.push_back({.adapter = adapter, .value = value});
        }
        ++entry;
    }
    std::sort(desired.begin(), desired.end(), [](const DesiredLoad &left, const DesiredLoad &right) {
        return left.value != right.value ? left.value > right.value : left.adapter < right.adapter;
    });
    return desired;
}

bool ResidencyPlanner::wantsCopy(const ZoneView &view, const AdapterRef &adapter, TimePoint now) const
{
    const auto holders = view.holders(adapter);
    if (holders.empty() || view.isLoading(adapter)) {
        return false;
    }
    const auto rate = m_popularity.rate(adapter, now);
    return std::all_of(holders.begin(), holders.end(), [&](const TargetView *holder) {
        if (loadOf(*holder) < m_options.copyAboveLoad) {
            return false;
        }
        // Another copy relieves the target that holds the adapter only if this adapter causes a considerable part of
        // the target's request load.
        double total = 0;
        for (const auto &[other, state] : holder->adapters) {
            total += m_popularity.rate(other, now);
        }
        return rate / static_cast<double>(holders.size()) >= 0.25 * total;
    });
}

std::vector<ResidencyPlanner::DesiredLoad> ResidencyPlanner::copyLoads(const ZoneView &view, TimePoint now) const
{
    std::vector<DesiredLoad> desired;
    std::set<AdapterRef> seen;
    for (const auto &[id, target] : view.targets()) {
        if (loadOf(target) < m_options.copyAboveLoad) {
            continue;
        }
        for (const auto &[adapter, state] : target.adapters) {
            if (seen.insert(adapter).second && wantsCopy(view, adapter, now)) {
                const auto copies = static_cast<double>(view.holders(adapter).size());
                desired.push_back({.adapter = adapter, .value = m_popularity.rate(adapter, now) / (copies + 1.0)});
            }
        }
    }
    std::sort(desired.begin(), desired.end(),
              [](const DesiredLoad &left, const DesiredLoad &right) { return left.value > right.value; });
    return desired;
}

bool ResidencyPlanner::mayLoadOn(const Round &round, const TargetView &target, const AdapterRef &adapter) const
{
    if (target.kind != TargetKind::Engine || target.health != TargetHealth::Serving
        || target.adapters.contains(adapter)) {
        return false;
    }
    const auto model = m_options.baseModel(adapter);
    if (!model || *model != target.baseModel) {
        return false;
    }
    return !round.input.mayLoad || round.input.mayLoad(target.id, adapter);
}

bool ResidencyPlanner::mayRetire(const TargetAdapter &key, ResidencyState state, TimePoint now) const
{
    if (state != ResidencyState::Resident || m_startedActions.contains(key)) {
        return false;
    }
    const auto keepUntil = m_retireNotBefore.find(key);
    return keepUntil == m_retireNotBefore.end() || keepUntil->second <= now;
}

void ResidencyPlanner::placeLoad(Round &round, const DesiredLoad &desired)
{
    std::vector<const TargetView *> withFreeSlot;
    for (const auto &[id, target] : round.input.view.targets()) {
        if (round.hasFreeSlot(target) && mayLoadOn(round, target, desired.adapter)) {
            withFreeSlot.push_back(&target);
        }
    }
    if (withFreeSlot.empty()) {
        retireVictimFor(round, desired);
        return;
    }
    if (round.loadsLeft <= 0) {
        return;
    }
    const auto *target = m_options.placement(withFreeSlot);
    --round.loadsLeft;
    ++round.slotsTaken[target->id];
    startAction(round, {.kind = ResidencyActionKind::Load, .target = target->id, .adapter = desired.adapter});
}

std::vector<ResidencyPlanner::Victim> ResidencyPlanner::findVictims(const PlanInput &input) const
{
    std::vector<Victim> victims;
    for (const auto &[id, target] : input.view.targets()) {
        for (const auto &[adapter, state] : target.adapters) {
            if (!mayRetire({id, adapter}, state, input.now)) {
                continue;
            }
            const EvictionCandidate candidate{.adapter = adapter,
                                              .ratePerSecond = m_popularity.rate(adapter, input.now),
                                              .lastUse = m_popularity.lastUse(adapter),
                                              .useCount = m_popularity.useCount(adapter),
                                              .copies = static_cast<int>(input.view.holders(adapter).size())};
            victims.push_back(
                {.target = &target, .adapter = adapter, .cost = m_options.evictionCost(candidate, input.now)});
        }
    }
    std::sort(victims.begin(), victims.end(),
              [](const Victim &left, const Victim &right) { return left.cost < right.cost; });
    return victims;
}

void ResidencyPlanner::retireVictimFor(Round &round, const DesiredLoad &desired)
{
    if (round.retirementsLeft <= 0) {
        return;
    }
    if (!round.victims) {
        round.victims = findVictims(round.input);
    }
    auto &victims = *round.victims;
    const auto victim = std::find_if(victims.begin(), victims.end(), [&](const Victim &candidate) {
        return mayLoadOn(round, *candidate.target, desired.adapter);
    });
    if (victim == victims.end() || (m_options.requireValueAboveCost && desired.value <= victim->cost)) {
        return;
    }
    --round.retirementsLeft;
    startAction(
        round,
        {.kind = ResidencyActionKind::Retire, .target = victim->target->id, .adapter = std::move(victim->adapter)});
    victims.erase(victim);
}

const TargetView *ResidencyPlanner::defaultPlacement(const std::vector<const TargetView *> &candidates) const
{
    const TargetView *mostLoaded = nullptr;
    const TargetView *leastLoaded = nullptr;
    for (const auto *target : candidates) {
        const auto load = loadOf(*target);
        if (load < m_options.packThreshold && (mostLoaded == nullptr || load > loadOf(*mostLoaded))) {
            mostLoaded = target;
        }
        if (leastLoaded == nullptr || load < loadOf(*leastLoaded)) {
            leastLoaded = target;
        }
    }
    return mostLoaded != nullptr ? mostLoaded : leastLoaded;
}

const Popularity &ResidencyPlanner::popularity() const
{
    return m_popularity;
}

PlannerHooks makeResidencyPlanner(ResidencyPlanner::Options options)
{
    auto planner = std::make_shared<ResidencyPlanner>(std::move(options));
    return {.noteDemand = [planner](const EntryId &from, const LoadDemand &demand,
                                    TimePoint now) { planner->noteDemand(from, demand, now); },
            .plan =
                [planner](const PlanInput &input) {
                    return planner->plan(input);
                }};
}

} // namespace tamarackcove
