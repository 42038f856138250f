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
struct Missed
{
};
struct Lost
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

    // A leaving target stays leaving until it restarts: an announcement that another entry forwarded late would
    // otherwise send new work to a target that is about to stop.
    using transition_table = boost::mpl::vector<
        Row<Serving, AnnouncedLeaving, Leaving>, Row<Serving, Missed, Suspect>, Row<Serving, Lost, Gone>,
        Row<Suspect, Announced, Serving>, Row<Suspect, AnnouncedLeaving, Leaving>, Row<Suspect, Restarted, Serving>,
        Row<Suspect, Lost, Gone>, Row<Leaving, Restarted, Serving>, Row<Leaving, Lost, Gone>,
        Row<Gone, Announced, Serving>, Row<Gone, Restarted, Serving>, Row<Gone, AnnouncedLeaving, Leaving>>;

    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};

} // namespace

struct TargetLifeCycle::Machine : msm::back::state_machine<LifeCycleTable>
{
};

TargetLifeCycle::TargetLifeCycle()
    : m_machine(std::make_unique<Machine>())
{
    m_machine->start();
}

TargetLifeCycle::~TargetLifeCycle() = default;
TargetLifeCycle::TargetLifeCycle(TargetLifeCycle &&other) noexcept = default;
TargetLifeCycle &TargetLifeCycle::operator=(TargetLifeCycle &&other) noexcept = default;

bool TargetLifeCycle::apply(TargetEvent event)
{
    const auto before = stage();
    switch (event) {
    case TargetEvent::Announced:
        m_machine->process_event(Announced());
        break;
    case TargetEvent::AnnouncedLeaving:
        m_machine->process_event(AnnouncedLeaving());
        break;
    case TargetEvent::Restarted:
        m_machine->process_event(Restarted());
        break;
    case TargetEvent::Missed:
        m_machine->process_event(Missed());
        break;
    case TargetEvent::Lost:
        m_machine->process_event(Lost());
        break;
    }
    return stage() != before;
}

TargetStage TargetLifeCycle::stage() const
{
    // MSM numbers the states in the order in which the table names them first as a source.
    static constexpr TargetStage Stages[]
        = {TargetStage::Serving, TargetStage::Suspect, TargetStage::Leaving, TargetStage::Gone};
    return Stages[m_machine->current_state()[0]];
}

} // namespace tamarackcove
