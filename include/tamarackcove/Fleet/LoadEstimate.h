#pragma once

#include "tamarackcove/Base/Time.h"

namespace tamarackcove {

/// What an entry knows of the request load of one server apart from its own requests there: the reports of the load of
/// the other entries, and what the entry's own requests have met.
///
/// Thread safety: used on one thread.
class LoadEstimate
{
public:
    /// Time in which the estimate follows a change of the reported load by about two thirds. A request for a plain
    /// service ends long before the next report, so that a report shows a random moment, and entries that followed it
    /// at once would all overcorrect together.
    static constexpr milliseconds ReportLag{500};
    /// Time in which the entry's own experience loses about two thirds of its weight.
    static constexpr milliseconds ExperienceLifetime{1000};
    /// Load per slot that is assumed of a server that has refused a request as full: a queue of twice its slots.
    static constexpr double FullLoad = 3;
    /// Highest load per slot that is concluded from a late answer: the queue of a plain server is four times its slots.
    static constexpr double MaxLoad = 5;

    /// Sets the load of the other entries as reported now.
    void setReport(double load, TimePoint now);
    /// The last reported load.
    [[nodiscard]] double lastReport() const;
    /// The reported load, smoothed over ReportLag.
    [[nodiscard]] double smoothedReport(TimePoint now) const;

    /// Records that the server has refused a request because it is full.
    void recordFull(TimePoint now);
    /// Records a late answer, from which the load per slot is concluded.
    void recordLateAnswer(double loadPerSlot, TimePoint now);
    /// Records an answer that was not late, which halves the weight of earlier experience.
    void recordTimelyAnswer();
    /// Raises an estimated load per slot towards what the entry has met itself, less so the longer ago that is.
    [[nodiscard]] double withExperience(double loadPerSlot, TimePoint now) const;

private:
    double m_report = 0;
    /// Difference of the smoothed load from the reported one at m_reportedAt.
    double m_lag = 0;
    bool m_hasReport = false;
    TimePoint m_reportedAt;
    /// Load per slot that the entry has met, and its weight at that time.
    double m_experience = 0;
    double m_experienceWeight = 0;
    TimePoint m_experiencedAt;
};

} // namespace tamarackcove
