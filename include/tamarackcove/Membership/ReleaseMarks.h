#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>
#include <utility>
#include <vector>

namespace tamarackcove {

/// What an entry has released to zone coordinators. The unload order of a coordinator that lost its lease may still be
/// under way, so voters hand their marks to the candidate they vote for: it must not offer these adapters before it
/// knows that such orders have ended.
///
/// Thread safety: used on one thread.
class ReleaseMarks
{
public:
    using Pair = std::pair<TargetId, AdapterRef>;

    /// `lifetime` is the longest release plus the longest order.
    ReleaseMarks(TimePoint startedAt, milliseconds lifetime);

    void mark(const Pair &pair, FencingNumber releasedTo, TimePoint now);
    /// A coordinator offers the adapter or has unloaded it, so it knows that no order of an earlier one is under way.
    void clear(const Pair &pair, FencingNumber coordinator);

    [[nodiscard]] std::vector<Pair> active(TimePoint now) const;
    /// Whether this process runs for long enough that no release of the process before it can matter.
    [[nodiscard]] bool complete(TimePoint now) const;
    /// Forgets the marks whose time is over.
    void tick(TimePoint now);

private:
    struct Mark
    {
        FencingNumber releasedTo;
        TimePoint end;
    };

    TimePoint m_startedAt;
    milliseconds m_lifetime;
    std::map<Pair, Mark> m_marks;
};

} // namespace tamarackcove
