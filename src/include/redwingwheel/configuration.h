#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <msgpack.hpp>
#include <nlohmann/json_fwd.hpp>

#include "redwingwheel/release_note.h"

namespace redwingwheel::config {

enum class thing_kind : std::uint8_t { data_centres, client_accounts, agreements, services };

enum class apply_outcome : std::uint8_t {
    accepted,        ///< In force at `revision`.
    conflict,        ///< Something the note touches changed since its base.
    identity_reused, ///< A note of this identity and other content was accepted before.
    invalid,         ///< The note does not fit the configuration; see `problems`.
    infeasible,      ///< The admission hook refused; see `problems`.
};

} // namespace redwingwheel::config

MSGPACK_ADD_ENUM(redwingwheel::config::thing_kind)
MSGPACK_ADD_ENUM(redwingwheel::config::apply_outcome)

namespace redwingwheel::config {

[[nodiscard]] std::string_view to_text(thing_kind kind);
[[nodiscard]] std::string_view to_text(apply_outcome outcome);

/// A field that a note touches and that changed after the note's base.
struct conflict {
    std::string field;          ///< "KIND/KEY/FIELD", "KIND/KEY" for a whole thing, or "base".
    std::uint64_t revision = 0; ///< Revision of the last change.
    MSGPACK_DEFINE(field, revision)
};

struct apply_result {
    apply_outcome outcome = apply_outcome::invalid;
    std::uint64_t revision = 0; ///< Accepted: the note's revision. Otherwise: the current one.
    bool resend = false;        ///< The answer is the first one, given again.
    std::vector<conflict> conflicts;
    std::vector<problem> problems;
    MSGPACK_DEFINE(outcome, revision, resend, conflicts, problems)
};

/// {"outcome", "revision", "resend"?, "conflicts"?, "problems"?}; docs/http-api.md.
[[nodiscard]] nlohmann::json to_json(const apply_result& result);

/// One field that differs between two revisions. Values are JSON texts, empty when there is none.
struct field_difference {
    thing_kind kind = thing_kind::data_centres;
    std::string key;
    std::string field;
    std::string before;
    std::string after;
    MSGPACK_DEFINE(kind, key, field, before, after)
};

[[nodiscard]] nlohmann::json to_json(const field_difference& difference);

/// Who sent a note and when, for the history only; no decision depends on it.
struct note_origin {
    std::string operator_name;
    std::int64_t unix_ms = 0;
    MSGPACK_DEFINE(operator_name, unix_ms)
};

struct history_entry {
    std::uint64_t revision = 0;
    release_note note;
    note_origin origin;
    std::vector<field_difference> differences;
    MSGPACK_DEFINE(revision, note, origin, differences)
};

/// What a process needs to reach a later revision.
struct catch_up {
    std::uint64_t after = 0;    ///< Revision that the notes build on.
    std::uint64_t revision = 0; ///< Revision reached.
    std::uint64_t digest = 0;   ///< `configuration::contents_digest` at `revision`.
    std::vector<release_note> notes;
    std::string contents; ///< All things instead of notes; empty when notes are given.
    std::string ending;   ///< Things that are ending at the sender; the receiver drops all others.
    MSGPACK_DEFINE(after, revision, digest, notes, contents, ending)
};

/// Withdrawn things that may still be in use.
struct ending_things {
    std::vector<client_account> client_accounts;
    std::vector<service> services;
};

class configuration;

struct configuration_options {
    /// Accepted notes that are kept. A note with a base older than the oldest kept revision is
    /// refused as a conflict on "base", so that a resend is never applied twice.
    std::size_t history_limit = 4096;
    /// Longer catch-ups are sent as whole contents.
    std::size_t catch_up_notes = 256;
    /// Asked before a note takes effect, with the configuration as it would be. Problems refuse
    /// the note. Must be deterministic: every replica of the log asks it.
    std::function<std::vector<problem>(const configuration& proposed)> admission = {};
    /// False skips the check for conflicts; only for tests that show the check's effect.
    bool detect_conflicts = true;
};

/// The configuration and its history: a deterministic state machine over accepted notes. It does
/// no I/O and is used from one thread.
class configuration {
public:
    explicit configuration(configuration_options given = {});
    ~configuration();
    configuration(configuration&& other) noexcept;
    configuration& operator=(configuration&& other) noexcept;

    /// Applies a note, or explains why not; a refused note leaves no trace. Equal calls on equal
    /// states give equal results.
    apply_result apply(const release_note& note, const note_origin& origin = {});

    /// What `apply` would answer now.
    [[nodiscard]] apply_result check(const release_note& note) const;

    /// The number of accepted notes.
    [[nodiscard]] std::uint64_t revision() const;

    /// Things in force, ordered by key. Withdrawn ones are not among them.
    [[nodiscard]] std::vector<data_centre> data_centres() const;
    [[nodiscard]] std::vector<client_account> client_accounts() const;
    [[nodiscard]] std::vector<agreement> agreements() const;
    [[nodiscard]] std::vector<service> services() const;

    /// Null when there is none. Pointers are valid until the next change.
    [[nodiscard]] const data_centre* find_data_centre(std::string_view name) const;
    [[nodiscard]] const client_account* find_client_account(std::string_view name) const;
    [[nodiscard]] const agreement* find_agreement(std::string_view id) const;
    [[nodiscard]] const service* find_service(std::string_view name) const;

    /// Withdrawn services and accounts that were not yet reported as unused.
    [[nodiscard]] ending_things ending() const;
    /// Says that a withdrawn service or account has no work left. False when it is not ending.
    bool mark_unused(thing_kind kind, std::string_view key);

    /// The accepted notes that are kept, oldest first.
    [[nodiscard]] const std::vector<history_entry>& history() const;

    /// Fields that differ between two revisions, in either direction.
    /// Errors: config_errc::unknown_revision when a revision is not kept or not reached.
    [[nodiscard]] absl::StatusOr<std::vector<field_difference>> diff(std::uint64_t from,
                                                                     std::uint64_t to) const;

    /// What a process at revision `after` needs to reach this revision.
    [[nodiscard]] catch_up catch_up_after(std::uint64_t after) const;
    /// Moves this configuration, of a process that follows, forward; never back. Nothing changes
    /// on an error. Errors: config_errc::unknown_revision when the notes do not continue this
    /// revision, config_errc::bad_snapshot when the result differs from the sender's. After an
    /// error ask for `catch_up_after(0)`.
    [[nodiscard]] absl::Status advance(const catch_up& received);

    /// A digest of the things in force and the revision.
    [[nodiscard]] std::uint64_t contents_digest() const;

    /// The whole state with its history, for log snapshots.
    [[nodiscard]] std::string snapshot() const;
    /// Errors: config_errc::bad_snapshot.
    [[nodiscard]] static absl::StatusOr<configuration> restore(std::string_view bytes,
                                                               configuration_options given = {});

    /// {"revision", "data_centres", "client_accounts", "agreements", "services", "ending"}.
    [[nodiscard]] nlohmann::json contents_json() const;

private:
    struct state;
    configuration(configuration_options given, std::unique_ptr<state> initial);

    configuration_options options;
    std::unique_ptr<state> held;
};

} // namespace redwingwheel::config
