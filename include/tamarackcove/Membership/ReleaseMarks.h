#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>
#include <utility>
#include <vector>

namespace tamarackcove {

/// What an entry has released to a zone coordinator. The unload order of a coordinator that lost its lease may still
/// be under way, so its successor must not offer the adapter on that target before the order has ended. Voters hand
/// their marks to the candidate they vote for, and entries keep to their own ones.
///
/// Thread safety: used on one thread.
class ReleaseMarks
{
public:
    using Pair = std::pair<TargetId, AdapterRef>;

    /// `lifetime` is the longest lease plus the longest order.
    explicit ReleaseMarks(milliseconds lifetime);

    void mark(const Pair &pair, FencingNumber releasedTo, TimePoint now);
    /// The coordinator that it was released to no longer evicts it, or has done so. A mark of another one stays.
    void clear(const Pair &pair, FencingNumber releasedTo);

    /// Whether a coordinator other than the one of this number may have an unload order under way.
    [[nodiscard]] bool blocks(const Pair &pair, FencingNumber number, TimePoint now) const;
    [[nodiscard]] std::vector<Pair> active(TimePoint now) const;
    /// Forgets the marks whose time is over and returns their pairs.
    [[nodiscard]] std::vector<Pair> takeEnded(TimePoint now);

private:
    struct Mark
    {
        FencingNumber releasedTo;
        TimePoint end;
    };

    milliseconds m_lifetime;
    std::map<Pair, Mark> m_marks;
};

} // namespace tamarackcove
