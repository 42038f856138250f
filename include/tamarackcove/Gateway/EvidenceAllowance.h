#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstddef>

namespace tamarackcove {

/// This entry's part of what all entries together may tell one control host of crashes, or of answers, so that the work
/// of the control host does not grow with entries or requests. The unit is an item: a crash, or a suspect.
///
/// Thread safety: used on one thread.
class EvidenceAllowance
{
public:
    /// Of all entries together, and how many seconds' worth an entry may save up.
    static constexpr double ItemsPerSecond = 1500;
    static constexpr double MaxSavedSeconds = 2;
    /// The smallest number of items that an entry saves up: those of one request at a crashed server.
    static constexpr double MinSavedItems = 6;

    /// Sets how many entries share the items. Precondition: at least one.
    void setEntries(std::size_t entries);
    /// How many items may be told now. The last of several that belong together may exceed it; the rest is taken from
    /// what follows.
    [[nodiscard]] std::size_t available(TimePoint now);
    /// When available() is next at least one, unless more are used until then.
    [[nodiscard]] TimePoint availableAt(TimePoint now);
    void use(std::size_t items, TimePoint now);

private:
    void refill(TimePoint now);

    /// Set by setEntries(); the initial value is that of a small deployment.
    double m_entries = 8;
    double m_saved = MaxSavedSeconds * ItemsPerSecond / 8;
    TimePoint m_refilledAt;
};

} // namespace tamarackcove
