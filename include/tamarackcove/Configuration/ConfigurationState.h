#pragma once

#include "tamarackcove/Configuration/CallLedger.h"
#include "tamarackcove/Configuration/Command.h"
#include "tamarackcove/Configuration/QuarantineLedger.h"
#include "tamarackcove/Configuration/ServingConfiguration.h"

#include <deque>
#include <map>
#include <memory>

namespace tamarackcove {

/// The replicated state machine of the control group. It is deterministic: it reads no clock and draws no random
/// numbers, so that replicas that apply the same commands with the same times in the same order reach the same state.
///
/// Thread safety: used on one thread.
class ConfigurationState
{
public:
    /// The answer to an operator's command, returned again when the command is resent.
    struct RecordedAnswer
    {
        std::uint64_t digest = 0;
        /// When the command was executed.
        LeaderTime recordedAt;
        OperatorAnswer answer;
    };
    struct ZoneVote
    {
        FencingNumber number;
        EntryId candidate;
    };
    /// The state that goes into snapshots, without the contents of the call ledger and the quarantine ledger.
    struct Contents
    {
        ServingConfiguration serving;
        /// The newest revision that the confirmation of a plan created. A plan with an older base is refused.
        /// Quarantine changes create revisions too but do not invalidate plans.
        Revision operatorRevision;
        PlanId lastConfirmedPlan;
        /// The number of plans created so far; plan ids are derived from it.
        std::uint64_t plansCreated = 0;
        /// The confirmed intents.
        std::map<IntentName, std::shared_ptr<const Intent>> intents;
        /// Plans that are not confirmed, at most one for each intent: a newer plan replaces the older one.
        std::map<PlanId, std::shared_ptr<const Plan>> pending;
        std::map<CommandId, RecordedAnswer> answers;
        /// The keys of `answers`, oldest first.
        std::deque<CommandId> answerOrder;
        /// The latest deltas, oldest first, each from one revision to the next.
        std::deque<std::shared_ptr<const ConfigurationDelta>> history;
        /// The number of individual changes in `history`.
        std::size_t historyChanges = 0;
        LeaderTime lastExpiry;
        /// The newest vote for a coordinator of each zone.
        std::map<Zone, ZoneVote> zoneVotes;
    };
    struct Limits
    {
        /// A command resent after this period is executed again, which is harmless: an intent gets a new plan, which
        /// has no effect until it is confirmed, and a confirmation is refused because its plan is no longer pending.
        std::chrono::hours answerRetention{24};
        std::size_t maxHistoryRevisions = 4096;
        std::size_t maxHistoryChanges = 20000;
        /// Expiry scans all suspects, so it does not run with every command.
        std::chrono::seconds expiryInterval{10};
    };

    ConfigurationState() = default;
    explicit ConfigurationState(Limits limits);

    /// Applies a committed command. `now` is the leader time that was appended to the log with the command.
    CommandAnswer apply(LeaderTime now, const Command &command);

    [[nodiscard]] const ServingConfiguration &servingConfiguration() const;
    /// The changes since a revision; a full delta if the history does not reach back to the revision or the revision is
    /// newer than this state.
    [[nodiscard]] ConfigurationDelta changesSince(Revision revision) const;
    /// A plan that is pending or was the answer to a command within Limits::answerRetention; otherwise null.
    [[nodiscard]] std::shared_ptr<const Plan> findPlan(const PlanId &id) const;

    [[nodiscard]] const Contents &contents() const;
    [[nodiscard]] const CallLedger &calls() const;
    [[nodiscard]] const QuarantineLedger &quarantine() const;
    void restore(Contents contents, CallLedger::Contents calls, QuarantineLedger::Contents quarantine);

private:
    CommandAnswer applyCommand(LeaderTime now, const CreateIntent &command);
    CommandAnswer applyCommand(LeaderTime now, const ConfirmPlan &command);
    CommandAnswer applyCommand(LeaderTime now, const ReserveCall &command);
    CommandAnswer applyCommand(LeaderTime now, const CompleteCall &command);
    CommandAnswer applyCommand(LeaderTime now, const ReleaseCall &command);
    CommandAnswer applyCommand(LeaderTime now, const ReportCrash &command);
    CommandAnswer applyCommand(LeaderTime now, const ClearSuspect &command);
    CommandAnswer applyCommand(LeaderTime now, const RecordVote &command);

    /// Executes an operator's command, or returns the recorded answer if the command was executed before.
    template<typename Execute>
    CommandAnswer executeOnce(LeaderTime now, const CommandId &id, std::uint64_t digest, Execute execute);
    OperatorAnswer createPlan(const CreateIntent &command);
    OperatorAnswer confirm(const ConfirmPlan &command);
    /// The confirmed intent, other than `excludedIntent`, that contains the adapter; empty if there is none.
    [[nodiscard]] IntentName findOwner(const AdapterRef &adapter, const IntentName &excludedIntent) const;
    [[nodiscard]] RefusedAnswer makeRefusal(ConfigurationErrorCode code, std::string detail) const;
    /// Applies a delta as the next revision and adds it to the history. An empty delta creates no revision.
    void commit(ConfigurationDelta delta);
    void expire(LeaderTime now);

    Limits m_limits;
    Contents m_contents;
    CallLedger m_calls;
    QuarantineLedger m_quarantine;
};

} // namespace tamarackcove
