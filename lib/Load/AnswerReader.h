#pragma once

#include "tamarackcove/Base/Time.h"

#include <string>
#include <string_view>
#include <vector>

namespace tamarackcove {

/// Assembles an answer from a JSON body or from server-sent events.
///
/// Thread safety: used on one thread.
class AnswerReader
{
public:
    /// Parses the next piece of an event stream, which arrived at `now`.
    void feedEvents(std::string_view piece, TimePoint now);
    /// Parses a whole JSON response, which arrived at `now`.
    void feedJson(std::string_view body, TimePoint now);

    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }
    /// Whether the stream has ended with its `[DONE]` event, or a JSON response was parsed.
    [[nodiscard]] bool isComplete() const
    {
        return m_complete;
    }
    /// The code of an error event, `malformed_event` or `malformed_body`; empty when there was no error.
    [[nodiscard]] const std::string &errorCode() const
    {
        return m_errorCode;
    }
    /// The model named in the answer, or empty.
    [[nodiscard]] const std::string &model() const
    {
        return m_model;
    }
    /// Arrival times of the events with text, or of the JSON response.
    [[nodiscard]] const std::vector<TimePoint> &tokenTimes() const
    {
        return m_tokenTimes;
    }

private:
    void parseEvent(std::string_view data, TimePoint now);

    std::string m_buffer;
    std::string m_text;
    std::string m_errorCode;
    std::string m_model;
    std::vector<TimePoint> m_tokenTimes;
    bool m_complete = false;
};

/// The error code in the JSON body of an error response, or `status_<status>` when there is none. Thread safe.
[[nodiscard]] std::string errorCodeOf(std::string_view body, int status);

} // namespace tamarackcove
