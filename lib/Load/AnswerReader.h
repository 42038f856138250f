#pragma once

#include "tamarackcove/Base/Time.h"

#include <string>
#include <string_view>
#include <vector>

namespace tamarackcove {

/// Puts an answer together from a JSON body or from server-sent events.
///
/// Thread safety: used on one thread.
class AnswerReader
{
public:
    /// Takes the next part of an event stream.
    void feedEvents(std::string_view piece, TimePoint now);
    /// Takes a whole JSON response.
    void feedJson(std::string_view body, TimePoint now);

    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }
    /// Whether the stream said that it is complete.
    [[nodiscard]] bool done() const
    {
        return m_done;
    }
    /// The code of an error event, or empty.
    [[nodiscard]] const std::string &errorCode() const
    {
        return m_errorCode;
    }
    /// The model that the answer names, or empty.
    [[nodiscard]] const std::string &model() const
    {
        return m_model;
    }
    [[nodiscard]] const std::vector<TimePoint> &tokenTimes() const
    {
        return m_tokenTimes;
    }

private:
    void takeEvent(std::string_view data, TimePoint now);

    std::string m_buffer;
    std::string m_text;
    std::string m_errorCode;
    std::string m_model;
    std::vector<TimePoint> m_tokenTimes;
    bool m_done = false;
};

/// The code in an error body, or `status_<status>` when there is none. Thread safe.
[[nodiscard]] std::string errorCodeOf(std::string_view body, int status);

} // namespace tamarackcove
