#include <nlohmann/json.hpp>

#include "redwingwheel/configuration.h"

namespace redwingwheel::config {

namespace {

template <class Thing>
nlohmann::json list_json(const std::vector<Thing>& things)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Thing& thing : things) {
        list.push_back(to_json(thing));
    }
    return list;
}

template <class Thing>
nlohmann::json names_json(const std::vector<Thing>& things)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Thing& thing : things) {
        list.push_back(thing.name);
    }
    return list;
}

nlohmann::json difference_value(const std::string& text)
{
    return text.empty() ? nlohmann::json() : nlohmann::json::parse(text, nullptr, false);
}

} // namespace

std::string_view to_text(thing_kind kind)
{
    switch (kind) {
    case thing_kind::data_centres:
        return "data_centres";
    case thing_kind::client_accounts:
        return "client_accounts";
    case thing_kind::agreements:
        return "agreements";
    case thing_kind::services:
        return "services";
    }
    return "unknown";
}

std::string_view to_text(apply_outcome outcome)
{
    switch (outcome) {
    case apply_outcome::accepted:
        return "accepted";
    case apply_outcome::conflict:
        return "conflict";
    case apply_outcome::identity_reused:
        return "identity_reused";
    case apply_outcome::invalid:
        return "invalid";
    case apply_outcome::infeasible:
        return "infeasible";
    }
    return "unknown";
}

nlohmann::json to_json(const apply_result& result)
{
    nlohmann::json object{{"outcome", std::string(to_text(result.outcome))},
                          {"revision", result.revision}};
    if (result.resend) {
        object["resend"] = true;
    }
    for (const conflict& found : result.conflicts) {
        object["conflicts"].push_back({{"field", found.field}, {"revision", found.revision}});
    }
    for (const problem& found : result.problems) {
        object["problems"].push_back(to_json(found));
    }
    return object;
}

nlohmann::json to_json(const field_difference& difference)
{
    return {{"kind", std::string(to_text(difference.kind))},
            {"key", difference.key},
            {"field", difference.field},
            {"before", difference_value(difference.before)},
            {"after", difference_value(difference.after)}};
}

nlohmann::json configuration::contents_json() const
{
    const ending_things ended = this->ending();
    return {{"revision", this->revision()},
            {"data_centres", list_json(this->data_centres())},
            {"client_accounts", list_json(this->client_accounts())},
            {"agreements", list_json(this->agreements())},
            {"services", list_json(this->services())},
            {"ending",
             {{"client_accounts", names_json(ended.client_accounts)},
              {"services", names_json(ended.services)}}}};
}

} // namespace redwingwheel::config
