#pragma once

#include <boost/outcome.hpp>

namespace tamarackcove {

/// A value of type T, or the error E of the layer that returns it. Accessing the
/// one that is not present terminates the process.
template<typename T, typename E>
using Result = boost::outcome_v2::basic_result<T, E, boost::outcome_v2::policy::terminate>;

/// Success of a function that returns Result<void, E>: `return ok();`
[[nodiscard]] inline auto ok()
{
    return boost::outcome_v2::success();
}

} // namespace tamarackcove
