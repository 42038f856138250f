#include "tamarackcove/Targets/AdapterResidency.h"

#include <algorithm>
#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace msm = boost::msm;

namespace tamarackcove {

namespace {

struct LoadOrdered
{
};
struct Loaded
{
};
struct LoadFailed
{
};
struct RetireStarted
{
};
struct RetireRefused
{
};
struct Unloaded
{
};
struct SeenResident
{
};
struct SeenAbsent
{
};
struct BackOffOver
{
};

struct ResidencyTable : msm::front::state_machine_def<ResidencyTable>
{
    struct Absent : msm::front::state<>
    {
    };
    struct Loading : msm::front::state<>
    {
    };
    struct Resident : msm::front::state<>
    {
    };
    struct Retiring : msm::front::state<>
    {
    };
    struct BackOff : msm::front::state<>
    {
    };
    using initial_state = Absent;

    template<typename Source, typename Event, typename Target>
    using Row = msm::front::Row<Source, Event, Target>;

    // What the engine reports of itself changes nothing while an order is under way: the report may be older than it.
    using transition_table
        = boost::mpl::vector<Row<Absent, LoadOrdered, Loading>, Row<Absent, SeenResident, Resident>,
                             Row<Loading, Loaded, Resident>, Row<Loading, LoadFailed, BackOff>,
                             Row<Resident, RetireStarted, Retiring>, Row<Resident, SeenAbsent, Absent>,
                             Row<Retiring, RetireRefused, Resident>, Row<Retiring, Unloaded, Absent>,
                             Row<BackOff, BackOffOver, Absent>, Row<BackOff, SeenResident, Resident>>;

    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};

} // namespace

struct AdapterResidency::Machine : msm::back::state_machine<ResidencyTable>
{
};

AdapterResidency::AdapterResidency()
    : AdapterResidency(Options())
{
}

AdapterResidency::AdapterResidency(Options options)
    : m_options(options)
    , m_machine(std::make_unique<Machine>())
{
    m_machine->start();
}

AdapterResidency::~AdapterResidency() = default;
AdapterResidency::AdapterResidency(AdapterResidency &&other) noexcept = default;
AdapterResidency &AdapterResidency::operator=(AdapterResidency &&other) noexcept = default;

bool AdapterResidency::apply(ResidencyEvent event, TimePoint now)
{
    const auto before = stage();
    switch (event) {
    case ResidencyEvent::LoadOrdered:
        m_machine->process_event(LoadOrdered());
        break;
    case ResidencyEvent::Loaded:
        m_machine->process_event(Loaded());
        break;
    case ResidencyEvent::LoadFailed:
        m_machine->process_event(LoadFailed());
        break;
    case ResidencyEvent::RetireStarted:
        m_machine->process_event(RetireStarted());
        break;
    case ResidencyEvent::RetireRefused:
        m_machine->process_event(RetireRefused());
        break;
    case ResidencyEvent::Unloaded:
        m_machine->process_event(Unloaded());
        break;
    case ResidencyEvent::SeenResident:
        m_machine->process_event(SeenResident());
        break;
    case ResidencyEvent::SeenAbsent:
        m_machine->process_event(SeenAbsent());
        break;
    case ResidencyEvent::BackOffOver:
        m_machine->process_event(BackOffOver());
        break;
    }
    const auto after = stage();
    if (after == before) {
        return false;
    }
    m_since = now;
    if (after == ResidencyStage::BackOff) {
        // The shift is bounded so that it cannot overflow; the cap is reached long before.
        const auto wait = m_options.firstBackOff * (1 << std::min(m_failures, 16));
        m_retryAt = now + std::min<milliseconds>(wait, m_options.maxBackOff);
        ++m_failures;
    }
    if (after == ResidencyStage::Resident) {
        m_failures = 0;
    }
    return true;
}

ResidencyStage AdapterResidency::stage() const
{
    // MSM numbers the states in the order in which the table names them first as a source.
    static constexpr ResidencyStage Stages[]
        = {ResidencyStage::Absent, ResidencyStage::Loading, ResidencyStage::Resident, ResidencyStage::Retiring,
           ResidencyStage::BackOff};
    return Stages[m_machine->current_state()[0]];
}

TimePoint AdapterResidency::since() const
{
    return m_since;
}

TimePoint AdapterResidency::retryAt() const
{
    return m_retryAt;
}

} // namespace tamarackcove
