#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Configuration/LeaderTime.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace tamarackcove {

enum class CallState {
    /// Dispatched, or about to be; no answer is recorded.
    Reserved,
    Completed,
    /// Completed, but the answer was too large to keep or gave way to later ones.
    AnswerDropped,
};

/// One call that may not be repeated.
struct CallRecord
{
    std::uint64_t digest = 0;
    EntryId entry;
    /// Tells a resent reservation of the same dispatch from another dispatch.
    RequestId attempt;
    LeaderTime reservedAt;
    CallState state = CallState::Reserved;
    int status = 0;
    std::string contentType;
    std::string body;
};

enum class CallDecision {
    Granted,
    Completed,
    InDoubt,
    KeyReused,
    /// The ledger is full; the call may be tried later.
    Full,
};

struct ReservationAnswer
{
    CallDecision decision = CallDecision::InDoubt;
    int status = 0;
    std::string contentType;
    std::string body;
};

/// Grants each call key once, so that a call that may not be repeated is dispatched at most once.
///
/// Thread safety: used on one thread.
class CallLedger
{
public:
    struct Limits
    {
        std::chrono::hours retention{24};
        std::size_t maxAnswerBytes = 64 * 1024;
        /// The oldest answers are dropped beyond this; their keys stay.
        std::size_t maxTotalAnswerBytes = 64 * 1024 * 1024;
        std::size_t maxRecords = 400000;
    };
    struct Entry
    {
        LeaderTime reservedAt;
        std::string key;
    };
    struct Contents
    {
        std::map<std::string, CallRecord> records;
        /// In the order of reservation. A released key stays here until its time has passed.
        std::deque<Entry> order;
        /// Kept answers in the order of completion, with the times of their reservation.
        std::deque<Entry> answered;
        std::size_t answerBytes = 0;
    };

    CallLedger() = default;
    explicit CallLedger(Limits limits);

    ReservationAnswer reserve(LeaderTime now, const std::string &key, std::uint64_t digest, const EntryId &entry,
                              const RequestId &attempt);
    /// Records the answer. Returns whether the key is reserved by this entry and has no answer yet.
    bool complete(const std::string &key, const EntryId &entry, int status, std::string contentType, std::string body);
    /// Forgets a reservation whose call certainly was not dispatched. Returns whether the key was reserved by this
    /// entry.
    bool release(const std::string &key, const EntryId &entry);
    void expire(LeaderTime now);

    [[nodiscard]] const Contents &contents() const;
    void restore(Contents contents);

private:
    /// The record that an entry of the queues stands for; null when it is gone or the key was reserved anew.
    CallRecord *recordOf(const Entry &entry);
    void dropOldestAnswers();

    Limits m_limits;
    Contents m_contents;
};

} // namespace tamarackcove
