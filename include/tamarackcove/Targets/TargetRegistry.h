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

/// The targets of a zone as its coordinator knows them: announcements, health, and what each one holds.
///
/// Thread safety: used on one thread.
class TargetRegistry
{
public:
    struct Options
    {
        milliseconds suspectAfter = seconds(3);
        milliseconds goneAfter = seconds(10);
        /// A change of an adapter is believed for this long even when announcements say otherwise: they lag.
        milliseconds reportLag = seconds(3);
        AdapterResidency::Options residency;
    };

    enum class Outcome {
        Joined,
        Restarted,
        Updated,
        /// From a process of the target that was replaced already; ignored.
        Outdated,
    };

    struct ResidencyChange
    {
        TargetId target;
        AdapterRef adapter;
        /// Nothing when the target does not hold the adapter any more.
        std::optional<ResidencyState> state;
    };

    /// What changed since the last call of takeChanges().
    struct Changes
    {
        /// Joined, restarted, or changed in more than health and residency: replace all that is known of them.
        std::set<TargetId> replaced;
        std::set<TargetId> gone;
        std::set<TargetId> health;
        std::vector<ResidencyChange> residency;

        [[nodiscard]] bool empty() const;
    };

    explicit TargetRegistry(Options options);

    /// Precondition: validate() accepted the announcement.
    Outcome announce(const Announcement &announcement, TimePoint now);
    /// The target announced itself again with nothing new but its load.
    void refresh(const TargetId &target, int running, int waiting, TimePoint now);
    /// Moves targets without announcements to suspect and gone, and ends back-offs.
    void tick(TimePoint now);

    /// Returns whether the stage of the adapter changed.
    bool apply(const TargetId &target, const AdapterRef &adapter, ResidencyEvent event, TimePoint now);
    /// What the engine said it holds, asked for at `askedAt`. Changes since then are not undone.
    void setHeld(const TargetId &target, const std::set<AdapterRef> &adapters, TimePoint askedAt, TimePoint now);
    /// Targets whose announcements contradict what is known of their adapters. Announcements come late and with gaps,
    /// so only the state of the engine itself, read because of this, changes residency.
    [[nodiscard]] std::set<TargetId> takeContradicted();

    [[nodiscard]] ResidencyStage stage(const TargetId &target, const AdapterRef &adapter) const;
    [[nodiscard]] bool contains(const TargetId &target) const;
    [[nodiscard]] std::vector<TargetId> targets() const;
    /// Precondition: contains(target).
    [[nodiscard]] TargetView view(const TargetId &target) const;
    /// A number under which messages name the target; it stays the same while the target is known.
    /// Precondition: contains(target).
    [[nodiscard]] std::uint32_t index(const TargetId &target) const;
    [[nodiscard]] std::optional<TargetId> byIndex(std::uint32_t index) const;

    [[nodiscard]] Changes takeChanges();

private:
    struct Target
    {
        Announcement announced;
        TargetLifeCycle life;
        TimePoint announcedAt;
        std::uint32_t index = 0;
        std::map<AdapterRef, AdapterResidency> adapters;
        /// The last incarnations before the current one; their announcements may still be on the way.
        std::deque<Incarnation> replaced;
    };

    void noteEvent(Target &target, TargetEvent event);
    void checkAnnouncedAdapters(const Target &target, TimePoint now);
    bool applyTo(Target &target, const AdapterRef &adapter, ResidencyEvent event, TimePoint now);

    Options m_options;
    std::map<TargetId, Target> m_targets;
    std::map<std::uint32_t, TargetId> m_byIndex;
    std::uint32_t m_lastIndex = 0;
    Changes m_changes;
    std::set<TargetId> m_contradicted;
};

} // namespace tamarackcove
