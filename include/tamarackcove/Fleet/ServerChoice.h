#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Fleet/ChoiceReason.h"

#include <cstddef>
#include <random>
#include <span>

namespace tamarackcove {

class LoadEstimate;

/// Chooses a server for a request where many entries choose at the same time by the same report. The choice is random,
/// so that the entries do not all choose the least loaded server: the probability of a server is proportional to its
/// slots and falls with its load. The report counts for less as it ages, until all servers count as equally loaded.
///
/// The own zone is preferred, because bytes between zones cost money. A request for which a server of the own zone was
/// drawn is drawn again over all zones the more likely, the longer the wait there is expected to be than in other
/// zones, and always once the difference is a tenth of its goal.
///
/// Thread safety: has no state.
class ServerChoice
{
public:
    struct Candidate
    {
        /// At least 1.
        int slots = 1;
        bool inOwnZone = false;
        /// Whether a connection to the server is open and idle.
        bool connected = false;
        /// Weight of the requests of this entry in progress.
        double ownLoad = 0;
        /// How many times as long as usual the server takes; at least 1.
        double slowness = 1;
        /// The load of the other entries, and the experience of this one. Not null.
        const LoadEstimate *estimate = nullptr;
        /// Set by choose(): the expected load per slot, and the probability relative to the other candidates.
        double load = 0;
        double weight = 0;
    };
    struct Inputs
    {
        /// Latency goal of the request; zero if it has none.
        milliseconds goal{0};
        /// How long a request of the service is usually in progress; zero if not known.
        Duration usualDuration{0};
        /// How long the first event or the answer usually takes without a wait; zero if not known.
        Duration usualFirstAnswer{0};
        /// Age of the report from which the loads are taken.
        Duration reportAge{0};
    };
    struct Result
    {
        std::size_t index = 0;
        ChoiceReason reason = ChoiceReason::OwnZone;
    };

    /// How much a report of this age counts, from 1 to 0.
    [[nodiscard]] static double trustIn(Duration reportAge);
    /// How long a request is expected to wait for a slot at a server with this load per slot, if requests are in
    /// progress for `duration` on average. The load varies about the estimate as a Poisson number does.
    [[nodiscard]] static Duration expectedWait(double load, int slots, Duration duration);
    /// Sets the load and the weight of each candidate and draws one of them. Precondition: there is a candidate.
    [[nodiscard]] static Result choose(std::span<Candidate> candidates, const Inputs &inputs, TimePoint now,
                                       std::mt19937_64 &random);

private:
    /// Expected time until the first event or the answer. Precondition: the load is set.
    [[nodiscard]] static Duration expectedTime(const Candidate &candidate, const Inputs &inputs);
    static void estimateLoads(std::span<Candidate> candidates, const Inputs &inputs, TimePoint now);
    /// Draws a candidate by the weights. Precondition: one has a weight, in the own zone if only that counts.
    [[nodiscard]] static std::size_t draw(std::span<const Candidate> candidates, bool onlyOwnZone,
                                          std::mt19937_64 &random);
    /// How likely a request for which this server of the own zone was drawn is drawn again over all zones.
    [[nodiscard]] static double chanceToLeave(const Candidate &own, std::span<const Candidate> candidates,
                                              const Inputs &inputs);
};

} // namespace tamarackcove
