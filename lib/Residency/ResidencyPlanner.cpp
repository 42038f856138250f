#include "tamarackcove/Residency/ResidencyPlanner.h"

#include "tamarackcove/Targets/ZoneView.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <memory>

namespace tamarackcove {

using FloatSeconds = std::chrono::duration<double>;

static constexpr seconds TidyInterval{10};

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
    const ZoneView &view;
    TimePoint now;
    int loadsLeft = 0;
    int releasesLeft = 0;
    /// Slots in use by target, actions of this round included.
    std::map<TargetId, int> slotsUsed;
    std::set<OnTarget> retired;
    std::vector<ResidencyAction> actions;
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
    std::set<OnTarget> loading;
    std::set<OnTarget> retiring;
    for (const auto &[id, target] : input.view.targets()) {
        for (const auto &[adapter, state] : target.adapters) {
            const OnTarget key{id, adapter};
            if (state == ResidencyState::Loading) {
                loading.insert(key);
            } else if (state == ResidencyState::Retiring) {
                retiring.insert(key);
            } else if (m_loading.contains(key)) {
                m_keepUntil[key] = input.now + m_options.minResidence;
            } else if (m_retiring.contains(key)) {
                m_keepUntil[key] = input.now + m_options.releaseRetry;
            }
        }
    }
    m_loading = std::move(loading);
    m_retiring = std::move(retiring);
    if (input.now - m_tidiedAt >= TidyInterval) {
        m_popularity.forgetIdle(input.now);
        std::erase_if(m_keepUntil, [&input](const auto &entry) { return entry.second <= input.now; });
        m_tidiedAt = input.now;
    }
}

std::vector<ResidencyAction> ResidencyPlanner::plan(const PlanInput &input)
{
    observe(input);
    const auto &view = input.view;
    const auto now = input.now;
    Round round{.input = input,
                .view = view,
                .now = now,
                .loadsLeft = input.loadsAllowed,
                .releasesLeft = m_options.releasesAhead - static_cast<int>(m_retiring.size())};
    for (const auto &[id, target] : view.targets()) {
        round.slotsUsed[id] = static_cast<int>(target.adapters.size());
    }
    for (const auto &wanted : waitingLoads(view, now)) {
        placeLoad(round, wanted, true);
    }
    if (m_options.loadAhead && round.loadsLeft > 0) {
        for (const auto &wanted : loadsAhead(view, now)) {
            placeLoad(round, wanted, wanted.worth > 0);
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

bool ResidencyPlanner::mayRetire(const Round &round, const OnTarget &key, ResidencyState state) const
{
    if (state != ResidencyState::Resident || round.retired.contains(key)) {
        return false;
    }
    const auto keepUntil = m_keepUntil.find(key);
    return keepUntil == m_keepUntil.end() || keepUntil->second <= round.now;
}

bool ResidencyPlanner::placeLoad(Round &round, const Wanted &wanted, bool evict)
{
    std::vector<const TargetView *> withRoom;
    for (const auto &[id, target] : round.view.targets()) {
        if (mayLoadOn(round, target, wanted.adapter) && round.slotsUsed.at(id) < target.adapterSlots) {
            withRoom.push_back(&target);
        }
    }
    if (withRoom.empty()) {
        if (evict) {
            retireFor(round, wanted);
        }
        return false;
    }
    if (round.loadsLeft <= 0) {
        return false;
    }
    const auto *target = m_options.placement(withRoom);
    --round.loadsLeft;
    ++round.slotsUsed[target->id];
    round.actions.push_back({.kind = ResidencyActionKind::Load, .target = target->id, .adapter = wanted.adapter});
    return true;
}

void ResidencyPlanner::retireFor(Round &round, const Wanted &wanted)
{
    if (round.releasesLeft <= 0) {
        return;
    }
    const TargetView *victimTarget = nullptr;
    AdapterRef victim;
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto &[id, target] : round.view.targets()) {
        if (!mayLoadOn(round, target, wanted.adapter)) {
            continue;
        }
        for (const auto &[adapter, state] : target.adapters) {
            const OnTarget key{id, adapter};
            if (!mayRetire(round, key, state)) {
                continue;
            }
            const Candidate candidate{.adapter = adapter,
                                      .ratePerSecond = m_popularity.rate(adapter, round.now),
                                      .lastUse = m_popularity.lastUse(adapter),
                                      .useCount = m_popularity.useCount(adapter),
                                      .copies = static_cast<int>(round.view.holders(adapter).size())};
            const auto cost = m_options.evictionCost(candidate, round.now);
            if (cost < lowest) {
                lowest = cost;
                victimTarget = &target;
                victim = adapter;
            }
        }
    }
    if (victimTarget == nullptr || (m_options.compareWorth && wanted.worth <= lowest)) {
        return;
    }
    --round.releasesLeft;
    round.retired.insert({victimTarget->id, victim});
    round.actions.push_back({.kind = ResidencyActionKind::Retire, .target = victimTarget->id, .adapter = victim});
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

std::size_t ResidencyPlanner::waitingAdapters(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(), [this, now](const auto &entry) {
        return std::any_of(entry.second.begin(), entry.second.end(), [this, now](const auto &waits) {
            return waits.second.reportedAt + m_options.demandLifetime > now;
        });
    }));
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
