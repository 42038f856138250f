#include "tamarackcove/Entry/Targets/Announcements.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <vector>

namespace tamarackcove {

namespace {

/// Reads typed fields of a JSON object and keeps the first error.
class FieldReader
{
public:
    explicit FieldReader(const nlohmann::json &json)
        : m_json(json)
    {
    }

    std::string text(const char *key, bool required)
    {
        const auto *value = find(key, required);
        if (value == nullptr) {
            return {};
        }
        if (!value->is_string()) {
            fail(key, "must be a string");
            return {};
        }
        return value->get<std::string>();
    }

    std::uint64_t number(const char *key, std::uint64_t fallback, std::uint64_t highest, bool required)
    {
        const auto *value = find(key, required);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_number_unsigned() || value->get<std::uint64_t>() > highest) {
            fail(key, "must be an integer from 0 to " + std::to_string(highest));
            return fallback;
        }
        return value->get<std::uint64_t>();
    }

    int count(const char *key, int fallback)
    {
        return static_cast<int>(
            number(key, static_cast<std::uint64_t>(fallback), std::numeric_limits<int>::max(), false));
    }

    bool flag(const char *key)
    {
        const auto *value = find(key, false);
        if (value == nullptr) {
            return false;
        }
        if (!value->is_boolean()) {
            fail(key, "must be true or false");
            return false;
        }
        return value->get<bool>();
    }

    std::vector<std::string> texts(const char *key)
    {
        const auto *value = find(key, false);
        if (value == nullptr) {
            return {};
        }
        std::vector<std::string> read;
        if (value->is_array()) {
            for (const auto &item : *value) {
                if (item.is_string()) {
                    read.push_back(item.get<std::string>());
                }
            }
        }
        if (!value->is_array() || read.size() != value->size()) {
            fail(key, "must be a list of strings");
        }
        return read;
    }

    void fail(const char *key, const std::string &reason)
    {
        if (m_error.empty()) {
            m_error = std::string(key) + " " + reason;
        }
    }

    [[nodiscard]] const std::string &error() const
    {
        return m_error;
    }

private:
    const nlohmann::json *find(const char *key, bool required)
    {
        const auto found = m_json.find(key);
        if (found != m_json.end()) {
            return &*found;
        }
        if (required) {
            fail(key, "is missing");
        }
        return nullptr;
    }

    const nlohmann::json &m_json;
    std::string m_error;
};

} // namespace

Result<Announcement, std::string> parseAnnouncement(std::string_view body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (json.is_discarded()) {
        return std::string("the body is not valid JSON");
    }
    return readAnnouncement(json);
}

Result<Announcement, std::string> readAnnouncement(const nlohmann::json &json)
{
    if (!json.is_object()) {
        return std::string("the body must be a JSON object");
    }
    FieldReader fields(json);
    Announcement announcement;
    announcement.id = TargetId(fields.text("id", true));
    announcement.incarnation
        = Incarnation(fields.number("incarnation", 0, std::numeric_limits<std::uint64_t>::max(), true));
    announcement.zone = Zone(fields.text("zone", true));
    const auto kind = fields.text("kind", true);
    if (kind == "service") {
        announcement.kind = TargetKind::Service;
    } else if (kind != "engine") {
        fields.fail("kind", "must be engine or service");
    }
    announcement.service = ServiceName(fields.text("service", false));
    announcement.endpoint.host = fields.text("host", true);
    announcement.endpoint.port = static_cast<std::uint16_t>(fields.number("port", 0, 65535, true));
    announcement.baseModel = BaseModel(fields.text("base_model", false));
    announcement.adapterSlots = fields.count("adapter_slots", 0);
    announcement.maxBatch = fields.count("max_batch", 1);
    const auto fencing = fields.text("fencing", false);
    if (fencing == "refuses") {
        announcement.fencing = FencingSupport::Refuses;
    } else if (!fencing.empty() && fencing != "ignores") {
        fields.fail("fencing", "must be refuses or ignores");
    }
    announcement.leaving = fields.flag("leaving");
    announcement.running = fields.count("running", 0);
    announcement.waiting = fields.count("waiting", 0);
    if (json.contains("adapters")) {
        auto &adapters = announcement.adapters.emplace();
        for (const auto &name : fields.texts("adapters")) {
            if (const auto adapter = AdapterRef::parse(name)) {
                adapters.insert(*adapter);
            }
        }
    }
    if (!fields.error().empty()) {
        return fields.error();
    }
    return announcement;
}

nlohmann::json writeAnnouncement(const Announcement &announcement)
{
    nlohmann::json json;
    json["id"] = announcement.id.value();
    json["incarnation"] = announcement.incarnation.value();
    json["zone"] = announcement.zone.value();
    json["kind"] = announcement.kind == TargetKind::Service ? "service" : "engine";
    json["service"] = announcement.service.value();
    json["host"] = announcement.endpoint.host;
    json["port"] = announcement.endpoint.port;
    json["base_model"] = announcement.baseModel.value();
    json["adapter_slots"] = announcement.adapterSlots;
    json["max_batch"] = announcement.maxBatch;
    json["fencing"] = announcement.fencing == FencingSupport::Refuses ? "refuses" : "ignores";
    json["leaving"] = announcement.leaving;
    json["running"] = announcement.running;
    json["waiting"] = announcement.waiting;
    if (announcement.adapters) {
        json["adapters"] = nlohmann::json::array();
        for (const auto &adapter : *announcement.adapters) {
            json["adapters"].push_back(adapter.toString());
        }
    }
    return json;
}

} // namespace tamarackcove
