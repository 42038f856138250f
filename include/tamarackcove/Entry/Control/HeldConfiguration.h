#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Configuration/ConfigurationDelta.h"
#include "tamarackcove/Configuration/ServingConfiguration.h"
#include "tamarackcove/Wire/WireError.h"

#include <deque>
#include <memory>
#include <optional>

namespace tamarackcove {

/// The configuration of an entry: the one in force, and the newer revisions that it holds but that are not in force
/// yet.
///
/// It never goes back to an older revision. What is in force changes only by activate(), so the entry can first make
/// sure that its zone holds the revision. Adapters are kept once; a held revision costs only its changes, unless it
/// replaces everything.
/// Thread safety: used on one thread.
class HeldConfiguration
{
public:
    /// Collects the parts of one answer of a control host. Parts of another answer may be collected at the same time.
    class Parts
    {
    public:
        /// Adds a part in its order.
        Result<void, WireError> add(ConfigurationDelta part);

    private:
        friend class HeldConfiguration;
        std::optional<ConfigurationDelta> m_changes;
        std::unique_ptr<ServingConfiguration> m_whole;
    };

    /// The newest revision that is held.
    [[nodiscard]] Revision newest() const;
    [[nodiscard]] const ServingConfiguration &inForce() const;
    /// Whether any configuration was ever held; revision 0 is one without adapters.
    [[nodiscard]] bool hasAny() const;

    /// Holds what the parts lead to. Returns false, and changes nothing, when that is not newer than what is held or
    /// starts from another revision; the next watch asks for the right changes.
    bool hold(Parts parts);
    /// Notes that a control host has nothing newer than revision 0.
    void holdEmpty();

    /// Puts every held revision up to this one in force.
    void activate(Revision revision);

    /// The newest held configuration. Copies what is in force.
    [[nodiscard]] ServingConfiguration copyNewest() const;

private:
    struct Step
    {
        Revision to;
        ConfigurationDelta changes;
        /// Set when the step replaces everything.
        std::unique_ptr<ServingConfiguration> whole;
    };

    static void apply(Step &step, ServingConfiguration &configuration);

    ServingConfiguration m_inForce;
    std::deque<Step> m_steps;
    bool m_hasAny = false;
};

} // namespace tamarackcove
