#pragma once

#include "tamarackcove/Operator/RequestExplanation.h"

#include <doctest/doctest.h>
#include <memory>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>
#include <sstream>
#include <string>

namespace tamarackcove::test {

/// Captures all log lines of this process during its lifetime.
class LogCapture
{
public:
    LogCapture()
        : m_before(spdlog::default_logger())
    {
        auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(m_text);
        auto logger = std::make_shared<spdlog::logger>("capture", std::move(sink));
        logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l process=%n %v");
        spdlog::set_default_logger(std::move(logger));
    }
    ~LogCapture()
    {
        spdlog::set_default_logger(m_before);
    }
    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    /// The explanation of one request that RequestExplanation derives from the captured log lines.
    std::string explain(const std::string &request)
    {
        RequestExplanation explanation(request);
        std::istringstream log(m_text.str());
        explanation.read("log", log);
        std::ostringstream out;
        const bool found = explanation.write(out);
        CHECK(found);
        return out.str();
    }

    /// The captured log lines.
    [[nodiscard]] std::string text() const
    {
        return m_text.str();
    }

private:
    std::shared_ptr<spdlog::logger> m_before;
    std::ostringstream m_text;
};

} // namespace tamarackcove::test
