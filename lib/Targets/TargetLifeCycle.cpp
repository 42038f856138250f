#include "tamarackcove/Targets/TargetLifeCycle.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace msm = boost::msm;

namespace tamarackcove {

namespace {

struct Announced
{
};
struct AnnouncedLeaving
{
};
struct Restarted
{
};
struct SuspectTimeout
{
};
struct GoneTimeout
{
};

struct LifeCycleTable : msm::front::state_machine_def<LifeCycleTable>
{
    struct Serving : msm::front::state<>
    {
    };
    struct Suspect : msm::front::state<>
    {
    };
    struct Leaving : msm::front::state<>
    {
    };
    struct Gone : msm::front::state<>
    {
    };
    using initial_state = Serving;

    template<typename Source, typename Event, typename Target>
    using Row = msm::front::Row<Source, Event, Target>;

    // A leaving target stays leaving until it restarts. Otherwise an older announcement that another entry forwards
    // late would bring new work to a target that is about to stop.
    using transition_table = boost::mpl::vector<
        Row<Serving, AnnouncedLeaving, Leaving>, Row<Serving, SuspectTimeout, Suspect>, Row<Serving, GoneTimeout, Gone>,
        Row<Suspect, Announced, Serving>, Row<Suspect, AnnouncedLeaving, Leaving>, Row<Suspect, Restarted, Serving>,
        Row<Suspect, GoneTimeout, Gone>, Row<Leaving, Restarted, Serving>, Row<Leaving, GoneTimeout, Gone>,
        Row<Gone, Announced, Serving>, Row<Gone, Restarted, Serving>, Row<Gone, AnnouncedLeaving, Leaving>>;

    template<typename StateMachine, typename Event>
    void no_transition(const Event &, StateMachine &, int)
    {
    }
};

} // namespace

struct TargetLifeCycle::StateMachine : msm::back::state_machine<LifeCycleTable>
{
};

TargetLifeCycle::TargetLifeCycle()
    : m_stateMachine(std::make_unique<StateMachine>())
{
    m_stateMachine->start();
}

TargetLifeCycle::~TargetLifeCycle() = default;
TargetLifeCycle::TargetLifeCycle(TargetLifeCycle &&other) noexcept = default;
TargetLifeCycle &TargetLifeCycle::operator=(TargetLifeCycle &&other) noexcept = default;

bool TargetLifeCycle::apply(TargetEvent event)
{
    const auto before = stage();
    switch (event) {
    case TargetEvent::Announced:
        m_stateMachine->process_event(Announced());
        break;
    case TargetEvent::AnnouncedLeaving:
        m_stateMachine->process_event(AnnouncedLeaving());
        break;
    case TargetEvent::Restarted:
        m_stateMachine->process_event(Restarted());
        break;
    case TargetEvent::SuspectTimeout:
        m_stateMachine->process_event(SuspectTimeout());
        break;
    case TargetEvent::GoneTimeout:
        m_stateMachine->process_event(GoneTimeout());
        break;
    }
    return stage() != before;
}

TargetStage TargetLifeCycle::stage() const
{
    // MSM numbers the states in the order of their first appearance as a source in the transition table.
    static constexpr TargetStage Stages[]
        = {TargetStage::Serving, TargetStage::Suspect, TargetStage::Leaving, TargetStage::Gone};
    return Stages[m_stateMachine->current_state()[0]];
}

} // namespace tamarackcove
