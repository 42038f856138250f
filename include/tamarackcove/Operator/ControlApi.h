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

/// Why the administration API gave no answer.
struct UnreachableError
{
    std::string detail;
    /// Whether a control host may have carried out the request.
    bool maybeDone = false;
};

/// Sends requests to the administration API: tries the control hosts in turn, follows redirects to the leader, and
/// sends a request again when its answer was lost or no leader is known yet.
///
/// A request that changes something carries a command id, so sending it again has no second effect.
/// Thread safety: used on one thread.
class ControlApi
{
public:
    struct Options
    {
        std::vector<Endpoint> hosts;
        /// For one try.
        milliseconds tryTimeout = seconds(3);
        /// Over all tries.
        milliseconds timeout = seconds(15);
        milliseconds pause{200};
    };

    /// Precondition: there is at least one host.
    explicit ControlApi(Options options);

    /// Returns the first answer that is neither a redirect nor a request to try again.
    boost::asio::awaitable<Result<HttpResponse, UnreachableError>> send(HttpRequest request);

private:
    Options m_options;
};

} // namespace tamarackcove
