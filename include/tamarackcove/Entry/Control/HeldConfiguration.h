#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Configuration/ConfigurationDelta.h"
#include "tamarackcove/Configuration/ServingConfiguration.h"
#include "tamarackcove/Wire/WireError.h"

#include <deque>
#include <memory>
#include <optional>

namespace tamarackcove {

/// The configuration of an entry: the one in force, and the newer held revisions, which were received but are not in
/// force yet.
///
/// Neither the newest held revision nor the one in force ever decreases. Only activate() changes the configuration in
/// force, so that the entry can wait until the other entries of its zone have received the revision too. Adapters are
/// stored once; a held revision is stored as its changes, unless it replaces the whole configuration.
/// Thread safety: used on one thread.
class HeldConfiguration
{
public:
    /// Collects the parts of one answer of a control host. Each of several concurrent answers has its own object.
    class Parts
    {
    public:
        /// Adds the next part. Fails when it does not start at the revision where the previous part ended.
        Result<void, WireError> add(ConfigurationDelta part);

    private:
        friend class HeldConfiguration;
        std::optional<ConfigurationDelta> m_changes;
        std::unique_ptr<ServingConfiguration> m_fullConfiguration;
    };

    /// The newest held revision; the one in force when no newer one is held.
    [[nodiscard]] Revision newestRevision() const;
    [[nodiscard]] const ServingConfiguration &inForce() const;
    /// Whether a configuration was ever received. Revision 0, which has no adapters, counts as a configuration.
    [[nodiscard]] bool hasReceivedAny() const;

    /// Holds the revision at which the parts end. Returns false and changes nothing when this revision is not newer
    /// than newestRevision(), or the parts do not start at newestRevision(); the next watch request asks for the
    /// changes after newestRevision().
    bool addRevision(Parts parts);
    /// Records that a control host has no revision newer than 0.
    void recordEmptyConfiguration();

    /// Puts every held revision up to this one in force.
    void activate(Revision revision);

    /// The newest held configuration, built from a copy of the one in force.
    [[nodiscard]] ServingConfiguration copyNewest() const;

private:
    struct PendingRevision
    {
        Revision to;
        ConfigurationDelta changes;
        /// Set when the revision replaces the whole configuration; `changes` is unused then.
        std::unique_ptr<ServingConfiguration> replacement;
    };

    static void apply(PendingRevision &pending, ServingConfiguration &configuration);

    ServingConfiguration m_inForce;
    std::deque<PendingRevision> m_pendingRevisions;
    bool m_hasReceivedAny = false;
};

} // namespace tamarackcove
