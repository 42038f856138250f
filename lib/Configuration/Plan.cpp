#include "tamarackcove/Configuration/Plan.h"

#include <set>

namespace tamarackcove {

static ConfigurationError invalid(std::string detail)
{
    return ConfigurationError{ConfigurationErrorCode::InvalidIntent, std::move(detail)};
}

static Result<void, ConfigurationError> checkIntent(const Intent &intent)
{
    if (intent.name.empty()) {
        return invalid("intent has no name");
    }
    std::set<std::string_view> currentNames;
    const IntentAdapter *previous = nullptr;
    for (const auto &entry : intent.adapters) {
        const auto text = entry.adapter.toString();
        if (!AdapterRef::parse(text)) {
            return invalid("adapter " + text + " is not a valid name@version");
        }
        if (entry.baseModel.empty()) {
            return invalid("adapter " + text + " has no base_model");
        }
        if (previous != nullptr && previous->adapter == entry.adapter) {
            return invalid("adapter " + text + " is listed twice");
        }
        if (entry.current && !currentNames.insert(entry.adapter.name()).second) {
            return invalid("adapter " + entry.adapter.name() + " has two current versions");
        }
        previous = &entry;
    }
    if (!intent.adapters.empty() && intent.service.empty()) {
        return invalid("intent with adapters has no service");
    }
    if (intent.route && intent.service.empty()) {
        return invalid("intent with a route has no service");
    }
    return ok();
}

static void addCurrentChange(Plan &plan, const std::string &name, const ServingConfiguration &serving,
                             std::string newVersion)
{
    const auto before = serving.adapters.currentVersion(name);
    CurrentChange change{.name = name, .from = before ? before->version() : "", .to = std::move(newVersion)};
    if (change.from != change.to) {
        plan.currentChanges.push_back(std::move(change));
    }
}

static void planPuts(Plan &plan, const Intent &wanted, const ServingConfiguration &serving)
{
    for (const auto &entry : wanted.adapters) {
        const AdapterRecord record{.baseModel = entry.baseModel,
                                   .service = wanted.service,
                                   .priority = wanted.priority,
                                   .current = entry.current};
        const auto before = serving.adapters.find(entry.adapter);
        if (!before) {
            plan.added.push_back(entry.adapter);
        }
        if (entry.current) {
            addCurrentChange(plan, entry.adapter.name(), serving, entry.adapter.version());
        }
        if (!before || before->baseModel != record.baseModel || before->service != record.service
            || before->priority != record.priority || before->current != record.current) {
            plan.changes.put.push_back({.adapter = entry.adapter, .record = record});
        }
    }
}

/// Names that lose their current version without another one taking its place.
static void planLostCurrents(Plan &plan, const Intent &wanted, const Intent *confirmed,
                             const ServingConfiguration &serving)
{
    if (confirmed == nullptr) {
        return;
    }
    std::set<std::string_view> madeCurrent;
    for (const auto &entry : wanted.adapters) {
        if (entry.current) {
            madeCurrent.insert(entry.adapter.name());
        }
    }
    for (const auto &entry : confirmed->adapters) {
        const auto record = serving.adapters.find(entry.adapter);
        if (record && record->current && !madeCurrent.contains(entry.adapter.name())) {
            addCurrentChange(plan, entry.adapter.name(), serving, "");
        }
    }
}

static void planServices(Plan &plan, const Intent &wanted, const Intent *confirmed, const ServingConfiguration &serving)
{
    if (confirmed != nullptr && confirmed->route && (!wanted.route || wanted.service != confirmed->service)
        && serving.services.contains(confirmed->service)) {
        plan.changes.removedServices.insert(confirmed->service);
    }
    if (!wanted.route) {
        return;
    }
    const auto before = serving.services.find(wanted.service);
    if (before == serving.services.end() || before->second != *wanted.route) {
        plan.changes.services[wanted.service] = *wanted.route;
    }
}

bool Plan::empty() const
{
    return changes.size() == 0;
}

Result<Plan, ConfigurationError> computePlan(std::shared_ptr<const Intent> wanted, const Intent *confirmed,
                                             const ServingConfiguration &serving, const AdapterOwner &ownerOf)
{
    BOOST_OUTCOME_TRY(checkIntent(*wanted));
    Plan plan;
    plan.base = serving.revision;
    for (const auto &entry : wanted->adapters) {
        if (confirmed != nullptr && confirmed->find(entry.adapter) != nullptr) {
            continue;
        }
        const auto owner = serving.adapters.find(entry.adapter) ? ownerOf(entry.adapter) : IntentName();
        if (!owner.empty()) {
            return ConfigurationError{ConfigurationErrorCode::AdapterOwned,
                                      "adapter " + entry.adapter.toString() + " belongs to intent " + owner.value()};
        }
    }
    planPuts(plan, *wanted, serving);
    planLostCurrents(plan, *wanted, confirmed, serving);
    if (confirmed != nullptr) {
        for (const auto &entry : confirmed->adapters) {
            if (wanted->find(entry.adapter) == nullptr) {
                plan.changes.removed.push_back(entry.adapter);
            }
        }
    }
    planServices(plan, *wanted, confirmed, serving);
    if (wanted->store && *wanted->store != serving.store) {
        plan.changes.store = wanted->store;
    }
    if (wanted->weights && *wanted->weights != serving.weights) {
        plan.changes.weights = wanted->weights;
    }
    plan.intent = std::move(wanted);
    return plan;
}

} // namespace tamarackcove
