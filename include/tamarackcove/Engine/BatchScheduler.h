#pragma once

#include "tamarackcove/Base/Priority.h"
#include "tamarackcove/Base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace tamarackcove {

/// Size of the batch and the time that one step takes.
struct BatchCosts
{
    int maxBatch = 8;
    Duration stepBase = milliseconds(0);
    Duration stepPerSequence = milliseconds(0);
    /// Time for each prompt token that is not in the prefix cache, added to the first step of the sequence.
    Duration prefillPerToken = milliseconds(0);
};

/// What the batch scheduler needs to know about a request.
struct BatchSequence
{
    std::string requestId;
    Priority priority = Priority::Normal;
    /// Number of tokens to generate.
    std::size_t tokens = 1;
    std::size_t uncachedPromptTokens = 0;
};

/// Continuous batching in virtual time: each step generates one token for every running sequence. Waiting sequences are
/// admitted to free batch slots by priority and then by arrival.
///
/// Thread safety: used on one thread.
class BatchScheduler
{
public:
    struct Step
    {
        Duration length{0};
        /// Request ids of the sequences for which this is the first step.
        std::vector<std::string> started;
        std::vector<std::string> running;
    };
    struct ProducedToken
    {
        std::string requestId;
        std::size_t offset = 0;
        bool last = false;
    };

    explicit BatchScheduler(BatchCosts costs);

    /// Precondition: no sequence of this request id is in the batch or waiting.
    void add(BatchSequence sequence);
    /// Removes a running or waiting sequence. Does nothing if there is none with this request id.
    void remove(const std::string &requestId);
    void clear();

    [[nodiscard]] bool hasWork() const;
    /// Starts waiting sequences in the free batch slots and counts the step. Precondition: hasWork().
    Step beginStep();
    /// Returns one token for each sequence that ran in the step and has not been removed since. Precondition:
    /// beginStep() was called.
    std::vector<ProducedToken> finishStep();

    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] std::uint64_t steps() const;
    /// Mean share of the batch slots that were in use, over all steps; 1 before the first step.
    [[nodiscard]] double efficiency() const;
    /// Sets the factor by which the length of each later step is multiplied; 1 is full speed.
    void setSlowdown(double factor);

private:
    struct Running
    {
        BatchSequence sequence;
        std::size_t produced = 0;
        bool inStep = false;
    };
    /// Negated priority and arrival number; the negation sorts higher priorities first.
    using WaitingKey = std::tuple<int, std::uint64_t>;

    BatchCosts m_costs;
    double m_slowdown = 1;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_steps = 0;
    std::uint64_t m_runningSequenceSteps = 0;
    std::map<WaitingKey, BatchSequence> m_waiting;
    std::map<std::string, Running> m_running;
};

} // namespace tamarackcove
