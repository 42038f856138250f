#include "tamarackcove/Entry/Coordinator/LeastLoadedPlanner.h"

#include "tamarackcove/Targets/ZoneView.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace tamarackcove {

namespace {

// An entry repeats a demand while requests wait. A demand that the entry has not repeated for this long was met, or the
// requests that waited have ended.
constexpr seconds DemandLifetime{2};

class LeastLoadedPlanner
{
public:
    void noteDemand(const EntryId &from, const LoadDemand &demand, TimePoint now)
    {
        if (demand.arrivals > 0 || demand.waiting > 0) {
            m_lastUsedAt[demand.adapter] = now;
        }
        if (demand.waiting > 0) {
            m_unmetDemand[demand.adapter][from] = now;
        } else {
            const auto unmet = m_unmetDemand.find(demand.adapter);
            if (unmet != m_unmetDemand.end()) {
                unmet->second.erase(from);
            }
        }
    }

    std::vector<ResidencyAction> plan(const PlanInput &input)
    {
        removeExpiredDemand(input.now);
        // Demand for a resident adapter is met, even if entries have not withdrawn it yet.
        std::erase_if(m_unmetDemand, [&input](const auto &unmet) { return !input.view.holders(unmet.first).empty(); });
        std::vector<ResidencyAction> actions;
        std::map<TargetId, int> planned;
        // Each adapter that is being retired frees a slot soon, so an adapter that requests wait for needs no further
        // retirement if it can take such a slot.
        std::size_t slotsBeingFreed = countRetiring(input.view);
        for (const auto &[adapter, reports] : m_unmetDemand) {
            if (input.view.isLoading(adapter)) {
                continue;
            }
            if (const auto *target = leastLoadedWithSlot(input, adapter, planned)) {
                if (std::cmp_less(countLoads(actions), input.loadsAllowed)) {
                    ++planned[target->id];
                    actions.push_back({.kind = ResidencyActionKind::Load, .target = target->id, .adapter = adapter});
                }
                continue;
            }
            if (slotsBeingFreed > 0) {
                --slotsBeingFreed;
                continue;
            }
            if (const auto victim = leastRecentlyUsed(input.view, actions)) {
                actions.push_back(
                    {.kind = ResidencyActionKind::Retire, .target = victim->first, .adapter = victim->second});
            }
        }
        return actions;
    }

private:
    void removeExpiredDemand(TimePoint now)
    {
        for (auto &[adapter, lastReports] : m_unmetDemand) {
            std::erase_if(lastReports, [now](const auto &demand) { return now - demand.second > DemandLifetime; });
        }
        std::erase_if(m_unmetDemand, [](const auto &unmet) { return unmet.second.empty(); });
    }

    static std::size_t countLoads(const std::vector<ResidencyAction> &actions)
    {
        return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const auto &action) {
            return action.kind == ResidencyActionKind::Load;
        }));
    }

    static std::size_t countRetiring(const ZoneView &view)
    {
        std::size_t count = 0;
        for (const auto &[id, target] : view.targets()) {
            count += static_cast<std::size_t>(
                std::count_if(target.adapters.begin(), target.adapters.end(),
                              [](const auto &held) { return held.second == ResidencyState::Retiring; }));
        }
        return count;
    }

    static const TargetView *leastLoadedWithSlot(const PlanInput &input, const AdapterRef &adapter,
                                                 const std::map<TargetId, int> &planned)
    {
        const TargetView *best = nullptr;
        for (const auto &[id, target] : input.view.targets()) {
            const auto plannedLoads = planned.find(id);
            const auto used = std::ssize(target.adapters) + (plannedLoads == planned.end() ? 0 : plannedLoads->second);
            if (target.kind != TargetKind::Engine || target.health != TargetHealth::Serving
                || used >= target.adapterSlots || !input.mayLoad(id, adapter)) {
                continue;
            }
            const auto load = [](const TargetView &view) {
                return view.running + view.waiting;
            };
            if (best == nullptr || load(target) < load(*best) || (load(target) == load(*best) && id < best->id)) {
                best = &target;
            }
        }
        return best;
    }

    std::optional<std::pair<TargetId, AdapterRef>> leastRecentlyUsed(const ZoneView &view,
                                                                     const std::vector<ResidencyAction> &actions) const
    {
        std::optional<std::pair<TargetId, AdapterRef>> victim;
        auto oldest = TimePoint::max();
        for (const auto &[id, target] : view.targets()) {
            for (const auto &[adapter, state] : target.adapters) {
                const bool isPlanned
                    = std::any_of(actions.begin(), actions.end(), [&id = id, &adapter = adapter](const auto &action) {
                          return action.target == id && action.adapter == adapter;
                      });
                if (state != ResidencyState::Resident || isPlanned || m_unmetDemand.contains(adapter)) {
                    continue;
                }
                const auto found = m_lastUsedAt.find(adapter);
                const auto usedAt = found == m_lastUsedAt.end() ? TimePoint::min() : found->second;
                if (!victim || usedAt < oldest) {
                    oldest = usedAt;
                    victim = std::make_pair(id, adapter);
                }
            }
        }
        return victim;
    }

    std::map<AdapterRef, TimePoint> m_lastUsedAt;
    std::map<AdapterRef, std::map<EntryId, TimePoint>> m_unmetDemand;
};

} // namespace

PlannerHooks makeLeastLoadedPlanner()
{
    const auto planner = std::make_shared<LeastLoadedPlanner>();
    PlannerHooks hooks;
    hooks.noteDemand = [planner](const EntryId &from, const LoadDemand &demand, TimePoint now) {
        planner->noteDemand(from, demand, now);
    };
    hooks.plan = [planner](const PlanInput &input) {
        return planner->plan(input);
    };
    return hooks;
}

} // namespace tamarackcove
