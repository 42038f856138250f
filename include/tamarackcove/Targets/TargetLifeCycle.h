#pragma once

#include <memory>

namespace tamarackcove {

enum class TargetStage {
    /// Accepts new work.
    Serving,
    /// The target has not announced itself for TargetRegistry::Options::suspectAfter.
    Suspect,
    /// Finishes its requests and accepts no new work.
    Leaving,
    /// The target has not announced itself for TargetRegistry::Options::removeAfter; the zone coordinator removes the
    /// target.
    Gone,
};

enum class TargetEvent {
    Announced,
    AnnouncedLeaving,
    /// The target announced itself with another incarnation.
    Restarted,
    /// No announcement for TargetRegistry::Options::suspectAfter.
    SuspectTimeout,
    /// No announcement for TargetRegistry::Options::removeAfter.
    GoneTimeout,
};

/// The health of a target as known to its zone coordinator: a state machine, whose transition table is in the .cpp.
///
/// Thread safety: used on one thread.
class TargetLifeCycle
{
public:
    TargetLifeCycle();
    ~TargetLifeCycle();
    TargetLifeCycle(TargetLifeCycle &&other) noexcept;
    TargetLifeCycle &operator=(TargetLifeCycle &&other) noexcept;

    /// Returns whether the stage changed. An event without a transition from the current stage is ignored.
    bool apply(TargetEvent event);
    [[nodiscard]] TargetStage stage() const;

private:
    struct StateMachine;
    std::unique_ptr<StateMachine> m_stateMachine;
};

} // namespace tamarackcove
