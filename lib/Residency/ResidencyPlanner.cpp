#include "tamarackcove/Residency/ResidencyPlanner.h"

#include "tamarackcove/Targets/ZoneView.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <memory>

namespace tamarackcove {

using FloatSeconds = std::chrono::duration<double>;

static constexpr seconds TidyInterval{10};

/// The view shows an action this long after its start.
static constexpr milliseconds ActionVisibleAfter{100};

/// Requests of a higher priority weigh more, but a low one that has waited long still overtakes.
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

/// One call of plan(): what is left to give, and what was given.
struct ResidencyPlanner::Round
{
    const PlanInput &input;
    int loadsLeft = 0;
    int releasesLeft = 0;
    /// Slots taken by loads of this round.
    std::map<TargetId, int> slotsTaken;
    /// What could be evicted, the cheapest first; made when the first load of the round finds no free slot.
    std::optional<std::vector<Victim>> victims;
    std::vector<ResidencyAction> actions;

    [[nodiscard]] bool hasRoom(const TargetView &target) const
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
    assert(m_options.baseModel && "the planner needs the base model of each adapter");
    if (!m_options.evictionCost) {
        m_options.evictionCost = [](const Candidate &candidate, TimePoint) {
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
    m_waiting[demand.adapter][entry]
        = {.count = demand.waiting, .highest = demand.highest, .since = now - demand.oldestWait, .reportedAt = now};
}

void ResidencyPlanner::observe(const PlanInput &input)
{
    for (auto entry = m_started.begin(); entry != m_started.end();) {
        const auto &[key, started] = *entry;
        const auto *target = input.view.find(key.first);
        const auto held = target == nullptr ? std::map<AdapterRef, ResidencyState>::const_iterator()
                                            : target->adapters.find(key.second);
        const bool present = target != nullptr && held != target->adapters.end();
        const bool resident = present && held->second == ResidencyState::Resident;
        if ((present && !resident) || input.now - started.at < ActionVisibleAfter) {
            ++entry;
            continue;
        }
        if (resident) {
            const bool wasLoad = started.kind == ResidencyActionKind::Load;
            m_keepUntil[key] = input.now + (wasLoad ? m_options.minResidence : m_options.releaseRetry);
        }
        entry = m_started.erase(entry);
    }
    if (input.now - m_tidiedAt >= TidyInterval) {
        m_popularity.forgetIdle(input.now);
        std::erase_if(m_keepUntil, [&input](const auto &entry) { return entry.second <= input.now; });
        m_tidiedAt = input.now;
    }
}

void ResidencyPlanner::start(Round &round, ResidencyAction action)
{
    m_started[{action.target, action.adapter}] = {.kind = action.kind, .at = round.input.now};
    round.actions.push_back(std::move(action));
}

std::vector<ResidencyAction> ResidencyPlanner::plan(const PlanInput &input)
{
    observe(input);
    const auto retiring = std::count_if(m_started.begin(), m_started.end(), [](const auto &entry) {
        return entry.second.kind == ResidencyActionKind::Retire;
    });
    Round round{.input = input,
                .loadsLeft = input.loadsAllowed,
                .releasesLeft = m_options.releasesAhead - static_cast<int>(retiring)};
    for (const auto &wanted : waitingLoads(input.view, input.now)) {
        placeLoad(round, wanted);
    }
    if (m_options.loadAhead && round.loadsLeft > 0 && input.now - m_lookedAheadAt >= m_options.aheadInterval) {
        m_lookedAheadAt = input.now;
        for (const auto &wanted : loadsAhead(input.view, input.now)) {
            placeLoad(round, wanted);
        }
    }
    return std::move(round.actions);
}

double ResidencyPlanner::worthOf(const std::map<EntryId, Waiting> &waiting, TimePoint now) const
{
    double worth = 0;
    for (const auto &[entry, waits] : waiting) {
        const auto age = FloatSeconds(now - waits.since).count();
        // The square makes any request overtake in the end, however popular the adapters before it are.
        worth += waits.count * priorityWeight(waits.highest) * (1.0 + age) * (1.0 + age);
    }
    return worth;
}

std::vector<ResidencyPlanner::Wanted> ResidencyPlanner::waitingLoads(const ZoneView &view, TimePoint now)
{
    std::vector<Wanted> wanted;
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        auto &[adapter, waiting] = *entry;
        std::erase_if(waiting, [this, now](const auto &waits) {
            return waits.second.reportedAt + m_options.demandLifetime <= now;
        });
        if (waiting.empty()) {
            entry = m_waiting.erase(entry);
            continue;
        }
        if (!view.isLoading(adapter) && view.holders(adapter).empty()) {
            double worth = worthOf(waiting, now);
            if (!m_options.orderByValue) {
                const auto first = std::min_element(waiting.begin(), waiting.end(), [](const auto &l, const auto &r) {
                    return l.second.since < r.second.since;
                });
                worth = FloatSeconds(now - first->second.since).count();
            }
            wanted.push_back({.adapter = adapter, .worth = worth});
        }
        ++entry;
    }
    std::sort(wanted.begin(), wanted.end(), [](const Wanted &left, const Wanted &right) {
        return left.worth != right.worth ? left.worth > right.worth : left.adapter < right.adapter;
    });
    return wanted;
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
        // Another copy helps only when this adapter causes the load.
        double total = 0;
        for (const auto &[other, state] : holder->adapters) {
            total += m_popularity.rate(other, now);
        }
        return rate / static_cast<double>(holders.size()) >= 0.25 * total;
    });
}

std::vector<ResidencyPlanner::Wanted> ResidencyPlanner::loadsAhead(const ZoneView &view, TimePoint now) const
{
    std::vector<Wanted> wanted;
    std::set<AdapterRef> seen;
    for (const auto &[id, target] : view.targets()) {
        if (loadOf(target) < m_options.copyAboveLoad) {
            continue;
        }
        for (const auto &[adapter, state] : target.adapters) {
            if (seen.insert(adapter).second && wantsCopy(view, adapter, now)) {
                const auto copies = static_cast<double>(view.holders(adapter).size());
                wanted.push_back({.adapter = adapter, .worth = m_popularity.rate(adapter, now) / (copies + 1.0)});
            }
        }
    }
    std::sort(wanted.begin(), wanted.end(),
              [](const Wanted &left, const Wanted &right) { return left.worth > right.worth; });
    return wanted;
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

bool ResidencyPlanner::mayRetire(const OnTarget &key, ResidencyState state, TimePoint now) const
{
    if (state != ResidencyState::Resident || m_started.contains(key)) {
        return false;
    }
    const auto keepUntil = m_keepUntil.find(key);
    return keepUntil == m_keepUntil.end() || keepUntil->second <= now;
}

void ResidencyPlanner::placeLoad(Round &round, const Wanted &wanted)
{
    std::vector<const TargetView *> withRoom;
    for (const auto &[id, target] : round.input.view.targets()) {
        if (round.hasRoom(target) && mayLoadOn(round, target, wanted.adapter)) {
            withRoom.push_back(&target);
        }
    }
    if (withRoom.empty()) {
        retireFor(round, wanted);
        return;
    }
    if (round.loadsLeft <= 0) {
        return;
    }
    const auto *target = m_options.placement(withRoom);
    --round.loadsLeft;
    ++round.slotsTaken[target->id];
    start(round, {.kind = ResidencyActionKind::Load, .target = target->id, .adapter = wanted.adapter});
}

std::vector<ResidencyPlanner::Victim> ResidencyPlanner::findVictims(const PlanInput &input) const
{
    std::vector<Victim> victims;
    for (const auto &[id, target] : input.view.targets()) {
        for (const auto &[adapter, state] : target.adapters) {
            if (!mayRetire({id, adapter}, state, input.now)) {
                continue;
            }
            const Candidate candidate{.adapter = adapter,
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

void ResidencyPlanner::retireFor(Round &round, const Wanted &wanted)
{
    if (round.releasesLeft <= 0) {
        return;
    }
    if (!round.victims) {
        round.victims = findVictims(round.input);
    }
    auto &victims = *round.victims;
    const auto victim = std::find_if(victims.begin(), victims.end(), [&](const Victim &candidate) {
        return mayLoadOn(round, *candidate.target, wanted.adapter);
    });
    if (victim == victims.end() || (m_options.compareWorth && wanted.worth <= victim->cost)) {
        return;
    }
    --round.releasesLeft;
    start(round,
          {.kind = ResidencyActionKind::Retire, .target = victim->target->id, .adapter = std::move(victim->adapter)});
    victims.erase(victim);
}

const TargetView *ResidencyPlanner::defaultPlacement(const std::vector<const TargetView *> &candidates) const
{
    const TargetView *fullest = nullptr;
    const TargetView *emptiest = nullptr;
    for (const auto *target : candidates) {
        const auto load = loadOf(*target);
        if (load < m_options.packThreshold && (fullest == nullptr || load > loadOf(*fullest))) {
            fullest = target;
        }
        if (emptiest == nullptr || load < loadOf(*emptiest)) {
            emptiest = target;
        }
    }
    return fullest != nullptr ? fullest : emptiest;
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
