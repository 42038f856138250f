#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace tamarackcove {

/// Returned when no control host gave a final answer to a request.
struct UnreachableError
{
    std::string detail;
    /// Whether a control host may have carried out the request although no answer arrived.
    bool mayHaveTakenEffect = false;
};

/// Sends requests to the administration API. Tries the control hosts in turn, follows redirects to the leader, and
/// sends a request again when its answer was lost or no leader is known yet.
///
/// Every request that changes state carries a command id, so sending it again has no second effect.
/// Thread safety: used on one thread.
class ControlApi
{
public:
    struct Options
    {
        std::vector<Endpoint> hosts;
        /// Limit for each connect, write and read of one attempt.
        milliseconds attemptTimeout = seconds(3);
        /// Time from the start of send() after which no further attempt starts.
        milliseconds timeout = seconds(15);
        /// Delay before all hosts are tried in turn again, and before each further redirect in a row after the first.
        milliseconds retryDelay{200};
    };

    /// Precondition: there is at least one host.
    explicit ControlApi(Options options);

    /// Returns the first answer that is neither a redirect to the leader nor status 503 or 504.
    boost::asio::awaitable<Result<HttpResponse, UnreachableError>> send(HttpRequest request);

private:
    Options m_options;
};

} // namespace tamarackcove
