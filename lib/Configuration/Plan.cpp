#include "tamarackcove/Configuration/Plan.h"

#include <set>

namespace tamarackcove {

static ConfigurationError invalidIntent(std::string detail)
{
    return ConfigurationError{ConfigurationErrorCode::InvalidIntent, std::move(detail)};
}

static Result<void, ConfigurationError> checkIntent(const Intent &intent)
{
    if (intent.name.empty()) {
        return invalidIntent("intent has no name");
    }
    std::set<std::string_view> currentNames;
    const IntentAdapter *previous = nullptr;
    for (const auto &intentAdapter : intent.adapters) {
        const auto text = intentAdapter.adapter.toString();
        if (!AdapterRef::parse(text)) {
            return invalidIntent("adapter " + text + " is not a valid name@version");
        }
        if (intentAdapter.baseModel.empty()) {
            return invalidIntent("adapter " + text + " has no base_model");
        }
        if (previous != nullptr && previous->adapter == intentAdapter.adapter) {
            return invalidIntent("adapter " + text + " is listed twice");
        }
        if (intentAdapter.current && !currentNames.insert(intentAdapter.adapter.name()).second) {
            return invalidIntent("adapter " + intentAdapter.adapter.name() + " has two current versions");
        }
        previous = &intentAdapter;
    }
    if (!intent.adapters.empty() && intent.service.empty()) {
        return invalidIntent("intent with adapters has no service");
    }
    if (intent.route && intent.service.empty()) {
        return invalidIntent("intent with a route has no service");
    }
    return ok();
}

static void addCurrentVersionChange(Plan &plan, const std::string &name, const ServingConfiguration &serving,
                                    std::string newVersion)
{
    const auto before = serving.adapters.currentVersion(name);
    CurrentVersionChange change{.name = name, .from = before ? before->version() : "", .to = std::move(newVersion)};
    if (change.from != change.to) {
        plan.currentVersionChanges.push_back(std::move(change));
    }
}

static void planAdapterPuts(Plan &plan, const Intent &wanted, const ServingConfiguration &serving)
{
    for (const auto &intentAdapter : wanted.adapters) {
        const AdapterRecord record{.baseModel = intentAdapter.baseModel,
                                   .service = wanted.service,
                                   .priority = wanted.priority,
                                   .current = intentAdapter.current};
        const auto before = serving.adapters.find(intentAdapter.adapter);
        if (!before) {
            plan.added.push_back(intentAdapter.adapter);
        }
        if (intentAdapter.current) {
            addCurrentVersionChange(plan, intentAdapter.adapter.name(), serving, intentAdapter.adapter.version());
        }
        if (!before || before->baseModel != record.baseModel || before->service != record.service
            || before->priority != record.priority || before->current != record.current) {
            plan.changes.put.push_back({.adapter = intentAdapter.adapter, .record = record});
        }
    }
}

/// Adds the names whose current version the intent removes or unmarks without making another version current.
static void planClearedCurrentVersions(Plan &plan, const Intent &wanted, const Intent *confirmed,
                                       const ServingConfiguration &serving)
{
    if (confirmed == nullptr) {
        return;
    }
    std::set<std::string_view> namesWithCurrentVersion;
    for (const auto &intentAdapter : wanted.adapters) {
        if (intentAdapter.current) {
            namesWithCurrentVersion.insert(intentAdapter.adapter.name());
        }
    }
    for (const auto &intentAdapter : confirmed->adapters) {
        const auto record = serving.adapters.find(intentAdapter.adapter);
        if (record && record->current && !namesWithCurrentVersion.contains(intentAdapter.adapter.name())) {
            addCurrentVersionChange(plan, intentAdapter.adapter.name(), serving, "");
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
                                             const ServingConfiguration &serving, const AdapterOwnerLookup &findOwner)
{
    BOOST_OUTCOME_TRY(checkIntent(*wanted));
    Plan plan;
    plan.base = serving.revision;
    for (const auto &intentAdapter : wanted->adapters) {
        if (confirmed != nullptr && confirmed->find(intentAdapter.adapter) != nullptr) {
            continue;
        }
        const auto owner
            = serving.adapters.find(intentAdapter.adapter) ? findOwner(intentAdapter.adapter) : IntentName();
        if (!owner.empty()) {
            return ConfigurationError{ConfigurationErrorCode::AdapterOwned,
                                      "adapter " + intentAdapter.adapter.toString() + " belongs to intent "
                                          + owner.value()};
        }
    }
    planAdapterPuts(plan, *wanted, serving);
    planClearedCurrentVersions(plan, *wanted, confirmed, serving);
    if (confirmed != nullptr) {
        for (const auto &intentAdapter : confirmed->adapters) {
            if (wanted->find(intentAdapter.adapter) == nullptr) {
                plan.changes.removed.push_back(intentAdapter.adapter);
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
