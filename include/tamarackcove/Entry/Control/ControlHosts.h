#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace tamarackcove {

/// What an entry knows of the control hosts: which one leads, and which one to try next.
///
/// Thread safety: used on one thread.
class ControlHosts
{
public:
    explicit ControlHosts(std::vector<Endpoint> hosts);

    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] const Endpoint &endpoint(std::size_t host) const;

    /// Notes what a host said of itself.
    void heard(std::size_t host, bool leads, std::uint64_t term, TimePoint now);
    /// Notes that a host refused as not leading, or could not be reached.
    void failed(std::size_t host);

    /// The host that said that it leads in the newest term.
    [[nodiscard]] std::optional<std::size_t> leader() const;
    /// The leader, or the host after the one tried last.
    [[nodiscard]] std::size_t next();
    /// Whether a host that leads was heard since then.
    [[nodiscard]] bool leaderHeardSince(TimePoint then) const;

private:
    struct Host
    {
        Endpoint endpoint;
        bool leads = false;
        std::uint64_t term = 0;
        TimePoint heardAt;
    };

    std::vector<Host> m_hosts;
    std::size_t m_tried = 0;
};

} // namespace tamarackcove
