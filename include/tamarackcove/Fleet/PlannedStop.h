#pragma once

#include "tamarackcove/Base/Time.h"

namespace tamarackcove {

/// The times of a planned stop of an entry, and which requests it still passes on to servers. All of them are answered
/// before the process is killed at the end of the grace period.
///
/// Thread safety: immutable after construction; can be used on any thread.
class PlannedStop
{
public:
    struct Options
    {
        /// How long the balancer may take to notice that the entry is not ready: it probes every second and stops
        /// sending new connections after two failed probes.
        milliseconds balancerNoticeTime{2300};
        /// Time between the end of accepting connections and answersDueAt(), if the grace period allows it.
        milliseconds lastRequestTime{500};
        /// Time for sending the final answers of requests that are still in progress at answersDueAt().
        milliseconds finalAnswerTime{100};
        /// Time reserved for ending the tasks, before the process is killed.
        milliseconds exitMargin{350};
    };

    /// `gracePeriod` is the time from `startedAt` until the process is killed.
    PlannedStop(TimePoint startedAt, milliseconds gracePeriod);
    PlannedStop(TimePoint startedAt, milliseconds gracePeriod, Options options);

    /// When the entry stops accepting connections.
    [[nodiscard]] TimePoint closesAt() const;
    /// When the requests that are still in progress are ended. Not before closesAt().
    [[nodiscard]] TimePoint answersDueAt() const;
    /// When the tasks of the remaining connections are cancelled. Not before answersDueAt().
    [[nodiscard]] TimePoint exitsAt() const;
    /// Whether a request that has not run anywhere may be passed on to a server. A request that may last beyond
    /// answersDueAt() is refused instead: another entry can serve it, while here it might be cut off after it has run.
    /// `deadline` is the time by which the request is answered.
    [[nodiscard]] bool mayPassOn(TimePoint deadline) const;

private:
    TimePoint m_closesAt;
    TimePoint m_answersDueAt;
    TimePoint m_exitsAt;
};

} // namespace tamarackcove
