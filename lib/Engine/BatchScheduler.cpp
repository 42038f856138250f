#include "tamarackcove/Engine/BatchScheduler.h"

#include <algorithm>
#include <cassert>

namespace tamarackcove {

BatchScheduler::BatchScheduler(BatchCosts costs)
    : m_costs(costs)
{
    assert(costs.maxBatch > 0 && "maxBatch must be positive");
}

void BatchScheduler::add(BatchSequence sequence)
{
    assert(!m_running.contains(sequence.requestId) && "the request is already in the batch");
    const WaitingKey key{-static_cast<int>(sequence.priority), m_arrivals++};
    m_waiting.emplace(key, std::move(sequence));
}

void BatchScheduler::remove(const std::string &requestId)
{
    m_running.erase(requestId);
    std::erase_if(m_waiting, [&requestId](const auto &entry) { return entry.second.requestId == requestId; });
}

void BatchScheduler::clear()
{
    m_running.clear();
    m_waiting.clear();
}

bool BatchScheduler::hasWork() const
{
    return !m_running.empty() || !m_waiting.empty();
}

BatchScheduler::Step BatchScheduler::beginStep()
{
    assert(hasWork() && "beginStep() requires hasWork()");
    Step step;
    std::size_t prefillTokens = 0;
    while (!m_waiting.empty() && m_running.size() < static_cast<std::size_t>(m_costs.maxBatch)) {
        auto sequence = std::move(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
        prefillTokens += sequence.uncachedPromptTokens;
        step.started.push_back(sequence.requestId);
        auto id = sequence.requestId;
        m_running.emplace(std::move(id), Running{.sequence = std::move(sequence)});
    }
    for (auto &[id, running] : m_running) {
        running.inStep = true;
        step.running.push_back(id);
    }
    const auto count = static_cast<Duration::rep>(m_running.size());
    const auto length = m_costs.stepBase + count * m_costs.stepPerSequence
        + static_cast<Duration::rep>(prefillTokens) * m_costs.prefillPerToken;
    step.length = duration_cast<Duration>(m_slowdown * length);
    ++m_steps;
    m_runningSequenceSteps += m_running.size();
    return step;
}

std::vector<BatchScheduler::ProducedToken> BatchScheduler::finishStep()
{
    std::vector<ProducedToken> produced;
    produced.reserve(m_running.size());
    for (auto entry = m_running.begin(); entry != m_running.end();) {
        auto &running = entry->second;
        if (!running.inStep) {
            ++entry;
            continue;
        }
        running.inStep = false;
        const bool last = running.produced + 1 >= running.sequence.tokens;
        produced.push_back({.requestId = entry->first, .offset = running.produced, .last = last});
        ++running.produced;
        entry = last ? m_running.erase(entry) : std::next(entry);
    }
    return produced;
}

std::size_t BatchScheduler::running() const
{
    return m_running.size();
}

std::size_t BatchScheduler::waiting() const
{
    return m_waiting.size();
}

std::uint64_t BatchScheduler::steps() const
{
    return m_steps;
}

double BatchScheduler::efficiency() const
{
    if (m_steps == 0) {
        return 1;
    }
    return static_cast<double>(m_runningSequenceSteps) / (static_cast<double>(m_steps) * m_costs.maxBatch);
}

void BatchScheduler::setSlowdown(double factor)
{
    m_slowdown = factor;
}

} // namespace tamarackcove
