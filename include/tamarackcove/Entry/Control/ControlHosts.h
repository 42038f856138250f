#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace tamarackcove {

/// The control hosts as an entry sees them: which one leads, and which one to try next.
///
/// Thread safety: used on one thread.
class ControlHosts
{
public:
    explicit ControlHosts(std::vector<Endpoint> hosts);

    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] const Endpoint &endpoint(std::size_t host) const;

    /// Records the status that a host reported at `now`: whether it leads the control group, and its election term.
    void recordStatus(std::size_t host, bool leads, std::uint64_t term, TimePoint now);
    /// Records that a host refused a call because it does not lead, or could not be reached.
    void recordFailure(std::size_t host);

    /// The host that reported that it leads in the newest election term.
    [[nodiscard]] std::optional<std::size_t> leader() const;
    /// Selects the host to try next: the leader, or without one the host after the last selected one.
    /// Precondition: the settings list at least one control host.
    [[nodiscard]] std::size_t selectNext();
    /// Whether a leading host has reported its status at or after `since`.
    [[nodiscard]] bool leaderHeardSince(TimePoint since) const;

private:
    struct Host
    {
        Endpoint endpoint;
        bool leads = false;
        std::uint64_t term = 0;
        TimePoint lastHeardAt;
    };

    std::vector<Host> m_hosts;
    std::size_t m_lastTriedHost = 0;
};

} // namespace tamarackcove
