#pragma once

#include "tamarackcove/Base/Time.h"

#include <memory>

namespace tamarackcove {

enum class ResidencyStage {
    Absent,
    /// A load order is in progress.
    Loading,
    Resident,
    /// The entries are asked to release the adapter, or the unload order is in progress.
    Retiring,
    /// A load of the adapter on the target failed; no further load is ordered there until retryAt().
    BackOff,
};

enum class ResidencyEvent {
    LoadOrdered,
    Loaded,
    LoadFailed,
    RetireStarted,
    /// The retirement failed: requests of an entry still use the adapter, or the unload order failed and the engine
    /// still holds the adapter.
    RetireAborted,
    Unloaded,
    /// A report of the engine lists the adapter as resident.
    ReportedResident,
    /// A report of the engine does not list the adapter.
    ReportedAbsent,
    BackOffExpired,
};

/// The residency of one adapter on one target as known to the zone coordinator: a state machine, whose transition table
/// is in the .cpp. Failed loads have an exponential back-off that applies to this adapter and target only.
///
/// Thread safety: used on one thread.
class AdapterResidency
{
public:
    struct Options
    {
        /// Back-off after the first failed load; doubled with each consecutive failure, up to maxBackOff.
        milliseconds firstBackOff = milliseconds(500);
        milliseconds maxBackOff = seconds(60);
    };

    AdapterResidency();
    explicit AdapterResidency(Options options);
    ~AdapterResidency();
    AdapterResidency(AdapterResidency &&other) noexcept;
    AdapterResidency &operator=(AdapterResidency &&other) noexcept;

    /// Returns whether the stage changed. An event without a transition from the current stage is ignored, so that late
    /// and duplicate replies are harmless.
    bool apply(ResidencyEvent event, TimePoint now);
    [[nodiscard]] ResidencyStage stage() const;
    /// When the current stage was entered.
    [[nodiscard]] TimePoint stageEnteredAt() const;
    /// When the back-off ends. Precondition: stage() is BackOff.
    [[nodiscard]] TimePoint retryAt() const;

private:
    struct StateMachine;

    Options m_options;
    std::unique_ptr<StateMachine> m_stateMachine;
    TimePoint m_stageEnteredAt = TimePoint::min();
    TimePoint m_retryAt = TimePoint::min();
    int m_consecutiveFailures = 0;
};

} // namespace tamarackcove
