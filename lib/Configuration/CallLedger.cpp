#include "tamarackcove/Configuration/CallLedger.h"

#include <utility>

namespace tamarackcove {

CallLedger::CallLedger(Limits limits)
    : m_limits(limits)
{
}

static ReservationAnswer makeAnswer(CallDecision decision)
{
    ReservationAnswer answer;
    answer.decision = decision;
    return answer;
}

ReservationAnswer CallLedger::reserve(LeaderTime now, const std::string &key, std::uint64_t digest,
                                      const EntryId &entry, const RequestId &attempt)
{
    const auto found = m_contents.records.find(key);
    if (found == m_contents.records.end()) {
        if (m_contents.records.size() >= m_limits.maxRecords) {
            return makeAnswer(CallDecision::Full);
        }
        CallRecord record;
        record.digest = digest;
        record.entry = entry;
        record.attempt = attempt;
        record.reservedAt = now;
        m_contents.records.emplace(key, std::move(record));
        m_contents.reservationOrder.push_back({.reservedAt = now, .key = key});
        return makeAnswer(CallDecision::Granted);
    }
    const auto &record = found->second;
    if (record.digest != digest) {
        return makeAnswer(CallDecision::KeyReused);
    }
    if (record.state == CallState::Completed) {
        return {.decision = CallDecision::Completed,
                .status = record.status,
                .contentType = record.contentType,
                .body = record.body};
    }
    // An entry resends a reservation when the reply to the first one was lost; the entry has not dispatched the call
    // yet.
    if (record.state == CallState::Reserved && record.entry == entry && record.attempt == attempt) {
        return makeAnswer(CallDecision::Granted);
    }
    return makeAnswer(CallDecision::InDoubt);
}

bool CallLedger::complete(const std::string &key, const EntryId &entry, int status, std::string contentType,
                          std::string body)
{
    const auto found = m_contents.records.find(key);
    if (found == m_contents.records.end() || found->second.entry != entry
        || found->second.state != CallState::Reserved) {
        return false;
    }
    auto &record = found->second;
    record.status = status;
    if (body.size() > m_limits.maxAnswerBytes) {
        record.state = CallState::AnswerDropped;
        return true;
    }
    record.state = CallState::Completed;
    record.contentType = std::move(contentType);
    m_contents.answerBytes += body.size();
    record.body = std::move(body);
    m_contents.completionOrder.push_back({.reservedAt = record.reservedAt, .key = key});
    dropOldestAnswers();
    return true;
}

CallRecord *CallLedger::findRecord(const QueuedKey &entry)
{
    const auto found = m_contents.records.find(entry.key);
    return found != m_contents.records.end() && found->second.reservedAt == entry.reservedAt ? &found->second : nullptr;
}

void CallLedger::dropOldestAnswers()
{
    while (m_contents.answerBytes > m_limits.maxTotalAnswerBytes && !m_contents.completionOrder.empty()) {
        auto *record = findRecord(m_contents.completionOrder.front());
        m_contents.completionOrder.pop_front();
        if (record != nullptr && record->state == CallState::Completed) {
            m_contents.answerBytes -= record->body.size();
            record->state = CallState::AnswerDropped;
            record->body = {};
        }
    }
}

bool CallLedger::release(const std::string &key, const EntryId &entry)
{
    const auto found = m_contents.records.find(key);
    if (found == m_contents.records.end() || found->second.entry != entry
        || found->second.state != CallState::Reserved) {
        return false;
    }
    m_contents.records.erase(found);
    return true;
}

void CallLedger::expire(LeaderTime now)
{
    const auto expired = [&](const std::deque<QueuedKey> &queue) {
        return !queue.empty() && now - queue.front().reservedAt >= m_limits.retention;
    };
    while (expired(m_contents.reservationOrder)) {
        const auto *record = findRecord(m_contents.reservationOrder.front());
        if (record != nullptr) {
            if (record->state == CallState::Completed) {
                m_contents.answerBytes -= record->body.size();
            }
            m_contents.records.erase(m_contents.reservationOrder.front().key);
        }
        m_contents.reservationOrder.pop_front();
    }
    while (expired(m_contents.completionOrder)) {
        m_contents.completionOrder.pop_front();
    }
}

const CallLedger::Contents &CallLedger::contents() const
{
    return m_contents;
}

void CallLedger::restore(Contents contents)
{
    m_contents = std::move(contents);
}

} // namespace tamarackcove
