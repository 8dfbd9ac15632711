#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/problems.h"

namespace redwingwheel::ctl {

/// An option of the command line.
struct option_spec {
    std::string_view name;     ///< Without the dashes.
    std::string_view argument; ///< Name of its value in the help; empty for a switch.
    std::string_view help;
};

/// Every option that some command knows.
[[nodiscard]] std::span<const option_spec> all_options();
[[nodiscard]] const option_spec& find_option(std::string_view name);

/// The arguments, split into words and options.
class command_line {
public:
    std::vector<std::string> words;

    void add(std::string_view option, std::string_view value);
    [[nodiscard]] bool has(std::string_view option) const;
    /// The last value given.
    [[nodiscard]] std::optional<std::string> value(std::string_view option) const;
    [[nodiscard]] std::vector<std::string> values(std::string_view option) const;
    [[nodiscard]] std::vector<std::string> names() const;

private:
    std::map<std::string, std::vector<std::string>, std::less<>> options;
};

/// Splits the arguments that follow the program's name. Unknown options and missing values are
/// added to `problems`.
[[nodiscard]] command_line parse_command_line(std::span<const std::string> arguments,
                                              config::problem_list& problems);

} // namespace redwingwheel::ctl
