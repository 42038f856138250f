#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Configuration/LeaderTime.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace tamarackcove {

enum class CallState {
    /// Dispatched or about to be dispatched; no answer is recorded.
    Reserved,
    Completed,
    /// Completed, but the answer was too large to keep or was evicted in favor of later answers.
    AnswerDropped,
};

/// One call that must not be repeated.
struct CallRecord
{
    /// A hash of the request, to detect a key that is reused for another request.
    std::uint64_t digest = 0;
    /// The entry that reserved the call.
    EntryId entry;
    /// Distinguishes a resent reservation of the same dispatch from the reservation of another dispatch.
    RequestId attempt;
    LeaderTime reservedAt;
    CallState state = CallState::Reserved;
    /// The HTTP status of the recorded answer.
    int status = 0;
    std::string contentType;
    std::string body;
};

enum class CallDecision {
    /// The entry may dispatch the call.
    Granted,
    /// The call has completed; its recorded answer is returned.
    Completed,
    /// The call may have been dispatched before, and no answer of it is kept.
    InDoubt,
    /// The key belongs to a request with another digest.
    KeyReused,
    /// The ledger holds its maximum number of records; the reservation can be retried later.
    Full,
};

struct ReservationAnswer
{
    CallDecision decision = CallDecision::InDoubt;
    /// The HTTP status of the recorded answer; set only when the decision is Completed.
    int status = 0;
    std::string contentType;
    std::string body;
};

/// Grants each call key to one attempt, so that a call that must not be repeated is dispatched at most once.
///
/// Thread safety: used on one thread.
class CallLedger
{
public:
    struct Limits
    {
        /// How long a record is kept, counted from its reservation.
        std::chrono::hours retention{24};
        std::size_t maxAnswerBytes = 64 * 1024;
        /// When the answers take more bytes than this, the oldest answers are dropped; their keys stay reserved.
        std::size_t maxTotalAnswerBytes = 64 * 1024 * 1024;
        std::size_t maxRecords = 400000;
    };
    /// A key in one of the expiry queues.
    struct QueuedKey
    {
        LeaderTime reservedAt;
        std::string key;
    };
    struct Contents
    {
        std::map<std::string, CallRecord> records;
        /// All reserved keys, oldest reservation first. A released key stays here for the full retention period.
        std::deque<QueuedKey> reservationOrder;
        /// The keys of kept answers, first completed first, with the times of their reservations.
        std::deque<QueuedKey> completionOrder;
        /// The total size of the kept answer bodies.
        std::size_t answerBytes = 0;
    };

    CallLedger() = default;
    explicit CallLedger(Limits limits);

    /// Reserves the key unless it is reserved or completed already. Reserving again with the same entry and attempt is
    /// granted as long as no answer is recorded.
    ReservationAnswer reserve(LeaderTime now, const std::string &key, std::uint64_t digest, const EntryId &entry,
                              const RequestId &attempt);
    /// Records the answer of a call. Returns false and records nothing unless the key is reserved by this entry and has
    /// no answer yet.
    bool complete(const std::string &key, const EntryId &entry, int status, std::string contentType, std::string body);
    /// Removes the reservation of a call that certainly was not dispatched. Returns false and removes nothing unless
    /// the key is reserved by this entry and has no answer yet.
    bool release(const std::string &key, const EntryId &entry);
    /// Removes all records whose retention period has passed.
    void expire(LeaderTime now);

    [[nodiscard]] const Contents &contents() const;
    void restore(Contents contents);

private:
    /// The record that a queue element refers to; null if the record was removed or its key has been reserved again.
    CallRecord *findRecord(const QueuedKey &entry);
    void dropOldestAnswers();

    Limits m_limits;
    Contents m_contents;
};

} // namespace tamarackcove
