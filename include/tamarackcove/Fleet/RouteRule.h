#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <string>
#include <vector>

namespace tamarackcove {

/// Whether a request whose outcome is unknown may be sent again.
enum class RequestKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    NotRepeatable,
    /// Answered by a stream of numbered events. Runs at most once, unless the route allows streams to be resumed.
    Stream,
};

/// A service that takes a part of the requests of a route, in proportion to its weight.
struct ServiceShare
{
    ServiceName service;
    unsigned weight = 1;
};

/// Maps the requests for one HTTP host and path prefix to services, and sets the limits of these requests.
struct RouteRule
{
    std::string name;
    /// In lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::NotRepeatable;
    /// Time from the arrival of a request at the entry after which it fails if it has not been answered.
    milliseconds timeout{0};
    /// Latency goal for the answer, or for the first event of a stream. A later answer counts for less.
    milliseconds goal{0};
    /// Latency goal for the gap between two events of a stream; zero for other kinds.
    milliseconds eventGapGoal{0};
    /// Urgency of the requests; 0 is the most urgent.
    int priority = 0;
    std::vector<ServiceShare> services;
    /// Number of servers at which one request may run, one after another. A server that has refused the request without
    /// running it does not count.
    int maxServers = 1;
    /// Whether requests need no key of a workspace.
    bool isPublic = false;
    /// Whether a stream that broke off may be continued by another server.
    bool resumable = false;

    /// Whether a request that may have run may be sent again.
    [[nodiscard]] bool repeatable() const
    {
        return kind == RequestKind::Repeatable || (kind == RequestKind::Stream && resumable);
    }
};

} // namespace tamarackcove
