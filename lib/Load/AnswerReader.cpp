#include "AnswerReader.h"

#include <nlohmann/json.hpp>

namespace tamarackcove {

static std::string textAt(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

static std::string choiceText(const nlohmann::json &body)
{
    const auto choices = body.find("choices");
    if (choices == body.end() || !choices->is_array() || choices->empty()) {
        return {};
    }
    const auto &choice = choices->front();
    for (const auto *part : {"delta", "message"}) {
        const auto found = choice.find(part);
        if (found != choice.end() && found->is_object()) {
            return textAt(*found, "content");
        }
    }
    return textAt(choice, "text");
}

std::string errorCodeOf(std::string_view body, int status)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    const auto error = json.is_object() ? json.find("error") : json.end();
    if (error != json.end() && error->is_object() && error->contains("code") && (*error)["code"].is_string()) {
        return (*error)["code"].get<std::string>();
    }
    return "status_" + std::to_string(status);
}

void AnswerReader::feedEvents(std::string_view piece, TimePoint now)
{
    m_buffer += piece;
    std::size_t end = 0;
    while ((end = m_buffer.find("\n\n")) != std::string::npos) {
        const auto event = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        constexpr std::string_view Prefix = "data: ";
        const auto data = event.find(Prefix);
        if (data != std::string::npos) {
            parseEvent(std::string_view(event).substr(data + Prefix.size()), now);
        }
    }
}

void AnswerReader::parseEvent(std::string_view data, TimePoint now)
{
    if (data == "[DONE]") {
        m_complete = true;
        return;
    }
    const auto json = nlohmann::json::parse(data, nullptr, false);
    if (!json.is_object()) {
        m_errorCode = "malformed_event";
        return;
    }
    if (json.contains("error")) {
        m_errorCode = errorCodeOf(data, 0);
        return;
    }
    if (m_model.empty()) {
        m_model = textAt(json, "model");
    }
    const auto text = choiceText(json);
    if (!text.empty()) {
        m_text += text;
        m_tokenTimes.push_back(now);
    }
}

void AnswerReader::feedJson(std::string_view body, TimePoint now)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        m_errorCode = "malformed_body";
        return;
    }
    m_model = textAt(json, "model");
    m_text = choiceText(json);
    m_tokenTimes.push_back(now);
    m_complete = true;
}

} // namespace tamarackcove
