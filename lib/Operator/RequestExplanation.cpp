#include "tamarackcove/Operator/RequestExplanation.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <iomanip>
#include <set>
#include <sstream>
#include <string_view>

namespace tamarackcove {

/// Events of an adapter, a server or a process from this long before the first line of a request are included, because
/// they can explain the outcome of the request.
static constexpr milliseconds LookBackTime{5000};

/// Events that change the state of a process independently of any request.
static constexpr std::array<std::string_view, 13> ProcessEvents{
    "started",           "drained",       "readiness",        "control_lost",     "control_connected",
    "control_leads",     "stopping",      "order_duty_begun", "order_duty_ended", "configuration_in_force",
    "log_lines_dropped", "control_fatal", "process_ended",
};

RequestExplanation::RequestExplanation(std::string request)
    : m_request(std::move(request))
{
}

std::string RequestExplanation::Line::field(const std::string &key) const
{
    const auto found = fields.find(key);
    return found == fields.end() ? std::string() : found->second;
}

/// Parses `key=value` pairs; values may be quoted.
static std::map<std::string, std::string> parseFields(std::string_view text)
{
    std::map<std::string, std::string> fields;
    while (!text.empty()) {
        const auto equals = text.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        const auto begin = text.rfind(' ', equals);
        const std::string key(text.substr(begin == std::string_view::npos ? 0 : begin + 1,
                                          equals - (begin == std::string_view::npos ? 0 : begin + 1)));
        text.remove_prefix(equals + 1);
        std::string value;
        if (!text.empty() && text.front() == '"') {
            std::size_t i = 1;
            for (; i < text.size() && text[i] != '"'; ++i) {
                if (text[i] == '\\' && i + 1 < text.size()) {
                    ++i;
                }
                value += text[i];
            }
            text.remove_prefix(std::min(text.size(), i + 1));
        } else {
            value = std::string(text.substr(0, text.find(' ')));
            text.remove_prefix(value.size());
        }
        fields[key] = std::move(value);
    }
    return fields;
}

bool RequestExplanation::parse(const std::string &text, Line &line)
{
    const auto begin = text.find("time=");
    if (begin == std::string::npos) {
        return false;
    }
    // A log collector may put a prefix before the line. The last word of the prefix is the name of the host.
    const auto prefix = std::string_view(text).substr(0, begin);
    const auto end = prefix.find_last_not_of(" \t|:");
    if (end != std::string_view::npos) {
        const auto word = prefix.find_last_of(" \t", end);
        const auto first = word == std::string_view::npos ? 0 : word + 1;
        line.source = std::string(prefix.substr(first, end + 1 - first));
    }
    line.fields = parseFields(std::string_view(text).substr(begin));
    std::tm parts{};
    std::istringstream stamp(line.field("time"));
    char dot = 0;
    int fractionMs = 0;
    stamp >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> dot >> fractionMs;
    if (stamp.fail()) {
        return false;
    }
    line.time = std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::from_time_t(::timegm(&parts)))
        + milliseconds(fractionMs);
    line.text = text.substr(std::min(text.size(), text.find(' ', begin) + 1));
    return true;
}

void RequestExplanation::read(const std::string &source, std::istream &log)
{
    std::string text;
    while (std::getline(log, text)) {
        Line line;
        line.source = source;
        if (parse(text, line)) {
            m_lines.push_back(std::move(line));
        }
    }
}

std::vector<const RequestExplanation::Line *> RequestExplanation::relatedLines() const
{
    std::set<std::string> sources;
    std::set<std::string> servers;
    std::set<std::string> adapters;
    std::vector<const Line *> requestLines;
    for (const auto &line : m_lines) {
        if (line.field("request") != m_request) {
            continue;
        }
        requestLines.push_back(&line);
        sources.insert(line.source);
        servers.insert(line.field("server"));
        adapters.insert(line.field("adapter"));
    }
    servers.erase("");
    adapters.erase("");
    if (requestLines.empty()) {
        return requestLines;
    }
    const auto byTime = [](const Line *a, const Line *b) {
        return a->time < b->time;
    };
    std::stable_sort(requestLines.begin(), requestLines.end(), byTime);
    const auto first = requestLines.front()->time - LookBackTime;
    const auto last = requestLines.back()->time;
    auto all = requestLines;
    for (const auto &line : m_lines) {
        if (line.time < first || line.time > last || line.fields.contains("request")) {
            continue;
        }
        const auto event = line.field("event");
        const bool isProcessEvent = sources.contains(line.source)
            && std::find(ProcessEvents.begin(), ProcessEvents.end(), event) != ProcessEvents.end();
        const bool isDutyEvent = event == "order_duty_begun" || event == "order_duty_ended";
        const bool concernsAdapter = adapters.contains(line.field("adapter"));
        const bool concernsServer = line.field("adapter").empty() && servers.contains(line.field("server"));
        if (isProcessEvent || isDutyEvent || concernsAdapter || concernsServer) {
            all.push_back(&line);
        }
    }
    std::stable_sort(all.begin(), all.end(), byTime);
    return all;
}

bool RequestExplanation::write(std::ostream &out) const
{
    const auto lines = relatedLines();
    if (lines.empty()) {
        return false;
    }
    const Line *end = nullptr;
    const Line *cause = nullptr;
    for (const auto *line : lines) {
        out << line->field("time") << ' ' << line->source << ' ' << line->text << '\n';
        if (line->field("request") != m_request) {
            continue;
        }
        const auto event = line->field("event");
        if (event == "request_ended") {
            end = line;
        } else if (event == "request_refused" || event == "stream_cut" || event == "server_answer_lost"
                   || event == "server_failed" || event == "retry_refused") {
            cause = line;
        }
    }
    if (end == nullptr) {
        out << "the log does not tell how the request ended\n";
        return true;
    }
    out << "outcome: " << end->field("outcome");
    if (!end->field("reason").empty()) {
        out << " (" << end->field("reason") << ')';
    }
    out << " after " << end->field("after_ms") << " ms, sent to servers " << end->field("sent") << " times, waited "
        << end->field("waited_ms") << " ms for its adapter\n";
    if (cause != nullptr && end->field("outcome") != "answered") {
        const auto detail = cause->field("detail").empty() ? cause->field("reason") : cause->field("detail");
        out << "cause: " << cause->field("event") << ", " << detail << '\n';
    }
    return true;
}

} // namespace tamarackcove
