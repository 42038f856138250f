#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Consensus/Leadership.h"
#include "tamarackcove/Consensus/ReplicaLog.h"
#include "tamarackcove/Consensus/ReplicaOptions.h"
#include "tamarackcove/Consensus/ReplicaOutput.h"
#include "tamarackcove/Consensus/ReplicaProgress.h"
#include "tamarackcove/Consensus/ReplicaRole.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace tamarackcove {

enum class ReplicaError {
    NotLeader,
    /// This replica is the leader, but its lease has expired or a leadership transfer is in progress.
    NoMajority,
    CommandTooLong,
    /// The log already has ReplicaOptions::maxUncommitted uncommitted entries.
    TooManyUncommitted,
};

/// Position of a proposed command in the log. The command is committed once the entry with this index and term is; it
/// is lost if an entry with another term is committed at the index.
struct LogPosition
{
    LogIndex index = 0;
    Term term = 0;
};

/// State machine of one replica of the replicated log, based on Raft: elections with pre-vote and a leader lease,
/// replication, membership changes and snapshots. It does no I/O and reads no clock: the owner, ReplicaDriver in a
/// control process, passes the current time to each method and afterwards executes the work that takeOutput() returns.
///
/// `now` must not decrease between calls. A leader whose process was suspended does not act on an expired lease,
/// because every decision of a leader checks the lease against the `now` of that call.
/// Thread safety: used on one thread.
class Replica
{
public:
    Replica(ReplicaOptions options, RecoveredState recovered, TimePoint now);

    /// Creates the log of a new group, with the group as its first entry. Precondition: the data folders of this
    /// replica and of all other members are empty.
    void bootstrap(ReplicaGroup group, TimePoint now);

    /// Handles a message of another replica. Returns the reason when the message contradicts what this replica knows to
    /// be certain, such as a committed entry; such a message changes nothing.
    std::optional<std::string_view> receive(const ReplicaMessage &message, TimePoint now);
    /// Runs elections, heartbeats and membership changes that are due. The owner calls it when deadline() has passed;
    /// earlier calls are harmless.
    void tick(TimePoint now);
    /// When tick() or takeOutput() has work next, without further input; TimePoint::max() if never.
    [[nodiscard]] TimePoint deadline() const;

    /// Appends a command to the log. Fails unless this replica is the leader with a valid lease and no leadership
    /// transfer is in progress. Success does not mean that the command is committed; see LogPosition.
    Result<LogPosition, ReplicaError> propose(std::string command, std::chrono::system_clock::time_point wallTime,
                                              TimePoint now);
    /// Requests a read barrier for a linearizable read. The returned number identifies the barrier and appears later in
    /// ReplicaOutput::readyReads or ReplicaOutput::failedReads.
    Result<std::uint64_t, ReplicaError> requestRead(TimePoint now);
    /// To be called when the PersistRequest with this sequence, and all before it, are synced to the disk.
    void markPersisted(std::uint64_t sequence, TimePoint now);
    /// To be called when the owner has saved this snapshot of the applied state. Drops the entries from memory that are
    /// more than ReplicaOptions::trailingEntries before the snapshot.
    void recordSavedSnapshot(SnapshotImage image);

    /// Records the current identity of the control host with this name; only a leader uses the record. An identity that
    /// is not in the group is added as a learner and, once caught up, replaces the unreachable voter of the same name.
    void recordPeerIdentity(const std::string &name, const ReplicaId &id);
    /// Starts a leadership transfer to the reachable voter with the longest matching log. Returns false if this replica
    /// is not the leader or no other voter is reachable.
    bool transferLeadership(TimePoint now);

    /// Returns, and clears, the work that the calls since the last takeOutput() have produced.
    [[nodiscard]] ReplicaOutput takeOutput(TimePoint now);

    [[nodiscard]] const ReplicaId &self() const;
    [[nodiscard]] ReplicaRole role() const;
    [[nodiscard]] Term term() const;
    /// The leader of the current term; empty if this replica does not know it.
    [[nodiscard]] const ReplicaId &leader() const;
    /// Held means that this replica may act as the leader: its lease is valid, and all entries up to the first one of
    /// its term have been delivered to the state machine, whose state then includes every command that earlier leaders
    /// committed.
    [[nodiscard]] Leadership leadership(TimePoint now) const;
    /// Whether leadership() is Held.
    [[nodiscard]] bool leads(TimePoint now) const;
    [[nodiscard]] LogIndex commitIndex() const;
    [[nodiscard]] const ReplicaLog &log() const;
    [[nodiscard]] const ReplicaGroup &group() const;
    /// How many more voters may fail before the group loses its majority: the number of voters that are reachable and
    /// caught up, minus the number that makes a majority. Negative if the group has no majority, or if this leader has
    /// no valid lease. A replica that is not the leader returns the last value that its leader sent, or -1 if the
    /// leader has been silent for ReplicaOptions::maxElectionTimeout.
    [[nodiscard]] int lossesTolerated(TimePoint now) const;
    /// Whether the other replica answers. On the leader: the other replica has answered a message that was sent within
    /// the last ReplicaOptions::maxElectionTimeout. On a replica that is not the leader: the other replica is the
    /// leader, and a message of the leader arrived within that time; false for any other replica.
    [[nodiscard]] bool reachable(const ReplicaId &id, TimePoint now) const;
    /// Index up to which the log of this member is synced and equal to the log of the leader; 0 if unknown. Only the
    /// leader knows the index of other members.
    [[nodiscard]] LogIndex matchedIndex(const ReplicaId &id) const;

private:
    /// A message that is sent once the persist request with this sequence is on the disk.
    struct DeferredMessage
    {
        std::uint64_t sequence = 0;
        ReplicaMessage message;
    };
    struct InFlightPersist
    {
        std::uint64_t sequence = 0;
        LogIndex lastIndex = 0;
        bool installsSnapshot = false;
    };
    /// A read barrier. Reached once the entries up to `index` have been delivered to the state machine, and either the
    /// lease is valid or a majority has answered messages that were sent at `requestedAt` or later.
    struct PendingRead
    {
        std::uint64_t number = 0;
        TimePoint requestedAt;
        LogIndex index = 0;
    };
    /// A leadership transfer; `sent` is set once the target was sent TimeoutNow.
    struct Transfer
    {
        ReplicaId target;
        TimePoint deadline;
        bool sent = false;
    };

    // Replica.cpp: shared by the other source files
    using MessageBody = decltype(ReplicaMessage::body);
    [[nodiscard]] ReplicaMessage compose(const ReplicaId &to, MessageBody body) const;
    void send(const ReplicaId &to, MessageBody body);
    /// Sends the message once the state that this replica has at this call is on the disk.
    void sendOncePersisted(const ReplicaId &to, MessageBody body);
    /// Whether there is hard state, a snapshot or an entry that no persist request carries yet.
    [[nodiscard]] bool hasUnpersistedState() const;
    /// Whether a snapshot that was received from the leader is not on the disk yet.
    [[nodiscard]] bool installingSnapshot() const;
    /// Why the message is refused; nothing when it may be handled.
    [[nodiscard]] std::optional<std::string_view> refusalReason(const ReplicaMessage &message) const;
    [[nodiscard]] std::optional<std::string_view> refusalReason(const AppendRequest &request) const;
    void setHardState(Term term, ReplicaId votedFor, TimePoint now);
    /// Whether the current term and vote are on disk.
    [[nodiscard]] bool hardStatePersisted() const;
    /// Gives an election time for the disks of the other voters, after this replica has written its own vote.
    void allowForVoteWrites(TimePoint now);
    void appendLocal(LogEntry entry);
    void collectPersist(ReplicaOutput &output);
    void collectCommitted(ReplicaOutput &output);

    // ReplicaElection.cpp
    void resetElectionDeadline(TimePoint now);
    void campaign(bool preVote, bool transfer, TimePoint now);
    void countVote(const ReplicaId &voter, TimePoint now);
    void becomeLeader(TimePoint now);
    void stepDown(TimePoint now);
    void adoptTerm(Term term, TimePoint now);
    void updateVoterRole();
    /// Whether a leader may hold a valid lease that relies on this replica not voting for another candidate.
    [[nodiscard]] bool leaderMayHoldLease(TimePoint now) const;
    void onVoteRequest(const ReplicaMessage &message, const VoteRequest &request, TimePoint now);
    void onVoteReply(const ReplicaMessage &message, const VoteReply &reply, TimePoint now);
    void onTimeoutNow(const ReplicaMessage &message, TimePoint now);

    // ReplicaReplication.cpp
    void followLeader(const ReplicaMessage &message, TimePoint now);
    void onAppendRequest(const ReplicaMessage &message, const AppendRequest &request, TimePoint now);
    void onAppendReply(const ReplicaMessage &message, const AppendReply &reply, TimePoint now);
    void storeEntries(const AppendRequest &request);
    void sendAppends(TimePoint now);
    void sendEntries(const ReplicaId &to, ReplicaProgress &progress, TimePoint now);
    void sendHeartbeat(const ReplicaId &to, ReplicaProgress &progress, TimePoint now);
    [[nodiscard]] AppendRequest composeAppend(LogIndex previous, TimePoint now) const;
    void advanceCommit();
    void finishReads(ReplicaOutput &output, TimePoint now);
    /// The latest time such that a majority of the voters has answered messages that were sent at that time or later.
    [[nodiscard]] TimePoint majorityAnsweredSentAt(TimePoint now) const;
    [[nodiscard]] bool leaseValid(TimePoint now) const;

    // ReplicaSnapshot.cpp
    void sendChunk(const ReplicaId &to, ReplicaProgress &progress, TimePoint now);
    void onSnapshotChunk(const ReplicaMessage &message, const SnapshotChunk &chunk, TimePoint now);
    void onSnapshotReply(const ReplicaMessage &message, const SnapshotReply &reply);
    void installSnapshot(const SnapshotChunk &chunk);

    // ReplicaMembership.cpp
    void changeGroup(ReplicaGroup group);
    void updateTrackedPeers();
    void reconcileGroup(TimePoint now);
    [[nodiscard]] bool addNewLearner();
    void replaceOrPromote(TimePoint now);
    [[nodiscard]] bool mayPromote(const ReplicaGroup &group, TimePoint now) const;
    [[nodiscard]] bool demoteSurplusVoter(TimePoint now);
    /// Whether the voter has been silent for ReplicaOptions::replaceVoterAfter.
    [[nodiscard]] bool isDueForReplacement(const ReplicaId &id, TimePoint now) const;
    [[nodiscard]] std::size_t inSyncVoterCount(const ReplicaGroup &group, TimePoint now) const;
    /// Whether the replica is reachable and caught up.
    [[nodiscard]] bool isInSync(const ReplicaId &id, TimePoint now) const;
    void continueTransfer(TimePoint now);

    ReplicaOptions m_options;
    ReplicaId m_self;
    RoleMachine m_role;
    ReplicaLog m_log;
    HardState m_hardState;
    std::optional<SnapshotImage> m_snapshot;
    ReplicaId m_leader;
    LogIndex m_commitIndex = 0;
    /// Index of the last entry delivered to the state machine: returned to the owner in ReplicaOutput::committed, or
    /// covered by a snapshot that the owner loads.
    LogIndex m_deliveredIndex = 0;

    // Persistence: what the next persist request carries, and which requests are in flight or on the disk.
    /// Sequence of the last persist request that takeOutput() returned.
    std::uint64_t m_issuedSequence = 0;
    bool m_hardStateDirty = false;
    TimePoint m_hardStateChangedAt;
    /// Time that this replica needed to write a vote; decreases by a quarter with each faster write.
    Duration m_slowestVoteWrite{0};
    /// Index of the first entry that the next persist request carries; 0 if that request carries no entries.
    LogIndex m_firstUnpersistedIndex = 0;
    std::optional<SnapshotImage> m_unpersistedSnapshot;
    /// Index of the last entry that is on the disk.
    LogIndex m_persistedIndex = 0;
    /// Sequence of the last persist request that is on the disk.
    std::uint64_t m_persistedSequence = 0;
    /// Sequence of the last persist request that carried the hard state.
    std::uint64_t m_hardStateSequence = 0;
    std::deque<InFlightPersist> m_inFlightPersists;
    std::deque<DeferredMessage> m_deferredMessages;
    std::vector<ReplicaMessage> m_outgoingMessages;

    // Elections.
    TimePoint m_electionDeadline;
    /// When the last message of a leader arrived. Until one arrives: the start of this replica if its data folder has a
    /// term, otherwise TimePoint{}.
    TimePoint m_lastLeaderContact;
    std::set<ReplicaId> m_votes;
    /// Sequence of the persist request that carries the vote of this candidate for itself. The vote counts once that
    /// request is on the disk.
    std::uint64_t m_ownVoteSequence = 0;
    /// AppendRequest::lossesTolerated of the last message from a leader; -1 before the first one.
    int m_leaderLossesTolerated = -1;

    // Leadership.
    std::map<ReplicaId, ReplicaProgress> m_progress;
    /// Index of the no-op entry that this replica appended when it became leader.
    LogIndex m_termStartIndex = 0;
    TimePoint m_electedAt;
    std::optional<Transfer> m_transfer;
    /// Current identity of each control host by its name.
    std::map<std::string, ReplicaId> m_peerIdentities;
    TimePoint m_nextCatchUpCheck;
    /// Commit index at the last catch-up check; a replica whose log reaches this index counts as caught up.
    LogIndex m_catchUpIndex = 0;
    std::deque<PendingRead> m_pendingReads;
    std::vector<std::uint64_t> m_failedReads;
    std::uint64_t m_lastReadNumber = 0;

    /// The part of the snapshot of the leader that has been received, without gaps.
    std::string m_incomingSnapshot;
    LogIndex m_incomingSnapshotIndex = 0;
    Term m_incomingSnapshotTerm = 0;
};

} // namespace tamarackcove
