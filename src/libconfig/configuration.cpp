#include "redwingwheel/configuration.h"

#include <map>
#include <optional>
#include <tuple>

#include <fmt/format.h>

#include "contents.h"
#include "note_check.h"
#include "note_rules.h"
#include "redwingwheel/digest.h"
#include "redwingwheel/errors.h"
#include "redwingwheel/packing.h"

namespace redwingwheel::config {

namespace {

/// The digest covers this together with the things.
struct digest_input {
    std::uint64_t revision = 0;
    contents things;
    MSGPACK_DEFINE(revision, things)
};

/// The form of snapshots.
struct snapshot_form {
    core_state core;
    std::vector<history_entry> history;
    MSGPACK_DEFINE(core, history)
};

template <class Thing>
std::vector<Thing> things_of(const std::vector<held_thing<Thing>>& list)
{
    std::vector<Thing> things;
    things.reserve(list.size());
    for (const held_thing<Thing>& held : list) {
        things.push_back(held.thing);
    }
    return things;
}

template <class Thing>
const Thing* find_thing(const std::vector<held_thing<Thing>>& list, std::string_view key)
{
    const held_thing<Thing>* const held = find_held(list, key);
    return held == nullptr ? nullptr : &held->thing;
}

std::uint64_t digest_of(const core_state& core)
{
    return digest::content_hash(pack(digest_input{core.revision, core.things}));
}

} // namespace

struct configuration::state {
    core_state core;
    std::vector<history_entry> history;
    mutable std::optional<std::uint64_t> digest; ///< Of `core`, once it was asked for.

    /// The oldest revision whose successors are all in the history.
    [[nodiscard]] std::uint64_t oldest_base() const
    {
        return this->history.empty() ? this->core.revision : this->history.front().revision - 1;
    }

    void trim_history(std::size_t limit)
    {
        // Trimming in batches keeps the cost of a note independent of the history's length.
        if (this->history.size() <= limit + limit / 8) {
            return;
        }
        this->history.erase(this->history.begin(),
                            this->history.end() - static_cast<std::ptrdiff_t>(limit));
        const std::uint64_t oldest = this->oldest_base();
        std::erase_if(this->core.withdrawals,
                      [oldest](const withdrawal& known) { return known.revision <= oldest; });
    }

    /// The answer to a note, and the state and differences that it leads to.
    [[nodiscard]] apply_result judge(const release_note& note,
                                     const configuration_options& settings, core_state& proposed,
                                     std::vector<field_difference>& differences) const;

    [[nodiscard]] std::optional<apply_result> answer_to_resend(const release_note& note) const;
};

std::optional<apply_result> configuration::state::answer_to_resend(const release_note& note) const
{
    for (const history_entry& entry : this->history) {
        if (entry.note.note != note.note) {
            continue;
        }
        apply_result result;
        if (pack(entry.note) == pack(note)) {
            result.outcome = apply_outcome::accepted;
            result.revision = entry.revision;
            result.resend = true;
        }
        else {
            result.outcome = apply_outcome::identity_reused;
            result.revision = this->core.revision;
        }
        return result;
    }
    return std::nullopt;
}

apply_result configuration::state::judge(const release_note& note,
                                         const configuration_options& settings,
                                         core_state& proposed,
                                         std::vector<field_difference>& differences) const
{
    const std::optional<apply_result> known = this->answer_to_resend(note);
    if (known.has_value()) {
        return *known;
    }
    apply_result result;
    result.revision = this->core.revision;
    note_findings findings{
        {}, problem_list(fmt::format("note {}", note.note)), settings.detect_conflicts};
    check_note(note, findings.problems);
    if (note.base > this->core.revision) {
        findings.problems.add("base", fmt::format("{}", note.base),
                              fmt::format("a revision 0..{}", this->core.revision));
    }
    else if (note.base < this->oldest_base()) {
        findings.conflicts.push_back(conflict{"base", this->oldest_base()});
    }
    else if (findings.problems.empty()) {
        check_touched(this->core, note, findings);
    }
    if (findings.problems.empty() && findings.conflicts.empty()) {
        proposed = this->core;
        differences = commit_note(proposed, note);
        check_references(this->core, proposed, note, findings);
    }
    result.conflicts = findings.conflicts;
    result.problems = findings.problems.all();
    if (!result.problems.empty() || !result.conflicts.empty()) {
        result.outcome =
            result.conflicts.empty() ? apply_outcome::invalid : apply_outcome::conflict;
        return result;
    }
    if (settings.admission) {
        std::unique_ptr<state> trial = std::make_unique<state>();
        trial->core = proposed;
        result.problems = settings.admission(configuration({}, std::move(trial)));
        if (!result.problems.empty()) {
            result.outcome = apply_outcome::infeasible;
            return result;
        }
    }
    result.outcome = apply_outcome::accepted;
    result.revision = proposed.revision;
    return result;
}

configuration::configuration(configuration_options given)
    : options(std::move(given)), held(std::make_unique<state>())
{
}

configuration::configuration(configuration_options given, std::unique_ptr<state> initial)
    : options(std::move(given)), held(std::move(initial))
{
}

configuration::~configuration() = default;
configuration::configuration(configuration&& other) noexcept = default;
configuration& configuration::operator=(configuration&& other) noexcept = default;

apply_result configuration::apply(const release_note& note, const note_origin& origin)
{
    core_state proposed;
    std::vector<field_difference> differences;
    apply_result result = this->held->judge(note, this->options, proposed, differences);
    if (result.outcome == apply_outcome::accepted && !result.resend) {
        this->held->core = std::move(proposed);
        this->held->digest.reset();
        this->held->history.push_back(
            history_entry{result.revision, note, origin, std::move(differences)});
        this->held->trim_history(this->options.history_limit);
    }
    return result;
}

apply_result configuration::check(const release_note& note) const
{
    core_state proposed;
    std::vector<field_difference> differences;
    return this->held->judge(note, this->options, proposed, differences);
}

std::uint64_t configuration::revision() const
{
    return this->held->core.revision;
}

std::vector<data_centre> configuration::data_centres() const
{
    return things_of(this->held->core.things.data_centres);
}

std::vector<client_account> configuration::client_accounts() const
{
    return things_of(this->held->core.things.client_accounts);
}

std::vector<agreement> configuration::agreements() const
{
    return things_of(this->held->core.things.agreements);
}

std::vector<service> configuration::services() const
{
    return things_of(this->held->core.things.services);
}

const data_centre* configuration::find_data_centre(std::string_view name) const
{
    return find_thing(this->held->core.things.data_centres, name);
}

const client_account* configuration::find_client_account(std::string_view name) const
{
    return find_thing(this->held->core.things.client_accounts, name);
}

const agreement* configuration::find_agreement(std::string_view id) const
{
    return find_thing(this->held->core.things.agreements, id);
}

const service* configuration::find_service(std::string_view name) const
{
    return find_thing(this->held->core.things.services, name);
}

ending_things configuration::ending() const
{
    return ending_things{things_of(this->held->core.ending.client_accounts),
                         things_of(this->held->core.ending.services)};
}

bool configuration::mark_unused(thing_kind kind, std::string_view key)
{
    std::size_t erased = 0;
    each_kind(this->held->core.ending, [&]<class Thing>(std::vector<held_thing<Thing>>& list) {
        if (kind_of<Thing>() == kind) {
            erased = std::erase_if(list, [key](const held_thing<Thing>& ending) {
                return key_of(ending.thing) == key;
            });
        }
    });
    return erased != 0;
}

const std::vector<history_entry>& configuration::history() const
{
    return this->held->history;
}

absl::StatusOr<std::vector<field_difference>> configuration::diff(std::uint64_t from,
                                                                  std::uint64_t to) const
{
    const std::uint64_t oldest = this->held->oldest_base();
    if (std::min(from, to) < oldest || std::max(from, to) > this->revision()) {
        return make_error(
            config_errc::unknown_revision,
            fmt::format("revisions {} and {}: allowed {}..{}", from, to, oldest, this->revision()));
    }
    using place = std::tuple<thing_kind, std::string, std::string>;
    std::map<place, field_difference> joined;
    for (const history_entry& entry : this->held->history) {
        if (entry.revision <= std::min(from, to) || entry.revision > std::max(from, to)) {
            continue;
        }
        for (const field_difference& step : entry.differences) {
            joined.try_emplace(place(step.kind, step.key, step.field), step).first->second.after =
                step.after;
        }
    }
    std::vector<field_difference> differences;
    for (const auto& [where, difference] : joined) {
        if (difference.before != difference.after) {
            differences.push_back(difference);
            if (from > to) {
                std::swap(differences.back().before, differences.back().after);
            }
        }
    }
    return differences;
}

catch_up configuration::catch_up_after(std::uint64_t after) const
{
    catch_up sent;
    sent.after = after;
    sent.revision = this->revision();
    sent.digest = this->contents_digest();
    if (after >= sent.revision) {
        return sent;
    }
    sent.ending = pack(this->held->core.ending);
    if (after < this->held->oldest_base() || sent.revision - after > this->options.catch_up_notes) {
        sent.contents = pack(this->held->core.things);
        return sent;
    }
    for (const history_entry& entry : this->held->history) {
        if (entry.revision > after) {
            sent.notes.push_back(entry.note);
        }
    }
    return sent;
}

absl::Status configuration::advance(const catch_up& received)
{
    core_state next = this->held->core;
    if (received.revision <= next.revision) {
        return absl::OkStatus();
    }
    std::vector<history_entry> steps;
    if (!received.contents.empty()) {
        absl::StatusOr<contents> things = unpack<contents>(received.contents);
        if (!things.ok()) {
            return translate_error(config_errc::bad_snapshot, things.status());
        }
        next.things = *std::move(things);
        next.revision = received.revision;
    }
    else {
        if (received.after > next.revision ||
            received.revision - received.after != received.notes.size()) {
            return make_error(config_errc::unknown_revision,
                              fmt::format("notes after {} do not continue revision {}",
                                          received.after, next.revision));
        }
        for (std::size_t index = next.revision - received.after; index < received.notes.size();
             ++index) {
            const release_note& note = received.notes.at(index);
            std::vector<field_difference> differences = commit_note(next, note);
            steps.push_back(history_entry{next.revision, note, {}, std::move(differences)});
        }
    }
    absl::StatusOr<contents> ending = unpack<contents>(received.ending);
    if (!ending.ok()) {
        return translate_error(config_errc::bad_snapshot, ending.status());
    }
    next.ending = *std::move(ending);
    if (!is_well_formed(next.things) || !is_well_formed(next.ending) ||
        digest_of(next) != received.digest) {
        return make_error(config_errc::bad_snapshot,
                          fmt::format("revision {} differs from the sender's", received.revision));
    }
    this->held->core = std::move(next);
    this->held->digest = received.digest;
    if (!received.contents.empty()) {
        this->held->history.clear();
    }
    this->held->history.insert(this->held->history.end(), steps.begin(), steps.end());
    this->held->trim_history(this->options.history_limit);
    return absl::OkStatus();
}

std::uint64_t configuration::contents_digest() const
{
    if (!this->held->digest.has_value()) {
        this->held->digest = digest_of(this->held->core);
    }
    return *this->held->digest;
}

std::string configuration::snapshot() const
{
    return pack(snapshot_form{this->held->core, this->held->history});
}

absl::StatusOr<configuration> configuration::restore(std::string_view bytes,
                                                     configuration_options given)
{
    absl::StatusOr<snapshot_form> form = unpack<snapshot_form>(bytes);
    if (!form.ok()) {
        return translate_error(config_errc::bad_snapshot, form.status());
    }
    if (form->history.size() > form->core.revision) {
        return make_error(config_errc::bad_snapshot, "more notes than revisions");
    }
    std::uint64_t expected = form->core.revision - form->history.size();
    for (const history_entry& entry : form->history) {
        if (entry.revision != ++expected) {
            return make_error(config_errc::bad_snapshot, "revisions of the history have gaps");
        }
    }
    if (!is_well_formed(form->core.things) || !is_well_formed(form->core.ending)) {
        return make_error(config_errc::bad_snapshot, "things are out of order");
    }
    std::unique_ptr<state> initial = std::make_unique<state>();
    initial->core = std::move(form->core);
    initial->history = std::move(form->history);
    return configuration(std::move(given), std::move(initial));
}

} // namespace redwingwheel::config
