#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Fleet/AllowanceReport.h"
#include "tamarackcove/Fleet/LeasedShare.h"

#include <optional>

namespace tamarackcove {

/// The share of one allowance at one entry: a token bucket, and what has been used since the last report. The bucket
/// starts empty, because an entry that ran before may have spent the same share.
///
/// Thread safety: used on one thread.
class AllowanceShare
{
public:
    /// What the rate and the size of the bucket follow from.
    enum class Mode {
        /// The leader answers.
        Leased,
        /// No leader answers, and the share is valid.
        Standalone,
        /// The share has expired, or there has never been one.
        Expired,
    };

    void setShare(const LeasedShare &share, TimePoint now);
    /// Starts the validity of the share anew, from the moment at which an answered report was made.
    void renew(TimePoint reportMadeAt, TimePoint now);
    /// The leader does not answer from now on, until renew() is called.
    void loseLeader(TimePoint now);

    /// Takes the units from the bucket if it holds them. Without a leader, the bucket may be overdrawn.
    [[nodiscard]] bool take(double units, TimePoint now);
    /// Like take() without a leader; for a request that gets no one-time lease because of a failure.
    [[nodiscard]] bool takeOverdrawn(double units, TimePoint now);
    /// Counts the units of a one-time lease as used.
    void useLease(double units);
    /// Time until take() would succeed; nothing if the bucket never holds the units.
    [[nodiscard]] std::optional<milliseconds> timeUntil(double units, TimePoint now);
    /// Returns the units of a request that was not sent to a server, to the leader or without one to the bucket.
    void giveBack(double units, TimePoint now);

    void noteRequest(double units);
    /// The use since the last call; nothing if there was none. The name of the workspace is not set.
    [[nodiscard]] std::optional<AllowanceReport::Use> takeReport();

    [[nodiscard]] const LeasedShare &share() const;
    [[nodiscard]] Mode mode(TimePoint now) const;
    /// Units in the bucket; negative while it is overdrawn.
    [[nodiscard]] double level(TimePoint now);

private:
    [[nodiscard]] double rateIn(Mode mode) const;
    [[nodiscard]] double burstIn(Mode mode) const;
    void fill(Mode mode, Duration time);
    void limitLevel(TimePoint now);
    void refill(TimePoint now);

    LeasedShare m_share;
    double m_level = 0;
    /// Until when the level has been computed.
    TimePoint m_filledAt;
    TimePoint m_standaloneFrom;
    TimePoint m_expiresAt;
    AllowanceReport::Use m_use;
};

} // namespace tamarackcove
