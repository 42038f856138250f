#pragma once

#include <nlohmann/json_fwd.hpp>
#include <ostream>

namespace tamarackcove {

/// These functions write answers of the administration API as human-readable text. Thread safe.
void renderPlan(const nlohmann::json &plan, std::ostream &out);
void renderPlans(const nlohmann::json &plans, std::ostream &out);
void renderIntent(const nlohmann::json &intent, std::ostream &out);
void renderIntents(const nlohmann::json &intents, std::ostream &out);
void renderStatus(const nlohmann::json &status, std::ostream &out);

} // namespace tamarackcove
