// The table has more rows and states than the precompiled lists of MPL hold.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 50
#define BOOST_MPL_LIMIT_MAP_SIZE 50

#include "tamarackcove/Requests/RequestLife.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <cassert>

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

namespace tamarackcove {

namespace {

struct Admit
{
};
struct WaitForLoad
{
};
struct LoadEnded
{
};
struct Reserve
{
};
struct Dispatch
{
};
struct Stream
{
};
struct Break
{
};
struct Resume
{
};
struct NotRun
{
};
struct Lose
{
};
struct Finish
{
};
struct Refuse
{
};

struct LifeTable : msm::front::state_machine_def<LifeTable>
{
    using Phase = RequestLife::Phase;

    template<Phase Entered>
    struct In : msm::front::state<>
    {
        template<typename Event, typename Machine>
        void on_entry(const Event &, Machine &machine)
        {
            machine.phase = Entered;
        }
    };
    using Received = In<Phase::Received>;
    using Admitted = In<Phase::Admitted>;
    using WaitingForLoad = In<Phase::WaitingForLoad>;
    using Reserved = In<Phase::Reserved>;
    using Dispatched = In<Phase::Dispatched>;
    using Streaming = In<Phase::Streaming>;
    using Resuming = In<Phase::Resuming>;
    using Finished = In<Phase::Finished>;
    using RefusedNotRun = In<Phase::RefusedNotRun>;
    using OutcomeUnknown = In<Phase::OutcomeUnknown>;

    struct NoteReserved
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            machine.hasReservation = true;
        }
    };
    struct NoteMayHaveRun
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            machine.mayHaveRun = true;
        }
    };
    struct NoteDelivered
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            machine.delivered = true;
        }
    };
    /// A second run need not produce the same text, so nothing may follow a piece that the caller has.
    struct MayRepeat
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            return machine.repeatable && !machine.delivered;
        }
    };
    struct MayHaveRun
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            return machine.mayHaveRun;
        }
    };
    struct Delivered
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            return machine.delivered;
        }
    };
    struct HasReservation
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            return machine.hasReservation;
        }
    };

    using initial_state = Received;

    // Of several rows with the same state and event, the last one whose guard holds is taken.
    // clang-format off
        // NOLINTNEXTLINE(readability-identifier-naming): Boost.MSM prescribes the name.
        struct transition_table : mpl::vector<
            Row<Received,       Admit,       Admitted>,
            Row<Received,       Refuse,      RefusedNotRun>,
            Row<Admitted,       WaitForLoad, WaitingForLoad>,
            Row<Admitted,       Reserve,     Reserved,       NoteReserved>,
            Row<Admitted,       Dispatch,    Dispatched>,
            Row<Admitted,       Refuse,      RefusedNotRun>,
            Row<Admitted,       Refuse,      OutcomeUnknown, none,           MayHaveRun>,
            Row<WaitingForLoad, LoadEnded,   Admitted>,
            Row<WaitingForLoad, LoadEnded,   Reserved,       none,           HasReservation>,
            Row<WaitingForLoad, Refuse,      RefusedNotRun>,
            Row<WaitingForLoad, Refuse,      OutcomeUnknown, none,           MayHaveRun>,
            Row<Reserved,       WaitForLoad, WaitingForLoad>,
            Row<Reserved,       Dispatch,    Dispatched>,
            Row<Reserved,       Refuse,      RefusedNotRun>,
            Row<Reserved,       Refuse,      OutcomeUnknown, none,           MayHaveRun>,
            Row<Dispatched,     NotRun,      Admitted>,
            Row<Dispatched,     NotRun,      Reserved,       none,           HasReservation>,
            Row<Dispatched,     Lose,        OutcomeUnknown>,
            Row<Dispatched,     Lose,        Admitted,       NoteMayHaveRun, MayRepeat>,
            Row<Dispatched,     Break,       Resuming>,
            Row<Dispatched,     Stream,      Streaming,      NoteDelivered>,
            Row<Dispatched,     Finish,      Finished>,
            Row<Streaming,      Break,       Resuming>,
            Row<Streaming,      Lose,        OutcomeUnknown>,
            Row<Streaming,      Finish,      Finished>,
            Row<Resuming,       Resume,      Dispatched>,
            Row<Resuming,       Resume,      Streaming,      none,           Delivered>,
            Row<Resuming,       Lose,        OutcomeUnknown>,
            Row<Resuming,       Lose,        Admitted,       NoteMayHaveRun, MayRepeat>
        > {};
    // clang-format on

    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
        assert(false && "the phase does not allow this event");
    }

    Phase phase = Phase::Received;
    bool repeatable = true;
    bool delivered = false;
    bool mayHaveRun = false;
    bool hasReservation = false;
};

using LifeMachine = msm::back::state_machine<LifeTable>;

} // namespace

struct RequestLife::Impl
{
    LifeMachine machine;
};

RequestLife::RequestLife(bool repeatable)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->machine.repeatable = repeatable;
    m_impl->machine.start();
}

RequestLife::~RequestLife() = default;

void RequestLife::admit()
{
    m_impl->machine.process_event(Admit());
}

void RequestLife::waitForLoad()
{
    m_impl->machine.process_event(WaitForLoad());
}

void RequestLife::loadEnded()
{
    m_impl->machine.process_event(LoadEnded());
}

void RequestLife::reserve()
{
    m_impl->machine.process_event(Reserve());
}

void RequestLife::dispatch()
{
    m_impl->machine.process_event(Dispatch());
}

void RequestLife::stream()
{
    m_impl->machine.process_event(Stream());
}

void RequestLife::breakStream()
{
    m_impl->machine.process_event(Break());
}

void RequestLife::resume()
{
    m_impl->machine.process_event(Resume());
}

void RequestLife::notRun()
{
    m_impl->machine.process_event(NotRun());
}

void RequestLife::lose()
{
    m_impl->machine.process_event(Lose());
}

void RequestLife::finish()
{
    m_impl->machine.process_event(Finish());
}

void RequestLife::refuse()
{
    m_impl->machine.process_event(Refuse());
}

RequestLife::Phase RequestLife::phase() const
{
    return m_impl->machine.phase;
}

bool RequestLife::reserved() const
{
    return m_impl->machine.hasReservation;
}

bool RequestLife::mayDispatch() const
{
    return phase() == Phase::Admitted || phase() == Phase::Reserved;
}

} // namespace tamarackcove
