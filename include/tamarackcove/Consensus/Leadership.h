#pragma once

namespace tamarackcove {

/// Whether a replica may act as the leader of its group.
enum class Leadership {
    /// It is not the leader, or has not yet caught up with its predecessors, or hands its leadership over.
    None,
    /// It is the leader of its term, but its lease has expired: another replica may have become leader. If the lease
    /// becomes valid again in the same term, there was no other leader in between.
    Suspended,
    Held,
};

} // namespace tamarackcove
