#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Configuration/ServingConfiguration.h"
#include "tamarackcove/Entry/Control/ControlOptions.h"
#include "tamarackcove/Entry/ControlCalls.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace tamarackcove {

class Supervisor;

/// An entry's link to the control group. One task for each control host watches the configuration; calls go to the
/// leader.
///
/// A revision is held when this entry has received it; it is in force once activate() has been called for it or a newer
/// one.
///
///     ControlLink link(root, options, {.onRevisionHeld = [&](Revision held) { zone.announceHeldRevision(held); }});
///     link.start();                                     // adds its tasks to the supervisor
///     ... zone hooks: onActivate = [&](Revision revision) { link.activate(revision); }
///     ... routing reads link.inForce()
///
/// The revisions held and in force never decrease. Thread safety: used on the thread of the supervisor's executor.
class ControlLink
{
public:
    struct Hooks
    {
        /// Called when a newer revision is held. If not set, a held revision is put in force at once.
        std::function<void(Revision held)> onRevisionHeld;
        /// Called when the configuration in force has changed, and when a new system reports revision 0 as its first.
        std::function<void(const ServingConfiguration &inForce)> onInForceChanged;
    };

    /// Precondition: the supervisor outlives this object and is stopped before it is destroyed.
    ControlLink(Supervisor &supervisor, ControlOptions options, Hooks hooks);
    ~ControlLink();
    ControlLink(const ControlLink &) = delete;
    ControlLink &operator=(const ControlLink &) = delete;

    /// Adds one task for each control host to the supervisor.
    void start();

    /// Puts every held revision up to this one in force.
    void activate(Revision revision);
    [[nodiscard]] const ServingConfiguration &inForce() const;
    /// The newest held revision.
    [[nodiscard]] Revision heldRevision() const;
    /// Whether a configuration was ever received, from the control group or a peer.
    [[nodiscard]] bool hasConfiguration() const;

    /// The newest held configuration, encoded for importFromPeer() of another entry; std::nullopt before any was
    /// received.
    [[nodiscard]] std::optional<std::pair<Revision, std::string>> exportNewest() const;
    /// Holds the configuration that a peer exported, if it is newer. Returns false when the bytes are malformed.
    bool importFromPeer(const std::string &bytes);

    /// The calls to the control group. The functions may be called only while this object exists.
    [[nodiscard]] ControlCalls calls();

    /// Bytes sent and received so far on the connections that watch the configuration.
    [[nodiscard]] std::uint64_t watchBytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
