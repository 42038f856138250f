#pragma once

#include "tamarackcove/Base/Time.h"

#include <memory>

namespace tamarackcove {

enum class ResidencyStage {
    Absent,
    /// A load order is under way.
    Loading,
    Resident,
    /// The entries are asked for release, or the unload order is under way.
    Retiring,
    /// A load failed; the next one waits.
    BackOff,
};

enum class ResidencyEvent {
    LoadOrdered,
    Loaded,
    LoadFailed,
    RetireStarted,
    /// An entry uses the adapter, or the unload order failed while the engine keeps the adapter.
    RetireRefused,
    Unloaded,
    /// The engine reports that it holds the adapter, or that it does not.
    SeenResident,
    SeenAbsent,
    BackOffOver,
};

/// One adapter on one target as the zone coordinator sees it: a state table in the .cpp, with the back-off of loads
/// that fail.
///
/// Thread safety: used on one thread.
class AdapterResidency
{
public:
    struct Options
    {
        milliseconds firstBackOff = milliseconds(500);
        milliseconds maxBackOff = seconds(60);
    };

    AdapterResidency();
    explicit AdapterResidency(Options options);
    ~AdapterResidency();
    AdapterResidency(AdapterResidency &&other) noexcept;
    AdapterResidency &operator=(AdapterResidency &&other) noexcept;

    /// Returns whether the stage changed. An event that means nothing in the current stage changes nothing, so a reply
    /// that arrives late or twice is harmless.
    bool apply(ResidencyEvent event, TimePoint now);
    [[nodiscard]] ResidencyStage stage() const;
    /// When the stage was entered.
    [[nodiscard]] TimePoint since() const;
    /// When the back-off ends. Precondition: stage() is BackOff.
    [[nodiscard]] TimePoint retryAt() const;

private:
    struct Machine;

    Options m_options;
    std::unique_ptr<Machine> m_machine;
    TimePoint m_since = TimePoint::min();
    TimePoint m_retryAt = TimePoint::min();
    int m_failures = 0;
};

} // namespace tamarackcove
