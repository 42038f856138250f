#pragma once

#include <cstdint>

namespace tamarackcove {

/// The share of an allowance that the leader of the control hosts leases to one entry. Rates are in units per second.
///
/// While the leader answers, an entry uses only `rate` and `burst`, and asks the leader for more. What the entry does
/// not use then, up to `standaloneRate`, is spent by the leader on one-time leases. The leader thus never gives out
/// more than the allowance, and an entry without a leader still has its full part.
struct LeasedShare
{
    /// What the entry may use while the leader answers.
    double rate = 0;
    double burst = 0;
    /// What the entry may use while no leader answers, until the share expires.
    double standaloneRate = 0;
    double standaloneBurst = 0;
    /// What the entry may use after the share has expired.
    double fallbackRate = 0;
    /// How far the entry may overdraw its bucket in a failure. Taken from the reserve for failures.
    double overdraft = 0;
    /// Whether the entry may overdraw its bucket also while the leader answers, because shares that the leader cannot
    /// take back are missing in its pool.
    bool mayOverdraw = false;
    /// The number of entries that hold a share of the allowance, this one included. Tells a new leader whether all of
    /// them have reported.
    std::uint64_t holders = 0;
    /// The part of the requests of the workspace that the entry considers at all. Below 1 while all entries together
    /// are asked for more than the allowance; the same at all entries and for requests of all sizes.
    double admittedPart = 1;

    bool operator==(const LeasedShare &) const = default;
};

} // namespace tamarackcove
