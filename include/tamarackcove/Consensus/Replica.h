#pragma once

#include "tamarackcove/Base/Result.h"
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

namespace tamarackcove {

enum class ReplicaError {
    NotLeader,
    /// Leads, but has not heard from a majority within its lease, or is handing over.
    NoMajority,
    CommandTooLong,
    TooManyUncommitted,
};

/// Where a proposed command stands in the log. It is accepted when the committed entry at the index has this term.
struct LogPosition
{
    LogIndex index = 0;
    Term term = 0;
};

/// The decisions of one replica of the replicated log, in the style of the Raft algorithm: elections with pre-vote and
/// a leader lease, replication, membership, snapshots. It neither reads a clock nor touches files or connections: the
/// owner passes in the time, calls a method, and then carries out takeOutput().
///
/// Time must not go back between calls. A replica that was frozen is safe: each decision of a leader checks the lease
/// against the time of that call.
/// Thread safety: used on one thread.
class Replica
{
public:
    Replica(ReplicaOptions options, RecoveredState recovered, TimePoint now);

    /// Forms a group. Precondition: this replica and all members have empty data folders.
    void bootstrap(ReplicaGroup group, TimePoint now);

    void receive(const ReplicaMessage &message, TimePoint now);
    /// To be called when deadline() has passed; calling it more often does no harm.
    void tick(TimePoint now);
    [[nodiscard]] TimePoint deadline() const;

    /// Appends a command. Precondition of success: leads(now).
    Result<LogPosition, ReplicaError> propose(std::string command, std::chrono::system_clock::time_point wallTime,
                                              TimePoint now);
    /// Asks for a read barrier; the returned number appears in readyReads or failedReads of an output.
    Result<std::uint64_t, ReplicaError> requestRead(TimePoint now);
    /// The persist request with this sequence, and all before it, are on the disk.
    void persisted(std::uint64_t sequence, TimePoint now);
    /// The owner has saved this snapshot of the applied state. Entries well before it are dropped from memory.
    void snapshotSaved(SnapshotImage image);

    /// Tells the leader which identity the host of this name has now. An identity that is not in the group joins as a
    /// learner and, once caught up, replaces the unreachable voter of the same name.
    void peerSeen(const std::string &name, const ReplicaId &id);
    /// Hands leadership to the most advanced reachable voter. Returns false when there is none.
    bool transferLeadership(TimePoint now);

    [[nodiscard]] ReplicaOutput takeOutput(TimePoint now);

    [[nodiscard]] const ReplicaId &self() const;
    [[nodiscard]] ReplicaRole role() const;
    [[nodiscard]] Term term() const;
    /// The leader of the current term, empty when not known.
    [[nodiscard]] const ReplicaId &leader() const;
    /// Whether this replica may decide as the leader: its lease is valid and it knows all that is committed.
    [[nodiscard]] bool leads(TimePoint now) const;
    [[nodiscard]] LogIndex commitIndex() const;
    [[nodiscard]] const ReplicaLog &log() const;
    [[nodiscard]] const ReplicaGroup &group() const;
    /// How many more voters may be lost: voters that are reachable and caught up, less a majority. Negative without a
    /// majority. A replica that does not lead repeats what its leader said last, and -1 once the leader is silent.
    [[nodiscard]] int lossesTolerated(TimePoint now) const;
    [[nodiscard]] bool reachable(const ReplicaId &id, TimePoint now) const;
    [[nodiscard]] LogIndex matchedIndex(const ReplicaId &id) const;

private:
    struct HeldMessage
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
    struct PendingRead
    {
        std::uint64_t number = 0;
        TimePoint requestedAt;
        LogIndex index = 0;
    };
    struct Transfer
    {
        ReplicaId target;
        TimePoint deadline;
        bool sent = false;
    };

    // Replica.cpp: state that several parts use
    using MessageBody = decltype(ReplicaMessage::body);
    [[nodiscard]] ReplicaMessage compose(const ReplicaId &to, MessageBody body) const;
    void send(const ReplicaId &to, MessageBody body);
    /// Sends it when everything that this replica knows now is on the disk.
    void sendOncePersisted(const ReplicaId &to, MessageBody body);
    [[nodiscard]] bool unsaved() const;
    [[nodiscard]] bool installing() const;
    void setHardState(Term term, ReplicaId votedFor);
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
    [[nodiscard]] bool promisedToLeader(TimePoint now) const;
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
    [[nodiscard]] TimePoint majorityContact(TimePoint now) const;
    [[nodiscard]] bool leaseValid(TimePoint now) const;

    // ReplicaSnapshot.cpp
    void sendChunk(const ReplicaId &to, ReplicaProgress &progress, TimePoint now);
    void onSnapshotChunk(const ReplicaMessage &message, const SnapshotChunk &chunk, TimePoint now);
    void onSnapshotReply(const ReplicaMessage &message, const SnapshotReply &reply);
    void install(const SnapshotChunk &chunk);

    // ReplicaMembership.cpp
    void changeGroup(ReplicaGroup group);
    void syncProgress();
    void reconcileGroup(TimePoint now);
    [[nodiscard]] bool joinLearner();
    void replaceOrPromote(TimePoint now);
    [[nodiscard]] bool mayPromote(const ReplicaGroup &group, TimePoint now) const;
    [[nodiscard]] bool demoteSurplusVoter(TimePoint now);
    [[nodiscard]] bool lost(const ReplicaId &id, TimePoint now) const;
    [[nodiscard]] std::size_t healthyVoters(const ReplicaGroup &group, TimePoint now) const;
    [[nodiscard]] bool healthy(const ReplicaId &id, TimePoint now) const;
    void continueTransfer(TimePoint now);

    ReplicaOptions m_options;
    ReplicaId m_self;
    RoleMachine m_role;
    ReplicaLog m_log;
    HardState m_hardState;
    std::optional<SnapshotImage> m_snapshot;
    ReplicaId m_leader;
    LogIndex m_commitIndex = 0;
    /// Last entry that was handed to the owner for applying.
    LogIndex m_deliveredIndex = 0;

    // Persistence: what the next request carries, and what has not been reported yet.
    std::uint64_t m_sequence = 0;
    bool m_hardStateDirty = false;
    LogIndex m_firstUnsaved = 0;
    std::optional<SnapshotImage> m_unsavedSnapshot;
    LogIndex m_persistedIndex = 0;
    std::uint64_t m_persistedSequence = 0;
    std::uint64_t m_hardStateSequence = 0;
    std::deque<InFlightPersist> m_inFlightPersists;
    std::deque<HeldMessage> m_held;
    std::vector<ReplicaMessage> m_messages;

    // Elections.
    TimePoint m_electionDeadline;
    TimePoint m_lastLeaderContact;
    std::set<ReplicaId> m_votes;
    std::uint64_t m_ownVoteSequence = 0;
    int m_leaderLossesTolerated = -1;

    // Leading.
    std::map<ReplicaId, ReplicaProgress> m_progress;
    LogIndex m_termStartIndex = 0;
    TimePoint m_leadingSince;
    std::optional<Transfer> m_transfer;
    std::map<std::string, ReplicaId> m_seenPeers;
    TimePoint m_nextCatchUpCheck;
    LogIndex m_catchUpIndex = 0;
    std::deque<PendingRead> m_reads;
    std::vector<std::uint64_t> m_failedReads;
    std::uint64_t m_lastRead = 0;

    /// Pieces of the snapshot that a leader is sending.
    std::string m_incoming;
    LogIndex m_incomingIndex = 0;
    Term m_incomingTerm = 0;
};

} // namespace tamarackcove
