#include "tamarackcove/Settings/SettingsFile.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace tamarackcove {

static SettingsError invalid(std::string detail)
{
    return SettingsError{SettingsErrorCode::Invalid, std::move(detail)};
}

// Describes the first error in the results, which is the innermost one. Its path has the form "<root>[key][key]".
static std::string describe(valijson::ValidationResults &results)
{
    valijson::ValidationResults::Error error;
    if (!results.popError(error)) {
        return "settings do not match their schema";
    }
    std::string key;
    for (const auto &part : error.context) {
        if (part != "<root>") {
            key += part;
        }
    }
    return (key.empty() ? std::string("settings") : "key " + key) + ": " + error.description;
}

Result<nlohmann::json, SettingsError> checkSettings(std::string_view text, std::string_view schema)
{
    auto settings = nlohmann::json::parse(text, nullptr, false);
    if (settings.is_discarded()) {
        return SettingsError{SettingsErrorCode::NotJson, "settings are not valid json"};
    }
    const auto schemaJson = nlohmann::json::parse(schema);
    valijson::Schema parsedSchema;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaJson), parsedSchema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (!validator.validate(parsedSchema, valijson::adapters::NlohmannJsonAdapter(settings), &results)) {
        return invalid(describe(results));
    }
    return settings;
}

Result<nlohmann::json, SettingsError> loadSettings(const std::string &path, std::string_view schema)
{
    std::ifstream file(path);
    if (!file) {
        return SettingsError{SettingsErrorCode::Unreadable, "cannot read settings file " + path};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return checkSettings(text.str(), schema);
}

Result<Endpoint, SettingsError> endpointAt(const nlohmann::json &settings, std::string_view key)
{
    const auto text = settings.at(std::string(key)).get<std::string>();
    const auto endpoint = Endpoint::parse(text);
    if (!endpoint) {
        return invalid("key [" + std::string(key) + "]: " + text
                       + " is not an ip address and port, as in 127.0.0.1:8080");
    }
    return *endpoint;
}

milliseconds millisecondsAt(const nlohmann::json &settings, std::string_view key, milliseconds defaultValue)
{
    const auto found = settings.find(std::string(key));
    return found == settings.end() ? defaultValue : milliseconds(found->get<std::int64_t>());
}

Result<void, SettingsError> checkEndpointsDiffer(std::string_view firstKey, const Endpoint &first,
                                                 std::string_view secondKey, const Endpoint &second)
{
    if (first == second && first.port != 0) {
        return invalid("keys [" + std::string(firstKey) + "] and [" + std::string(secondKey) + "] both use "
                       + first.toString());
    }
    return ok();
}

} // namespace tamarackcove
