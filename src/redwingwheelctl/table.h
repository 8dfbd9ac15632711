#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace redwingwheel::ctl {

/// A field of a JSON object as one word or line of text; "-" when it is absent.
[[nodiscard]] std::string text_of(const nlohmann::json& object, std::string_view key);
/// A JSON value as text: strings without quotes, lists joined by commas.
[[nodiscard]] std::string plain_text(const nlohmann::json& value);
/// The list `key` of an object; empty when it is absent or no list.
[[nodiscard]] nlohmann::json list_of(const nlohmann::json& object, std::string_view key);

/// Prints the fields `columns` of the objects in `rows`, aligned under a header.
void print_table(std::ostream& out, const std::vector<std::string_view>& columns,
                 const nlohmann::json& rows);

} // namespace redwingwheel::ctl
