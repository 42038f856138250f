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

/// How long one step of the batch takes.
struct BatchCosts
{
    int maxBatch = 8;
    Duration stepBase = milliseconds(0);
    Duration stepPerSequence = milliseconds(0);
    /// For each prompt token that the prefix cache does not hold, in the step that starts the sequence.
    Duration prefillPerToken = milliseconds(0);
};

/// A request as the batch sees it.
struct BatchSequence
{
    std::string requestId;
    Priority priority = Priority::Normal;
    std::size_t tokens = 1;
    std::size_t uncachedPromptTokens = 0;
};

/// Continuous batching in virtual time: in each step every running sequence makes one token, and waiting sequences
/// take free places by priority and then by arrival.
///
/// Thread safety: used on one thread.
class BatchScheduler
{
public:
    struct Step
    {
        Duration length{0};
        /// Sequences in their first step.
        std::vector<std::string> started;
        std::vector<std::string> running;
    };
    struct Produced
    {
        std::string requestId;
        std::size_t offset = 0;
        bool last = false;
    };

    explicit BatchScheduler(BatchCosts costs);

    /// Precondition: no sequence of this request id is in the batch or waiting.
    void add(BatchSequence sequence);
    /// Removes a sequence wherever it is. Does nothing when it is unknown.
    void remove(const std::string &requestId);
    void clear();

    [[nodiscard]] bool hasWork() const;
    /// Fills free places and counts the step. Precondition: hasWork().
    Step beginStep();
    /// One token for each sequence that ran in the step and was not removed since. Precondition: beginStep().
    std::vector<Produced> finishStep();

    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] std::uint64_t steps() const;
    /// Sum of running sequences over all steps, divided by places times steps; 1 before the first step.
    [[nodiscard]] double efficiency() const;
    void setSlowdown(double factor);

private:
    struct Running
    {
        BatchSequence sequence;
        std::size_t produced = 0;
        bool inStep = false;
    };
    /// Negative priority first, so that a higher priority sorts before a lower one.
    using WaitingKey = std::tuple<int, std::uint64_t>;

    BatchCosts m_costs;
    double m_slowdown = 1;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_steps = 0;
    std::uint64_t m_runningSum = 0;
    std::map<WaitingKey, BatchSequence> m_waiting;
    std::map<std::string, Running> m_running;
};

} // namespace tamarackcove
