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

/// An entry's link to the control group: one task for each control host watches the configuration; calls go to the
/// leader.
///
///     ControlLink link(root, options, {.onHeld = [&](Revision held) { zone.holdRevision(held); }});
///     link.start();                                     // adds its tasks to the supervisor
///     ... zone hooks: onActivate = [&](Revision revision) { link.activate(revision); }
///     ... routing reads link.inForce()
///
/// It never goes back to an older revision. Thread safety: used on the thread of the supervisor's executor.
class ControlLink
{
public:
    struct Hooks
    {
        /// Called when a newer revision is held. When it is not set, a held revision is in force at once.
        std::function<void(Revision held)> onHeld;
        /// Called when the configuration in force has changed, also to revision 0 of a new system.
        std::function<void(const ServingConfiguration &inForce)> onInForce;
    };

    /// Precondition: the supervisor outlives this object and is stopped before it is destroyed.
    ControlLink(Supervisor &supervisor, ControlOptions options, Hooks hooks);
    ~ControlLink();
    ControlLink(const ControlLink &) = delete;
    ControlLink &operator=(const ControlLink &) = delete;

    void start();

    /// Puts every held revision up to this one in force.
    void activate(Revision revision);
    [[nodiscard]] const ServingConfiguration &inForce() const;
    [[nodiscard]] Revision held() const;
    /// Whether a configuration was ever received, from the control group or a peer.
    [[nodiscard]] bool hasConfiguration() const;

    /// The newest held configuration as opaque bytes for a peer, when there is one.
    [[nodiscard]] std::optional<std::pair<Revision, std::string>> exportHeld() const;
    /// Holds what a peer exported, if it is newer. Returns false when the bytes are malformed.
    bool importFromPeer(const std::string &bytes);

    /// The functions stay valid as long as this object.
    [[nodiscard]] ControlCalls calls();

    /// Bytes of all watching connections so far, both ways.
    [[nodiscard]] std::uint64_t watchBytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
