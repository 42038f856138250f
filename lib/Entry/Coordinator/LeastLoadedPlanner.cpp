#include "tamarackcove/Entry/Coordinator/LeastLoadedPlanner.h"

#include "tamarackcove/Targets/ZoneView.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace tamarackcove {

namespace {

// An entry repeats its demand while requests wait; one that it no longer repeats is served or given up.
constexpr seconds DemandLifetime{2};

class LeastLoadedPlanner
{
public:
    void noteDemand(const EntryId &from, const LoadDemand &demand, TimePoint now)
    {
        if (demand.arrivals > 0 || demand.waiting > 0) {
            m_lastUse[demand.adapter] = now;
        }
        if (demand.waiting > 0) {
            m_wanted[demand.adapter][from] = now;
        } else {
            const auto wanted = m_wanted.find(demand.adapter);
            if (wanted != m_wanted.end()) {
                wanted->second.erase(from);
            }
        }
    }

    std::vector<ResidencyAction> plan(const PlanInput &input)
    {
        forgetOldDemand(input.now);
        // What is resident waits no more, even when the entry has not said so yet.
        std::erase_if(m_wanted, [&input](const auto &wanted) { return !input.view.holders(wanted.first).empty(); });
        std::vector<ResidencyAction> actions;
        std::map<TargetId, int> planned;
        // Retirements under way free a slot soon; one is enough for each adapter that waits.
        std::size_t freeing = retiring(input.view);
        for (const auto &[adapter, since] : m_wanted) {
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
            if (freeing > 0) {
                --freeing;
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
    void forgetOldDemand(TimePoint now)
    {
        for (auto &[adapter, from] : m_wanted) {
            std::erase_if(from, [now](const auto &demand) { return now - demand.second > DemandLifetime; });
        }
        std::erase_if(m_wanted, [](const auto &wanted) { return wanted.second.empty(); });
    }

    static std::size_t countLoads(const std::vector<ResidencyAction> &actions)
    {
        return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const auto &action) {
            return action.kind == ResidencyActionKind::Load;
        }));
    }

    static std::size_t retiring(const ZoneView &view)
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
            const auto extra = planned.find(id);
            const auto used = std::ssize(target.adapters) + (extra == planned.end() ? 0 : extra->second);
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
                if (state != ResidencyState::Resident || isPlanned || m_wanted.contains(adapter)) {
                    continue;
                }
                const auto used = m_lastUse.find(adapter);
                const auto at = used == m_lastUse.end() ? TimePoint::min() : used->second;
                if (!victim || at < oldest) {
                    oldest = at;
                    victim = std::make_pair(id, adapter);
                }
            }
        }
        return victim;
    }

    std::map<AdapterRef, TimePoint> m_lastUse;
    std::map<AdapterRef, std::map<EntryId, TimePoint>> m_wanted;
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
