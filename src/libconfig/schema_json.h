#pragma once

#include <nlohmann/json.hpp>

#include "schema.h"

namespace redwingwheel::config {

inline nlohmann::json value_json(const std::string& value)
{
    return value;
}
inline nlohmann::json value_json(std::uint32_t value)
{
    return value;
}
inline nlohmann::json value_json(bool value)
{
    return value;
}
inline nlohmann::json value_json(agreement_level value)
{
    return std::string(to_text(value));
}
inline nlohmann::json value_json(service_class value)
{
    return std::string(to_text(value));
}
inline nlohmann::json value_json(const std::vector<std::string>& value)
{
    return value;
}

/// The key and every field, or the fields named in `only`.
template <class Thing>
nlohmann::json thing_json(const Thing& thing, const std::vector<std::string>* only = nullptr)
{
    nlohmann::json object = nlohmann::json::object();
    object[std::string(schema<Thing>::key_name)] = key_of(thing);
    schema<Thing>::each_field([&](std::string_view name, auto member, auto, presence needed) {
        const nlohmann::json value = value_json(thing.*member);
        const bool left_out =
            only == nullptr && needed == presence::optional && value == nlohmann::json("");
        if ((only == nullptr && !left_out) || (only != nullptr && contains(*only, name))) {
            object[std::string(name)] = value;
        }
    });
    return object;
}

} // namespace redwingwheel::config
