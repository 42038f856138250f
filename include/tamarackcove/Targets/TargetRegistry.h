#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Targets/AdapterResidency.h"
#include "tamarackcove/Targets/Announcement.h"
#include "tamarackcove/Targets/TargetLifeCycle.h"
#include "tamarackcove/Targets/TargetView.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tamarackcove {

/// The targets of a zone as known to the zone coordinator: their announcements, health and adapter residency.
///
/// Thread safety: used on one thread.
class TargetRegistry
{
public:
    struct Options
    {
        /// A target becomes suspect when its last announcement is older than this.
        milliseconds suspectAfter = seconds(3);
        /// A target is removed when its last announcement is older than this.
        milliseconds removeAfter = seconds(10);
        /// The maximum time by which the adapter list of an announcement lags behind the adapters that the target
        /// holds. A list that contradicts a residency stage is ignored if the stage was entered within this time.
        milliseconds announcementLag = seconds(3);
        AdapterResidency::Options residency;
    };

    enum class Outcome {
        Joined,
        Restarted,
        Updated,
        /// The announcement came from an earlier incarnation of the target and was ignored.
        Outdated,
    };

    struct ResidencyChange
    {
        TargetId target;
        AdapterRef adapter;
        /// Absent if the target no longer holds the adapter.
        std::optional<ResidencyState> state;
    };

    /// The changes since the previous call of takeChanges().
    struct Changes
    {
        /// Targets that joined or restarted, or whose view changed in a field other than request load, health and
        /// residency. Receivers replace their whole view of such a target.
        std::set<TargetId> replaced;
        /// Targets that were removed because their announcements stopped.
        std::set<TargetId> gone;
        /// Targets whose health changed.
        std::set<TargetId> health;
        std::vector<ResidencyChange> residency;

        [[nodiscard]] bool empty() const;
    };

    explicit TargetRegistry(Options options);

    /// Precondition: validate() accepted the announcement.
    Outcome announce(const Announcement &announcement, TimePoint now);
    /// Records an announcement that differs from the previous one only in load figures. Unknown targets are ignored.
    void recordLoad(const TargetId &target, int running, int waiting, TimePoint now);
    /// Marks targets whose announcements are overdue as suspect, removes those that are gone, and ends expired
    /// back-offs of failed loads.
    void tick(TimePoint now);

    /// Applies an event to the residency of an adapter. Returns whether its stage changed.
    bool apply(const TargetId &target, const AdapterRef &adapter, ResidencyEvent event, TimePoint now);
    /// Updates residency to the adapters that the engine reported as resident. The report was requested at
    /// `requestedAt`; stages that were entered at that time or later are not changed, because the report may be older.
    void reconcileResidency(const TargetId &target, const std::set<AdapterRef> &adapters, TimePoint requestedAt,
                            TimePoint now);
    /// Returns and clears the targets whose announced adapter lists contradict the known residency. Announcements can
    /// be late or incomplete, so they do not change residency; the caller reads the state of the engine and passes it
    /// to reconcileResidency().
    [[nodiscard]] std::set<TargetId> takeResidencyMismatches();

    /// Absent if the target or the adapter is unknown.
    [[nodiscard]] ResidencyStage stage(const TargetId &target, const AdapterRef &adapter) const;
    [[nodiscard]] bool contains(const TargetId &target) const;
    [[nodiscard]] std::vector<TargetId> targets() const;
    /// Precondition: contains(target).
    [[nodiscard]] TargetView view(const TargetId &target) const;
    /// The number that identifies the target in view messages and in the load figures of heartbeats. It does not change
    /// until the target is gone. Precondition: contains(target).
    [[nodiscard]] std::uint32_t index(const TargetId &target) const;
    [[nodiscard]] std::optional<TargetId> byIndex(std::uint32_t index) const;

    /// Returns and clears the accumulated changes.
    [[nodiscard]] Changes takeChanges();

private:
    struct Target
    {
        Announcement lastAnnouncement;
        TargetLifeCycle lifeCycle;
        TimePoint lastAnnouncedAt;
        std::uint32_t index = 0;
        std::map<AdapterRef, AdapterResidency> adapters;
        /// The latest incarnations before the current one; announcements from them may still arrive.
        std::deque<Incarnation> previousIncarnations;
    };

    void applyLifeCycleEvent(Target &target, TargetEvent event);
    /// Records a residency mismatch if the announced adapter list contradicts the known residency.
    void compareAnnouncedAdapters(const Target &target, TimePoint now);
    bool applyResidencyEvent(Target &target, const AdapterRef &adapter, ResidencyEvent event, TimePoint now);

    Options m_options;
    std::map<TargetId, Target> m_targets;
    std::map<std::uint32_t, TargetId> m_byIndex;
    std::uint32_t m_lastIndex = 0;
    Changes m_changes;
    std::set<TargetId> m_residencyMismatches;
};

} // namespace tamarackcove
