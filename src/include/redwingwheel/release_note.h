#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <msgpack.hpp>
#include <nlohmann/json_fwd.hpp>

#include "redwingwheel/problems.h"

/// Release notes: what operators add, change and withdraw in one step.
namespace redwingwheel::config {

/// Size of one guaranteed cell.
enum class agreement_level : std::uint8_t { accelerator, group, host, rack, data_centre };

enum class service_class : std::uint8_t { interactive, standard, batch };

[[nodiscard]] std::string_view to_text(agreement_level level);
[[nodiscard]] std::string_view to_text(service_class value);

} // namespace redwingwheel::config

MSGPACK_ADD_ENUM(redwingwheel::config::agreement_level)
MSGPACK_ADD_ENUM(redwingwheel::config::service_class)

namespace redwingwheel::config {

struct data_centre {
    std::string name;
    std::string region;
    MSGPACK_DEFINE(name, region)
};

struct client_account {
    std::string name;
    std::string token_digest; ///< SHA-256 of the token, 64 hexadecimal digits.
    std::uint32_t weight = 1; ///< Share of contended capacity relative to other accounts.
    MSGPACK_DEFINE(name, token_digest, weight)
};

/// A guarantee of `count` cells of one level.
struct agreement {
    std::string id;
    std::string account;
    agreement_level level = agreement_level::accelerator;
    std::uint32_t count = 0;
    std::string data_centre; ///< Empty: any data centre.
    std::string starts;      ///< First day, YYYY-MM-DD in UTC.
    std::string ends;        ///< First day after the term, YYYY-MM-DD in UTC.
    MSGPACK_DEFINE(id, account, level, count, data_centre, starts, ends)
};

/// True when `day` lies in the term of `held`.
[[nodiscard]] bool in_term(const agreement& held, std::chrono::sys_days day);

struct service {
    std::string name;
    service_class request_class = service_class::standard; ///< Called "class" in documents.
    bool idempotent = false;
    bool can_checkpoint = false;
    std::vector<std::string> accounts; ///< Accounts that may use the service.
    std::uint32_t default_deadline_ms = 0;
    MSGPACK_DEFINE(name, request_class, idempotent, can_checkpoint, accounts, default_deadline_ms)
};

/// New values for some fields of a thing that exists.
template <class Thing>
struct change {
    Thing values;                    ///< The key and the new values; other members are unset.
    std::vector<std::string> fields; ///< Names of the fields that change, in schema order.
    MSGPACK_DEFINE(values, fields)
};

struct added_things {
    std::vector<data_centre> data_centres;
    std::vector<client_account> client_accounts;
    std::vector<agreement> agreements;
    std::vector<service> services;
    MSGPACK_DEFINE(data_centres, client_accounts, agreements, services)
};

struct changed_things {
    std::vector<change<data_centre>> data_centres;
    std::vector<change<client_account>> client_accounts;
    std::vector<change<agreement>> agreements;
    std::vector<change<service>> services;
    MSGPACK_DEFINE(data_centres, client_accounts, agreements, services)
};

/// Keys: names, and identities of agreements.
struct withdrawn_things {
    std::vector<std::string> data_centres;
    std::vector<std::string> client_accounts;
    std::vector<std::string> agreements;
    std::vector<std::string> services;
    MSGPACK_DEFINE(data_centres, client_accounts, agreements, services)
};

struct release_note {
    std::string note;       ///< Identity, unique for all time; a resend repeats it.
    std::uint64_t base = 0; ///< Revision that the operator saw when writing the note.
    added_things added;
    changed_things changed;
    withdrawn_things withdrawn;
    MSGPACK_DEFINE(note, base, added, changed, withdrawn)
};

/// 1 to 64 of A-Z a-z 0-9 . _ -, beginning with a letter or digit: the form of every name and
/// identity.
[[nodiscard]] bool is_name(std::string_view text);

/// True when a YAML or JSON document has the key that every release note begins with.
[[nodiscard]] bool looks_like_release_note(std::string_view text);

/// Reads a note and checks it as a whole, as far as that is possible without the configuration.
/// Errors: config_errc::bad_input with one problem for each finding.
[[nodiscard]] absl::StatusOr<release_note> parse_release_note_yaml(std::string_view text,
                                                                   std::string_view file_name);
[[nodiscard]] absl::StatusOr<release_note> parse_release_note_json(std::string_view text,
                                                                   std::string_view file_name);

/// The form that `parse_release_note_json` reads.
[[nodiscard]] nlohmann::json to_json(const release_note& note);
[[nodiscard]] nlohmann::json to_json(const data_centre& thing);
[[nodiscard]] nlohmann::json to_json(const client_account& thing);
[[nodiscard]] nlohmann::json to_json(const agreement& thing);
[[nodiscard]] nlohmann::json to_json(const service& thing);

} // namespace redwingwheel::config
