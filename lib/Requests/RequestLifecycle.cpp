// The transition table has more rows and states than the preprocessed headers of Boost.MPL support.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 50
#define BOOST_MPL_LIMIT_MAP_SIZE 50

#include "tamarackcove/Requests/RequestLifecycle.h"

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
struct EndLoadWait
{
};
struct Reserve
{
};
struct Dispatch
{
};
struct StartStream
{
};
struct BreakStream
{
};
struct Resume
{
};
struct NotRun
{
};
struct LoseResponse
{
};
struct Finish
{
};
struct Refuse
{
};

struct LifecycleDefinition : msm::front::state_machine_def<LifecycleDefinition>
{
    using Phase = RequestLifecycle::Phase;

    template<Phase Entered>
    struct PhaseState : msm::front::state<>
    {
        template<typename Event, typename Machine>
        void on_entry(const Event &, Machine &machine)
        {
            machine.phase = Entered;
        }
    };
    using Received = PhaseState<Phase::Received>;
    using Admitted = PhaseState<Phase::Admitted>;
    using WaitingForLoad = PhaseState<Phase::WaitingForLoad>;
    using Reserved = PhaseState<Phase::Reserved>;
    using Dispatched = PhaseState<Phase::Dispatched>;
    using Streaming = PhaseState<Phase::Streaming>;
    using Resuming = PhaseState<Phase::Resuming>;
    using Finished = PhaseState<Phase::Finished>;
    using RefusedNotRun = PhaseState<Phase::RefusedNotRun>;
    using OutcomeUnknown = PhaseState<Phase::OutcomeUnknown>;

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
    struct NoteResponseStarted
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            machine.responseStarted = true;
        }
    };
    /// A second attempt may produce a different text, so no other attempt may follow once the caller has got a piece of
    /// a response.
    struct MayRepeat
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            return machine.repeatable && !machine.responseStarted;
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
    struct ResponseStarted
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            return machine.responseStarted;
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

    // If several rows have the same source state and event, the last one whose guard is true applies.
    // clang-format off
        // NOLINTNEXTLINE(readability-identifier-naming): Boost.MSM prescribes the name.
        struct transition_table : mpl::vector<
            Row<Received,       Admit,        Admitted>,
            Row<Received,       Refuse,       RefusedNotRun>,
            Row<Admitted,       WaitForLoad,  WaitingForLoad>,
            Row<Admitted,       Reserve,      Reserved,       NoteReserved>,
            Row<Admitted,       Dispatch,     Dispatched>,
            Row<Admitted,       Refuse,       RefusedNotRun>,
            Row<Admitted,       Refuse,       OutcomeUnknown, none,                MayHaveRun>,
            Row<WaitingForLoad, EndLoadWait,  Admitted>,
            Row<WaitingForLoad, EndLoadWait,  Reserved,       none,                HasReservation>,
            Row<WaitingForLoad, Refuse,       RefusedNotRun>,
            Row<WaitingForLoad, Refuse,       OutcomeUnknown, none,                MayHaveRun>,
            Row<Reserved,       WaitForLoad,  WaitingForLoad>,
            Row<Reserved,       Dispatch,     Dispatched>,
            Row<Reserved,       Refuse,       RefusedNotRun>,
            Row<Reserved,       Refuse,       OutcomeUnknown, none,                MayHaveRun>,
            Row<Dispatched,     NotRun,       Admitted>,
            Row<Dispatched,     NotRun,       Reserved,       none,                HasReservation>,
            Row<Dispatched,     LoseResponse, OutcomeUnknown>,
            Row<Dispatched,     LoseResponse, Admitted,       NoteMayHaveRun,      MayRepeat>,
            Row<Dispatched,     BreakStream,  Resuming>,
            Row<Dispatched,     StartStream,  Streaming,      NoteResponseStarted>,
            Row<Dispatched,     Finish,       Finished>,
            Row<Streaming,      BreakStream,  Resuming>,
            Row<Streaming,      LoseResponse, OutcomeUnknown>,
            Row<Streaming,      Finish,       Finished>,
            Row<Resuming,       Resume,       Dispatched>,
            Row<Resuming,       Resume,       Streaming,      none,                ResponseStarted>,
            Row<Resuming,       LoseResponse, OutcomeUnknown>,
            Row<Resuming,       LoseResponse, Admitted,       NoteMayHaveRun,      MayRepeat>
        > {};
    // clang-format on

    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
        assert(false && "the phase does not allow this event");
    }

    Phase phase = Phase::Received;
    bool repeatable = true;
    bool responseStarted = false;
    bool mayHaveRun = false;
    bool hasReservation = false;
};

using LifecycleMachine = msm::back::state_machine<LifecycleDefinition>;

} // namespace

struct RequestLifecycle::Impl
{
    LifecycleMachine machine;
};

RequestLifecycle::RequestLifecycle(bool repeatable)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->machine.repeatable = repeatable;
    m_impl->machine.start();
}

RequestLifecycle::~RequestLifecycle() = default;

void RequestLifecycle::admit()
{
    m_impl->machine.process_event(Admit());
}

void RequestLifecycle::waitForLoad()
{
    m_impl->machine.process_event(WaitForLoad());
}

void RequestLifecycle::endLoadWait()
{
    m_impl->machine.process_event(EndLoadWait());
}

void RequestLifecycle::reserve()
{
    m_impl->machine.process_event(Reserve());
}

void RequestLifecycle::dispatch()
{
    m_impl->machine.process_event(Dispatch());
}

void RequestLifecycle::startStream()
{
    m_impl->machine.process_event(StartStream());
}

void RequestLifecycle::breakStream()
{
    m_impl->machine.process_event(BreakStream());
}

void RequestLifecycle::resume()
{
    m_impl->machine.process_event(Resume());
}

void RequestLifecycle::recordNotRun()
{
    m_impl->machine.process_event(NotRun());
}

void RequestLifecycle::recordLostResponse()
{
    m_impl->machine.process_event(LoseResponse());
}

void RequestLifecycle::finish()
{
    m_impl->machine.process_event(Finish());
}

void RequestLifecycle::refuse()
{
    m_impl->machine.process_event(Refuse());
}

RequestLifecycle::Phase RequestLifecycle::phase() const
{
    return m_impl->machine.phase;
}

bool RequestLifecycle::hasReservedKey() const
{
    return m_impl->machine.hasReservation;
}

bool RequestLifecycle::mayDispatch() const
{
    return phase() == Phase::Admitted || phase() == Phase::Reserved;
}

} // namespace tamarackcove
