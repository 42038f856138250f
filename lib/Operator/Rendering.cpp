#include "tamarackcove/Operator/Rendering.h"

#include <nlohmann/json.hpp>
#include <string>

namespace tamarackcove {

using nlohmann::json;

// Longer lists are truncated; --json prints them in full.
static constexpr std::size_t MaxLines = 20;

/// A field as text, strings without quotes; `-` when the field is absent or null.
static std::string text(const json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || found->is_null()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

/// A field that is an array; an empty array when the field is absent or of another type.
static const json &list(const json &object, const char *key)
{
    static const json Empty = json::array();
    const auto found = object.find(key);
    return found == object.end() || !found->is_array() ? Empty : *found;
}

template<typename Line>
static void renderLines(const json &items, std::ostream &out, Line line)
{
    std::size_t shown = 0;
    for (const auto &item : items) {
        if (shown++ == MaxLines) {
            out << "  ... " << items.size() - MaxLines << " more, see --json\n";
            return;
        }
        line(item);
    }
}

/// The names separated by spaces, or `-` when there are none.
static std::string joined(const json &names)
{
    std::string line;
    std::size_t shown = 0;
    for (const auto &name : names) {
        if (shown++ == MaxLines) {
            return line + " ... " + std::to_string(names.size() - MaxLines) + " more";
        }
        line += (line.empty() ? "" : " ") + (name.is_string() ? name.get<std::string>() : name.dump());
    }
    return line.empty() ? "-" : line;
}

void renderPlan(const json &plan, std::ostream &out)
{
    const auto counts = plan.value("counts", json::object());
    out << "plan " << text(plan, "plan") << " for intent " << text(plan, "intent") << ", computed against revision "
        << text(plan, "base_revision") << '\n';
    if (plan.contains("confirmable")) {
        out << (plan.at("confirmable").get<bool>() ? "can be confirmed\n" : "can no longer be confirmed\n");
    }
    if (plan.value("empty", false)) {
        out << "changes nothing\n";
        return;
    }
    out << "adds " << text(counts, "added") << ", changes " << text(counts, "changed") << ", removes "
        << text(counts, "removed") << ", makes current " << text(counts, "made_current") << '\n';
    for (const auto *const key : {"added", "changed"}) {
        renderLines(list(plan, key), out, [&](const json &entry) {
            out << "  " << (std::string_view(key) == "added" ? "+ " : "~ ") << text(entry, "adapter") << " on "
                << text(entry, "base_model") << " for " << text(entry, "service") << ", " << text(entry, "priority")
                << '\n';
        });
    }
    renderLines(list(plan, "removed"), out,
                [&](const json &entry) { out << "  - " << entry.get<std::string>() << '\n'; });
    renderLines(list(plan, "made_current"), out, [&](const json &entry) {
        out << "  current " << text(entry, "name") << ": " << text(entry, "from") << " -> " << text(entry, "to")
            << '\n';
    });
    for (const auto *const key : {"services", "removed_services", "store", "weights"}) {
        if (plan.contains(key)) {
            out << "  " << key << ": " << plan.at(key).dump() << '\n';
        }
    }
}

void renderPlans(const json &plans, std::ostream &out)
{
    renderLines(list(plans, "plans"), out, [&](const json &plan) {
        out << text(plan, "plan") << "  intent " << text(plan, "intent") << "  base revision "
            << text(plan, "base_revision") << (plan.value("confirmable", false) ? "" : "  (out of date)") << '\n';
    });
}

void renderIntent(const json &intent, std::ostream &out)
{
    out << "intent " << text(intent, "name") << " for service " << text(intent, "service") << ", priority "
        << text(intent, "priority") << ", " << list(intent, "adapters").size() << " adapters\n";
    renderLines(list(intent, "adapters"), out, [&](const json &adapter) {
        out << "  " << text(adapter, "name") << '@' << text(adapter, "version") << " on " << text(adapter, "base_model")
            << (adapter.value("current", false) ? "  current" : "") << '\n';
    });
    for (const auto *const key : {"route", "store", "weights"}) {
        if (intent.contains(key)) {
            out << "  " << key << ": " << intent.at(key).dump() << '\n';
        }
    }
}

void renderIntents(const json &intents, std::ostream &out)
{
    out << "revision " << text(intents, "revision") << '\n';
    renderLines(list(intents, "intents"), out, [&](const json &intent) {
        out << text(intent, "name") << "  service " << text(intent, "service") << "  priority "
            << text(intent, "priority") << "  " << text(intent, "adapters") << " adapters\n";
    });
}

static void renderZones(const json &status, std::ostream &out)
{
    for (const auto &zone : list(status, "zones")) {
        out << "zone " << text(zone, "zone") << ": coordinator " << text(zone, "coordinator") << ", fencing number "
            << text(zone, "fencing") << ", reported " << text(zone, "reported_ms") << " ms ago\n";
        renderLines(list(zone, "targets"), out, [&](const json &target) {
            out << "  " << text(target, "id") << ' ' << text(target, "kind") << ' ' << text(target, "health")
                << ", running " << text(target, "running") << ", waiting " << text(target, "waiting") << ", holds "
                << joined(list(target, "adapters")) << '\n';
        });
    }
}

void renderStatus(const json &status, std::ostream &out)
{
    out << "revision " << text(status, "revision") << " with " << text(status, "adapters") << " adapters from "
        << text(status, "intents") << " intents\n";
    if (!status.value("current", false)) {
        out << "warning: " << text(status, "self")
            << " has no contact to a leader; nothing new is accepted, and newer revisions may exist\n";
    }
    out << "leader " << text(status, "leader") << ", term " << text(status, "term") << ", answered by "
        << text(status, "self") << " (" << text(status, "role") << "), tolerates the loss of "
        << text(status, "losses_tolerated") << " more control hosts\n";
    for (const auto &replica : list(status, "replicas")) {
        out << "  replica " << text(replica, "id") << (replica.value("voter", false) ? " voter" : " learner")
            << (replica.value("reachable", false) ? "" : ", not reachable") << ", log up to "
            << text(replica, "matched_index") << '\n';
    }
    const auto entries = status.value("entries", json::object());
    out << "entries with the revision in force: " << text(entries, "in_force")
        << "; not yet: " << joined(list(entries, "behind")) << "; silent: " << joined(list(entries, "silent")) << '\n';
    out << "plans pending:" << (list(status, "plans_pending").empty() ? " -\n" : "\n");
    renderPlans({{"plans", list(status, "plans_pending")}}, out);
    const auto quarantine = status.value("quarantine", json::object());
    out << "quarantined requests: " << text(quarantine, "count") << ", suspects: " << text(quarantine, "suspects")
        << '\n';
    const auto store = status.value("store", json::object());
    if (!store.empty()) {
        out << "store limits: " << text(store, "loads_per_second") << " loads/s, " << text(store, "concurrent_loads")
            << " at once\n";
    }
    for (const auto &permit : list(store, "permits")) {
        out << "  zone " << text(permit, "zone") << (permit.value("reachable", false) ? "" : " (no contact)") << ": "
            << text(permit, "loads_per_second") << " loads/s, " << text(permit, "concurrent_loads") << " at once\n";
    }
    renderZones(status, out);
}

} // namespace tamarackcove
