#include "tamarackcove/Consensus/ReplicaRole.h"

// The transition table has more rows than Boost.MPL allows by default.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define BOOST_MPL_LIMIT_MAP_SIZE 30
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace tamarackcove {

namespace msm = boost::msm;
using msm::front::none;

namespace {

template<ReplicaRole Role>
struct RoleState : msm::front::state<>
{
};
using Follower = RoleState<ReplicaRole::Follower>;
using PreCandidate = RoleState<ReplicaRole::PreCandidate>;
using Candidate = RoleState<ReplicaRole::Candidate>;
using Leader = RoleState<ReplicaRole::Leader>;
using Learner = RoleState<ReplicaRole::Learner>;

template<RoleEvent Event>
struct On
{
};
using ElectionTimeout = On<RoleEvent::ElectionTimeout>;
using PreVoteWon = On<RoleEvent::PreVoteWon>;
using TransferReceived = On<RoleEvent::TransferReceived>;
using VoteWon = On<RoleEvent::VoteWon>;
using StepDown = On<RoleEvent::StepDown>;
using BecameVoter = On<RoleEvent::BecameVoter>;
using NoLongerVoter = On<RoleEvent::NoLongerVoter>;

struct RoleTable : msm::front::state_machine_def<RoleTable>
{
    using initial_state = Learner;

    template<typename From, typename Event, typename To>
    using Row = msm::front::Row<From, Event, To, none, none>;

    // clang-format off
    // NOLINTNEXTLINE(readability-identifier-naming): Boost.MSM prescribes the name.
    struct transition_table : boost::mpl::vector<
        //  from          event             to
        Row<Learner,      BecameVoter,      Follower>,
        Row<Follower,     ElectionTimeout,  PreCandidate>,
        Row<Follower,     TransferReceived, Candidate>,
        Row<Follower,     NoLongerVoter,    Learner>,
        Row<PreCandidate, ElectionTimeout,  PreCandidate>,
        Row<PreCandidate, PreVoteWon,       Candidate>,
        Row<PreCandidate, TransferReceived, Candidate>,
        Row<PreCandidate, StepDown,         Follower>,
        Row<PreCandidate, NoLongerVoter,    Learner>,
        Row<Candidate,    ElectionTimeout,  PreCandidate>,
        Row<Candidate,    VoteWon,          Leader>,
        Row<Candidate,    StepDown,         Follower>,
        Row<Candidate,    NoLongerVoter,    Learner>,
        Row<Leader,       StepDown,         Follower>,
        Row<Leader,       NoLongerVoter,    Learner>
    > {};
    // clang-format on

    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};

} // namespace

struct RoleMachine::Impl
{
    msm::back::state_machine<RoleTable> machine;
};

std::string_view toString(ReplicaRole role)
{
    switch (role) {
    case ReplicaRole::Follower:
        return "follower";
    case ReplicaRole::PreCandidate:
        return "pre_candidate";
    case ReplicaRole::Candidate:
        return "candidate";
    case ReplicaRole::Leader:
        return "leader";
    case ReplicaRole::Learner:
        return "learner";
    }
    return "unknown";
}

RoleMachine::RoleMachine(bool voter)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->machine.start();
    if (voter) {
        handle(RoleEvent::BecameVoter);
    }
}

RoleMachine::~RoleMachine() = default;
RoleMachine::RoleMachine(RoleMachine &&) noexcept = default;
RoleMachine &RoleMachine::operator=(RoleMachine &&) noexcept = default;

void RoleMachine::handle(RoleEvent event)
{
    auto &machine = m_impl->machine;
    switch (event) {
    case RoleEvent::ElectionTimeout:
        machine.process_event(ElectionTimeout());
        return;
    case RoleEvent::PreVoteWon:
        machine.process_event(PreVoteWon());
        return;
    case RoleEvent::TransferReceived:
        machine.process_event(TransferReceived());
        return;
    case RoleEvent::VoteWon:
        machine.process_event(VoteWon());
        return;
    case RoleEvent::StepDown:
        machine.process_event(StepDown());
        return;
    case RoleEvent::BecameVoter:
        machine.process_event(BecameVoter());
        return;
    case RoleEvent::NoLongerVoter:
        machine.process_event(NoLongerVoter());
        return;
    }
}

ReplicaRole RoleMachine::role() const
{
    // Boost.MSM numbers the states in the order in which they first appear as a source, then as a target.
    static constexpr ReplicaRole Roles[] = {ReplicaRole::Learner, ReplicaRole::Follower, ReplicaRole::PreCandidate,
                                            ReplicaRole::Candidate, ReplicaRole::Leader};
    return Roles[m_impl->machine.current_state()[0]];
}

} // namespace tamarackcove
