#include "tamarackcove/Load/TraceGenerator.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>
#include <random>

namespace tamarackcove {

std::string traceAdapter(const TraceSettings &settings, int number)
{
    return fmt::format("{}{:05}@{}", settings.adapterPrefix, number, settings.version);
}

/// Samples adapter numbers from a Zipf distribution. A random permutation assigns an adapter to each popularity rank.
class PopularitySampler
{
public:
    PopularitySampler(int adapters, double exponent, std::mt19937_64 &random)
        : m_adapterOfRank(static_cast<std::size_t>(adapters))
    {
        std::iota(m_adapterOfRank.begin(), m_adapterOfRank.end(), 0);
        std::shuffle(m_adapterOfRank.begin(), m_adapterOfRank.end(), random);
        double sum = 0;
        for (int rank = 1; rank <= adapters; ++rank) {
            sum += 1 / std::pow(rank, exponent);
            m_cumulative.push_back(sum);
        }
    }

    int sample(std::mt19937_64 &random) const
    {
        const auto point = std::uniform_real_distribution<double>(0, m_cumulative.back())(random);
        const auto rank = std::upper_bound(m_cumulative.begin(), m_cumulative.end(), point) - m_cumulative.begin();
        return m_adapterOfRank[std::min(static_cast<std::size_t>(rank), m_adapterOfRank.size() - 1)];
    }

private:
    std::vector<int> m_adapterOfRank;
    std::vector<double> m_cumulative;
};

static double rateAt(const TraceSettings &settings, Duration at)
{
    const bool inBurst = settings.burstEvery > milliseconds(0) && at % settings.burstEvery < settings.burstLength;
    return settings.requestsPerSecond * (inBurst ? settings.burstFactor : 1);
}

static std::string makePrompt(const std::string &key, int words, std::mt19937_64 &random)
{
    constexpr int Vocabulary = 9999;
    std::string prompt = key;
    for (int i = 1; i < words; ++i) {
        prompt += fmt::format(" w{}", std::uniform_int_distribution<int>(0, Vocabulary)(random));
    }
    return prompt;
}

static Priority priorityAt(const TraceSettings &settings, double point)
{
    if (point < settings.highShare) {
        return Priority::High;
    }
    return point < settings.highShare + settings.lowShare ? Priority::Low : Priority::Normal;
}

std::vector<TracedRequest> generateTrace(const TraceSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    const PopularitySampler initialPopularity(settings.adapters, settings.zipfExponent, random);
    const PopularitySampler laterPopularity(settings.adapters, settings.zipfExponent, random);
    std::uniform_real_distribution<double> share(0, 1);
    std::uniform_int_distribution<int> words(settings.minPromptWords, settings.maxPromptWords);
    std::uniform_int_distribution<int> tokens(settings.minAnswerTokens, settings.maxAnswerTokens);
    std::vector<TracedRequest> trace;
    Duration at{0};
    while (true) {
        const std::chrono::duration<double> gap(std::exponential_distribution<double>(rateAt(settings, at))(random));
        at += duration_cast<Duration>(gap);
        if (at >= settings.length) {
            return trace;
        }
        TracedRequest request;
        request.at = at;
        request.key = fmt::format("lg-{}-{}", settings.seed, trace.size());
        const bool usesLaterPopularity = settings.shiftAt > milliseconds(0) && at >= settings.shiftAt;
        const auto adapter = (usesLaterPopularity ? laterPopularity : initialPopularity).sample(random);
        request.service = share(random) < settings.serviceShare;
        request.adapter = request.service ? std::string() : traceAdapter(settings, adapter);
        request.prompt = makePrompt(request.key, words(random), random);
        request.answerTokens = tokens(random);
        request.stream = share(random) < settings.streamShare;
        request.chat = share(random) < settings.chatShare;
        request.repeatable = share(random) >= settings.notRepeatableShare;
        request.priority = priorityAt(settings, share(random));
        trace.push_back(std::move(request));
    }
}

} // namespace tamarackcove
