#pragma once

#include "tamarackcove/Configuration/CallLedger.h"
#include "tamarackcove/Configuration/Command.h"
#include "tamarackcove/Configuration/QuarantineLedger.h"
#include "tamarackcove/Configuration/ServingConfiguration.h"

#include <deque>
#include <map>
#include <memory>

namespace tamarackcove {

/// The replicated state machine of the control group. Every replica applies the same commands with the same times in
/// the same order and reaches the same state; it reads no clock and draws no random numbers.
///
/// Thread safety: used on one thread.
class ConfigurationState
{
public:
    /// The first answer to an operator's command.
    struct RecordedAnswer
    {
        std::uint64_t digest = 0;
        LeaderTime at;
        OperatorAnswer answer;
    };
    struct ZoneVote
    {
        FencingNumber number;
        EntryId candidate;
    };
    /// Everything the state consists of, for snapshots.
    struct Contents
    {
        ServingConfiguration serving;
        /// The newest revision that an operator's confirmation created. Quarantine changes create revisions too, but
        /// do not invalidate plans.
        Revision operatorRevision;
        PlanId lastConfirmedPlan;
        std::uint64_t plansMade = 0;
        std::map<IntentName, std::shared_ptr<const Intent>> intents;
        /// Plans that may still be confirmed, the newest of each intent.
        std::map<PlanId, std::shared_ptr<const Plan>> pending;
        std::map<CommandId, RecordedAnswer> answers;
        std::deque<CommandId> answerOrder;
        std::deque<std::shared_ptr<const ConfigurationDelta>> history;
        std::size_t historyChanges = 0;
        LeaderTime lastExpiry;
        /// The newest vote for a coordinator of each zone.
        std::map<Zone, ZoneVote> zoneVotes;
    };
    struct Limits
    {
        /// A command resent later than this is executed again: an intent then gets a new plan without effect, and a
        /// confirmation meets a plan that is no longer pending.
        std::chrono::hours answerRetention{24};
        std::size_t maxHistoryRevisions = 4096;
        std::size_t maxHistoryChanges = 20000;
        /// Expiry reads every suspect, so it does not run at each command.
        std::chrono::seconds expiryInterval{10};
    };

    ConfigurationState() = default;
    explicit ConfigurationState(Limits limits);

    CommandAnswer apply(LeaderTime now, const Command &command);

    [[nodiscard]] const ServingConfiguration &serving() const;
    /// The changes since a revision, or a full delta when the history does not reach back that far or the revision is
    /// newer than this state.
    [[nodiscard]] ConfigurationDelta changesSince(Revision revision) const;
    /// A plan that is pending or was the answer to a command in the last 24 hours.
    [[nodiscard]] std::shared_ptr<const Plan> findPlan(const PlanId &id) const;

    [[nodiscard]] const Contents &contents() const;
    [[nodiscard]] const CallLedger &calls() const;
    [[nodiscard]] const QuarantineLedger &quarantine() const;
    void restore(Contents contents, CallLedger::Contents calls, QuarantineLedger::Contents quarantine);

private:
    CommandAnswer applyOne(LeaderTime now, const CreateIntent &command);
    CommandAnswer applyOne(LeaderTime now, const ConfirmPlan &command);
    CommandAnswer applyOne(LeaderTime now, const ReserveCall &command);
    CommandAnswer applyOne(LeaderTime now, const CompleteCall &command);
    CommandAnswer applyOne(LeaderTime now, const ReleaseCall &command);
    CommandAnswer applyOne(LeaderTime now, const ReportCrash &command);
    CommandAnswer applyOne(LeaderTime now, const ReportCleared &command);
    CommandAnswer applyOne(LeaderTime now, const RecordVote &command);

    template<typename Execute>
    CommandAnswer once(LeaderTime now, const CommandId &id, std::uint64_t digest, Execute execute);
    OperatorAnswer createPlan(const CreateIntent &command);
    OperatorAnswer confirm(const ConfirmPlan &command);
    [[nodiscard]] IntentName ownerOf(const AdapterRef &adapter, const IntentName &except) const;
    [[nodiscard]] RefusedAnswer refuse(ConfigurationErrorCode code, std::string detail) const;
    void commit(ConfigurationDelta delta);
    void expire(LeaderTime now);

    Limits m_limits;
    Contents m_contents;
    CallLedger m_calls;
    QuarantineLedger m_quarantine;
};

} // namespace tamarackcove
