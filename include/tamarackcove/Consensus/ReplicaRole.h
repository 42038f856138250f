#pragma once

#include <memory>
#include <string_view>

namespace tamarackcove {

enum class ReplicaRole {
    Follower,
    /// Asks whether an election could be won, without disturbing a leader.
    PreCandidate,
    Candidate,
    Leader,
    /// Receives the log, never votes on its own initiative and never leads.
    Learner,
};

[[nodiscard]] std::string_view toString(ReplicaRole role);

enum class RoleEvent {
    ElectionTimeout,
    PreVoteWon,
    /// The leader hands over to this replica.
    TransferReceived,
    VoteWon,
    /// Another replica leads, or a higher term exists, or the majority is out of reach.
    StepDown,
    BecameVoter,
    NoLongerVoter,
};

/// The role of a replica as a table of transitions. An event without an entry for the role changes nothing.
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
