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
struct RetireAborted
{
};
struct Unloaded
{
};
struct ReportedResident
{
};
struct ReportedAbsent
{
};
struct BackOffExpired
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

    // Reported states are ignored while an order is in progress, because the report may be older than the order.
    using transition_table
        = boost::mpl::vector<Row<Absent, LoadOrdered, Loading>, Row<Absent, ReportedResident, Resident>,
                             Row<Loading, Loaded, Resident>, Row<Loading, LoadFailed, BackOff>,
                             Row<Resident, RetireStarted, Retiring>, Row<Resident, ReportedAbsent, Absent>,
                             Row<Retiring, RetireAborted, Resident>, Row<Retiring, Unloaded, Absent>,
                             Row<BackOff, BackOffExpired, Absent>, Row<BackOff, ReportedResident, Resident>>;

    template<typename StateMachine, typename Event>
    void no_transition(const Event &, StateMachine &, int)
    {
    }
};

} // namespace

struct AdapterResidency::StateMachine : msm::back::state_machine<ResidencyTable>
{
};

AdapterResidency::AdapterResidency()
    : AdapterResidency(Options())
{
}

AdapterResidency::AdapterResidency(Options options)
    : m_options(options)
    , m_stateMachine(std::make_unique<StateMachine>())
{
    m_stateMachine->start();
}

AdapterResidency::~AdapterResidency() = default;
AdapterResidency::AdapterResidency(AdapterResidency &&other) noexcept = default;
AdapterResidency &AdapterResidency::operator=(AdapterResidency &&other) noexcept = default;

bool AdapterResidency::apply(ResidencyEvent event, TimePoint now)
{
    const auto before = stage();
    switch (event) {
    case ResidencyEvent::LoadOrdered:
        m_stateMachine->process_event(LoadOrdered());
        break;
    case ResidencyEvent::Loaded:
        m_stateMachine->process_event(Loaded());
        break;
    case ResidencyEvent::LoadFailed:
        m_stateMachine->process_event(LoadFailed());
        break;
    case ResidencyEvent::RetireStarted:
        m_stateMachine->process_event(RetireStarted());
        break;
    case ResidencyEvent::RetireAborted:
        m_stateMachine->process_event(RetireAborted());
        break;
    case ResidencyEvent::Unloaded:
        m_stateMachine->process_event(Unloaded());
        break;
    case ResidencyEvent::ReportedResident:
        m_stateMachine->process_event(ReportedResident());
        break;
    case ResidencyEvent::ReportedAbsent:
        m_stateMachine->process_event(ReportedAbsent());
        break;
    case ResidencyEvent::BackOffExpired:
        m_stateMachine->process_event(BackOffExpired());
        break;
    }
    const auto after = stage();
    if (after == before) {
        return false;
    }
    m_stageEnteredAt = now;
    if (after == ResidencyStage::BackOff) {
        // Limits the shift to prevent overflow. With the default options maxBackOff is reached after fewer failures.
        const auto wait = m_options.firstBackOff * (1 << std::min(m_consecutiveFailures, 16));
        m_retryAt = now + std::min<milliseconds>(wait, m_options.maxBackOff);
        ++m_consecutiveFailures;
    }
    if (after == ResidencyStage::Resident) {
        m_consecutiveFailures = 0;
    }
    return true;
}

ResidencyStage AdapterResidency::stage() const
{
    // MSM numbers the states in the order of their first appearance as a source in the transition table.
    static constexpr ResidencyStage Stages[]
        = {ResidencyStage::Absent, ResidencyStage::Loading, ResidencyStage::Resident, ResidencyStage::Retiring,
           ResidencyStage::BackOff};
    return Stages[m_stateMachine->current_state()[0]];
}

TimePoint AdapterResidency::stageEnteredAt() const
{
    return m_stageEnteredAt;
}

TimePoint AdapterResidency::retryAt() const
{
    return m_retryAt;
}

} // namespace tamarackcove
