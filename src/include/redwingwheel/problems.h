#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <msgpack.hpp>
#include <nlohmann/json_fwd.hpp>

/// Findings in a document: settings, release notes, requests.
namespace redwingwheel::config {

enum class config_errc {
    bad_input = 1,    ///< The document is rejected; `problems_of` gives the findings.
    unknown_revision, ///< A revision that is not kept or not yet reached.
    bad_snapshot,     ///< Snapshot or catch-up bytes that do not describe a configuration.
};

[[nodiscard]] std::string_view error_layer(config_errc code);
[[nodiscard]] std::string_view error_name(config_errc code);
[[nodiscard]] absl::StatusCode error_category(config_errc code);

/// One bad value.
struct problem {
    std::string file;
    std::string field;   ///< Path of the field, for instance "agent.slots" or "added.services[2]".
    std::string value;   ///< The value found, shortened; "(missing)" and "(hidden)" stand in.
    std::string allowed; ///< What is allowed there.
    MSGPACK_DEFINE(file, field, value, allowed)
};

/// "FILE: FIELD: value V: allowed A", without control characters or a newline.
[[nodiscard]] std::string to_line(const problem& found);

/// {"file", "field", "value", "allowed"}, the form in which HTTP answers carry a problem.
[[nodiscard]] nlohmann::json to_json(const problem& found);

/// Collects the problems of one document.
class problem_list {
public:
    explicit problem_list(std::string_view file_name) : file(file_name) {}
    void add(std::string_view field, std::string_view value, std::string_view allowed);
    [[nodiscard]] bool empty() const { return this->problems.empty(); }
    [[nodiscard]] std::size_t size() const { return this->problems.size(); }
    [[nodiscard]] const std::vector<problem>& all() const { return this->problems; }

    /// config_errc::bad_input with every problem; OK when there is none.
    [[nodiscard]] absl::Status status() const;

private:
    std::string file;
    std::vector<problem> problems;
};

/// The problems that a status of `problem_list::status` carries; empty for any other status.
[[nodiscard]] std::vector<problem> problems_of(const absl::Status& status);

/// One line per problem, or the status text alone when it carries no problems.
[[nodiscard]] std::vector<std::string> problem_lines(const absl::Status& status);

} // namespace redwingwheel::config
