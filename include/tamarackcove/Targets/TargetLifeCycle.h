#pragma once

#include <memory>

namespace tamarackcove {

enum class TargetStage {
    /// Takes new work.
    Serving,
    /// Missed announcements.
    Suspect,
    /// Finishes what it has.
    Leaving,
    /// Missed announcements for so long that it is forgotten.
    Gone,
};

enum class TargetEvent {
    Announced,
    AnnouncedLeaving,
    /// Announced with another incarnation.
    Restarted,
    /// No announcement for the time after which a target is suspect.
    Missed,
    /// No announcement for the time after which a target is gone.
    Lost,
};

/// The life of a target as its coordinator sees it: a state table in the .cpp.
///
/// Thread safety: used on one thread.
class TargetLifeCycle
{
public:
    TargetLifeCycle();
    ~TargetLifeCycle();
    TargetLifeCycle(TargetLifeCycle &&other) noexcept;
    TargetLifeCycle &operator=(TargetLifeCycle &&other) noexcept;

    /// Returns whether the stage changed. An event that means nothing in the current stage changes nothing.
    bool apply(TargetEvent event);
    [[nodiscard]] TargetStage stage() const;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace tamarackcove
