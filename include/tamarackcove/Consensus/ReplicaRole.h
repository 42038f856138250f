#pragma once

#include <memory>
#include <string_view>

namespace tamarackcove {

enum class ReplicaRole {
    Follower,
    /// Asks the voters whether they would vote for this replica. The replica does not increase its term yet, so
    /// that a failed pre-vote does not depose a working leader.
    PreCandidate,
    Candidate,
    Leader,
    /// Receives the log and may grant votes, but never starts an election and never leads.
    Learner,
};

[[nodiscard]] std::string_view toString(ReplicaRole role);

enum class RoleEvent {
    ElectionTimeout,
    PreVoteWon,
    /// The leader transfers leadership to this replica.
    TransferReceived,
    VoteWon,
    /// Another replica is the leader, this replica has learned of a higher term, or this leader cannot reach a
    /// majority.
    StepDown,
    BecameVoter,
    NoLongerVoter,
};

/// State machine for the role of a replica. An event for which the current role has no transition is ignored.
///
/// Thread safety: used on one thread.
class RoleMachine
{
public:
    explicit RoleMachine(bool voter);
    ~RoleMachine();
    RoleMachine(RoleMachine &&) noexcept;
    RoleMachine &operator=(RoleMachine &&) noexcept;

    void handle(RoleEvent event);
    [[nodiscard]] ReplicaRole role() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
