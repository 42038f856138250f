#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <string>
#include <vector>

namespace tamarackcove {

/// What may happen to a request whose outcome is not known.
enum class RequestKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    NotRepeatable,
    /// Answered by a stream of numbered events; runs at most once unless the route allows to resume it.
    Stream,
};

/// A service that takes a share of the requests of a route.
struct ServiceShare
{
    ServiceName service;
    unsigned weight = 1;
};

/// Which requests go to which services, and under which limits.
struct RouteRule
{
    std::string name;
    /// In lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::NotRepeatable;
    /// A request is answered within this time at the latest.
    milliseconds timeout{0};
    /// An answer (a stream: its first event) within this time has its full value.
    milliseconds goal{0};
    /// Longest pause between two events for which a stream is still on time; zero for other kinds.
    milliseconds eventGapGoal{0};
    /// 0 is the most urgent.
    int rank = 0;
    std::vector<ServiceShare> services;
    /// To how many servers one request may be sent.
    int maxServers = 1;
    /// Whether a stream that broke off may go on at another server.
    bool resumable = false;

    /// Whether a request that may have run may be sent again.
    [[nodiscard]] bool repeatable() const
    {
        return kind == RequestKind::Repeatable || (kind == RequestKind::Stream && resumable);
    }
};

} // namespace tamarackcove
