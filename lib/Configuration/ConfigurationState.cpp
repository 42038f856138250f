#include "tamarackcove/Configuration/ConfigurationState.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamarackcove {

ConfigurationState::ConfigurationState(Limits limits)
    : m_limits(limits)
{
}

CommandAnswer ConfigurationState::apply(LeaderTime now, const Command &command)
{
    expire(now);
    return std::visit([&](const auto &alternative) { return applyCommand(now, alternative); }, command);
}

void ConfigurationState::expire(LeaderTime now)
{
    if (now - m_contents.lastExpiry < m_limits.expiryInterval) {
        return;
    }
    m_contents.lastExpiry = now;
    while (!m_contents.answerOrder.empty()) {
        const auto found = m_contents.answers.find(m_contents.answerOrder.front());
        if (now - found->second.recordedAt < m_limits.answerRetention) {
            break;
        }
        m_contents.answers.erase(found);
        m_contents.answerOrder.pop_front();
    }
    m_calls.expire(now);
    m_quarantine.expire(now);
}

RefusedAnswer ConfigurationState::makeRefusal(ConfigurationErrorCode code, std::string detail) const
{
    return RefusedAnswer{.error = {code, std::move(detail)},
                         .inForce = m_contents.serving.revision,
                         .lastConfirmedPlan = m_contents.lastConfirmedPlan};
}

template<typename Execute>
CommandAnswer ConfigurationState::executeOnce(LeaderTime now, const CommandId &id, std::uint64_t digest,
                                              Execute execute)
{
    const auto found = m_contents.answers.find(id);
    if (found != m_contents.answers.end()) {
        if (found->second.digest != digest) {
            return OperatorAnswer(makeRefusal(ConfigurationErrorCode::CommandReused,
                                              "command id " + id.value() + " was already used for another command"));
        }
        return found->second.answer;
    }
    OperatorAnswer answer = execute();
    m_contents.answers.emplace(id, RecordedAnswer{.digest = digest, .recordedAt = now, .answer = answer});
    m_contents.answerOrder.push_back(id);
    return answer;
}

CommandAnswer ConfigurationState::applyCommand(LeaderTime now, const CreateIntent &command)
{
    return executeOnce(now, command.id, command.digest, [&] { return createPlan(command); });
}

CommandAnswer ConfigurationState::applyCommand(LeaderTime now, const ConfirmPlan &command)
{
    return executeOnce(now, command.id, command.digest, [&] { return confirm(command); });
}

CommandAnswer ConfigurationState::applyCommand(LeaderTime now, const ReserveCall &command)
{
    return m_calls.reserve(now, command.key, command.digest, command.entry, command.attempt);
}

CommandAnswer ConfigurationState::applyCommand(LeaderTime /*now*/, const CompleteCall &command)
{
    return AppliedAnswer{
        m_calls.complete(command.key, command.entry, command.status, command.contentType, command.body)};
}

CommandAnswer ConfigurationState::applyCommand(LeaderTime /*now*/, const ReleaseCall &command)
{
    return AppliedAnswer{m_calls.release(command.key, command.entry)};
}

CommandAnswer ConfigurationState::applyCommand(LeaderTime now, const ReportCrash &command)
{
    auto change = m_quarantine.reportCrash(now, {command.target, command.incarnation}, command.fingerprints);
    ConfigurationDelta delta;
    delta.quarantined = std::move(change.quarantined);
    delta.released = std::move(change.released);
    commit(std::move(delta));
    return AppliedAnswer{};
}

CommandAnswer ConfigurationState::applyCommand(LeaderTime /*now*/, const ClearSuspect &command)
{
    m_quarantine.clearSuspect(command.fingerprint);
    return AppliedAnswer{};
}

CommandAnswer ConfigurationState::applyCommand(LeaderTime /*now*/, const RecordVote &command)
{
    auto &vote = m_contents.zoneVotes[command.zone];
    const bool granted
        = command.number > vote.number || (command.number == vote.number && command.candidate == vote.candidate);
    if (granted) {
        vote = {.number = command.number, .candidate = command.candidate};
    }
    return AppliedAnswer{granted};
}

IntentName ConfigurationState::findOwner(const AdapterRef &adapter, const IntentName &excludedIntent) const
{
    for (const auto &[name, intent] : m_contents.intents) {
        if (name != excludedIntent && intent->find(adapter) != nullptr) {
            return name;
        }
    }
    return {};
}

OperatorAnswer ConfigurationState::createPlan(const CreateIntent &command)
{
    const auto &name = command.intent->name;
    const auto confirmed = m_contents.intents.find(name);
    auto computed
        = computePlan(command.intent, confirmed == m_contents.intents.end() ? nullptr : confirmed->second.get(),
                      m_contents.serving, [&](const AdapterRef &adapter) { return findOwner(adapter, name); });
    if (computed.has_error()) {
        return makeRefusal(computed.error().code, computed.error().detail);
    }
    std::erase_if(m_contents.pending, [&](const auto &entry) { return entry.second->intent->name == name; });
    auto plan = std::make_shared<Plan>(std::move(computed).value());
    plan->id = PlanId("plan-" + std::to_string(++m_contents.plansCreated));
    m_contents.pending.emplace(plan->id, plan);
    return PlanAnswer{plan};
}

OperatorAnswer ConfigurationState::confirm(const ConfirmPlan &command)
{
    const auto found = m_contents.pending.find(command.plan);
    if (found == m_contents.pending.end()) {
        if (findPlan(command.plan)) {
            return makeRefusal(ConfigurationErrorCode::Conflict,
                               "plan " + command.plan.value()
                                   + " is no longer pending: it was confirmed or replaced by a newer plan");
        }
        return makeRefusal(ConfigurationErrorCode::UnknownPlan, "plan " + command.plan.value() + " is not known");
    }
    const auto plan = found->second;
    if (plan->base != command.base) {
        return makeRefusal(ConfigurationErrorCode::Conflict,
                           "base revision does not match: plan " + command.plan.value()
                               + " was computed against revision " + std::to_string(plan->base.value()));
    }
    if (plan->base < m_contents.operatorRevision) {
        return makeRefusal(ConfigurationErrorCode::Conflict,
                           "the configuration has changed since plan " + command.plan.value()
                               + " was computed; create the intent again");
    }
    m_contents.pending.erase(found);
    if (plan->intent->adapters.empty() && !plan->intent->route) {
        m_contents.intents.erase(plan->intent->name);
    } else {
        m_contents.intents[plan->intent->name] = plan->intent;
    }
    m_contents.lastConfirmedPlan = plan->id;
    if (!plan->empty()) {
        commit(plan->changes);
        m_contents.operatorRevision = m_contents.serving.revision;
    }
    return ConfirmedAnswer{.plan = plan->id, .revision = m_contents.serving.revision};
}

void ConfigurationState::commit(ConfigurationDelta delta)
{
    if (delta.size() == 0) {
        return;
    }
    delta.from = m_contents.serving.revision;
    delta.to = delta.from.next();
    applyDelta(m_contents.serving, delta);
    m_contents.historyChanges += delta.size();
    auto &history = m_contents.history;
    history.push_back(std::make_shared<const ConfigurationDelta>(std::move(delta)));
    while (history.size() > m_limits.maxHistoryRevisions || m_contents.historyChanges > m_limits.maxHistoryChanges) {
        m_contents.historyChanges -= history.front()->size();
        history.pop_front();
    }
}

const ServingConfiguration &ConfigurationState::servingConfiguration() const
{
    return m_contents.serving;
}

ConfigurationDelta ConfigurationState::changesSince(Revision revision) const
{
    const auto current = m_contents.serving.revision;
    if (revision == current) {
        ConfigurationDelta none;
        none.from = current;
        none.to = current;
        return none;
    }
    const auto &history = m_contents.history;
    if (revision > current || history.empty() || revision < history.front()->from) {
        return fullDelta(m_contents.serving);
    }
    // Each delta of the history leads from one revision to the next, so the offset is the difference of revisions.
    auto next = history.begin() + static_cast<std::ptrdiff_t>(revision.value() - history.front()->from.value());
    ConfigurationDelta delta = **next;
    for (++next; next != history.end(); ++next) {
        delta.append(**next);
    }
    return delta;
}

std::shared_ptr<const Plan> ConfigurationState::findPlan(const PlanId &id) const
{
    const auto found = m_contents.pending.find(id);
    if (found != m_contents.pending.end()) {
        return found->second;
    }
    for (const auto &[command, recorded] : m_contents.answers) {
        const auto *answer = std::get_if<PlanAnswer>(&recorded.answer);
        if (answer != nullptr && answer->plan->id == id) {
            return answer->plan;
        }
    }
    return nullptr;
}

const ConfigurationState::Contents &ConfigurationState::contents() const
{
    return m_contents;
}

const CallLedger &ConfigurationState::calls() const
{
    return m_calls;
}

const QuarantineLedger &ConfigurationState::quarantine() const
{
    return m_quarantine;
}

void ConfigurationState::restore(Contents contents, CallLedger::Contents calls, QuarantineLedger::Contents quarantine)
{
    m_contents = std::move(contents);
    m_calls.restore(std::move(calls));
    m_quarantine.restore(std::move(quarantine));
}

} // namespace tamarackcove
