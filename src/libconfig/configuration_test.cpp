#include "redwingwheel/configuration.h"

#include <random>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace config = redwingwheel::config;
using config::apply_outcome;

namespace {

config::release_note note(std::string_view name, std::uint64_t base, std::string_view rest)
{
    const std::string text = fmt::format("note: {}\nbase: {}\n{}\n", name, base, rest);
    absl::StatusOr<config::release_note> read = config::parse_release_note_yaml(text, "test");
    if (!read.ok()) {
        FAIL(config::problem_lines(read.status()).at(0));
    }
    return *std::move(read);
}

std::string account(std::string_view name)
{
    return fmt::format("{{name: {}, token_digest: {}, weight: 1}}", name, std::string(64, 'a'));
}

/// Revision 1: two accounts, a data centre, an agreement and a service of the account acme.
config::configuration sample(config::configuration_options options = {})
{
    config::configuration made(std::move(options));
    const config::apply_result result = made.apply(note(
        "first", 0,
        "added: {data_centres: [{name: dc1, region: r}], client_accounts: [" + account("acme") +
            ", " + account("beta") +
            "], agreements: [{id: a1, account: acme, level: host, count: 1, starts: 2026-01-01, "
            "ends: 2027-01-01}], services: [{name: s1, class: batch, idempotent: true, "
            "can_checkpoint: false, accounts: [acme], default_deadline_ms: 1000}]}"));
    REQUIRE(result.outcome == apply_outcome::accepted);
    return made;
}

config::release_note set_weight(std::string_view name, std::uint64_t base, std::string_view of,
                                int weight)
{
    return note(
        name, base,
        fmt::format("changed: {{client_accounts: [{{name: {}, weight: {}}}]}}", of, weight));
}

} // namespace

// Guards against a racing note that overwrites another one, or is refused without the field.
TEST_CASE("a note conflicts exactly when a field it touches changed since its base",
          "[configuration]")
{
    config::configuration held = sample();
    REQUIRE(held.apply(set_weight("w2", 1, "acme", 2)).revision == 2);

    const config::apply_result same_field = held.apply(set_weight("w3", 1, "acme", 3));
    REQUIRE(same_field.outcome == apply_outcome::conflict);
    REQUIRE(same_field.revision == 2);
    REQUIRE(same_field.conflicts.at(0).field == "client_accounts/acme/weight");
    REQUIRE(same_field.conflicts.at(0).revision == 2);
    REQUIRE(held.find_client_account("acme")->weight == 2);

    REQUIRE(held.apply(set_weight("w4", 1, "beta", 4)).outcome == apply_outcome::accepted);
    REQUIRE(held.apply(note("w5", 1, "withdrawn: {client_accounts: [beta]}")).outcome ==
            apply_outcome::conflict);
    REQUIRE(held.apply(set_weight("w6", 9, "acme", 1)).outcome == apply_outcome::invalid);

    // Without the check the same race is lost silently, so the check above is what catches it.
    config::configuration unchecked = sample({.detect_conflicts = false});
    unchecked.apply(set_weight("w2", 1, "acme", 2));
    unchecked.apply(set_weight("w3", 1, "acme", 3));
    REQUIRE(unchecked.find_client_account("acme")->weight == 3);
}

// Guards against a conflict with a withdrawal, an addition or a reference that looks like a typing
// error of the operator, or the reverse.
TEST_CASE("races over existence and references are conflicts", "[configuration]")
{
    config::configuration held = sample();
    REQUIRE(held.apply(note("w2", 1, "withdrawn: {client_accounts: [beta]}")).revision == 2);
    const config::apply_result changed = held.apply(set_weight("w3", 1, "beta", 3));
    REQUIRE(changed.conflicts.at(0).field == "client_accounts/beta");
    const std::string use_beta =
        "added: {agreements: [{id: a2, account: beta, level: host, count: 1, starts: 2026-01-01, "
        "ends: 2027-01-01}]}";
    REQUIRE(held.apply(note("w4", 1, use_beta)).outcome == apply_outcome::conflict);
    REQUIRE(held.apply(note("w5", 2, use_beta)).outcome == apply_outcome::invalid);

    REQUIRE(held.apply(note("w6", 2, "added: {data_centres: [{name: dc2, region: r}]}")).revision ==
            3);
    const std::string add_again = "added: {data_centres: [{name: dc2, region: q}]}";
    REQUIRE(held.apply(note("w7", 2, add_again)).outcome == apply_outcome::conflict);
    REQUIRE(held.apply(note("w8", 3, add_again)).outcome == apply_outcome::invalid);
    REQUIRE(held.find_data_centre("dc2")->region == "r");

    // Each change is good alone; together the term would end before it starts.
    REQUIRE(
        held.apply(note("w9", 3, "changed: {agreements: [{id: a1, ends: 2026-02-01}]}")).outcome ==
        apply_outcome::accepted);
    const config::apply_result term =
        held.apply(note("w10", 3, "changed: {agreements: [{id: a1, starts: 2026-03-01}]}"));
    REQUIRE(term.conflicts.at(0).field == "agreements/a1/ends");
}

// Guards against agreements or services that are left without their account.
TEST_CASE("an account leaves only together with what refers to it", "[configuration]")
{
    config::configuration held = sample();
    const config::apply_result alone =
        held.apply(note("w2", 1, "withdrawn: {client_accounts: [acme]}"));
    REQUIRE(alone.outcome == apply_outcome::invalid);
    REQUIRE(alone.problems.size() == 2);
    REQUIRE(config::to_line(alone.problems[0]) ==
            "note w2: agreements/a1/account: value acme: allowed a key in client_accounts");
    REQUIRE(held.revision() == 1);
    REQUIRE(held.apply(note("w3", 1,
                            "withdrawn: {client_accounts: [acme], agreements: [a1]}\n"
                            "changed: {services: [{name: s1, accounts: [beta]}]}"))
                .outcome == apply_outcome::accepted);
    REQUIRE(held.find_service("s1")->accounts == std::vector<std::string>{"beta"});
}

// Guards against a resend that is applied twice or answered differently from the first time.
TEST_CASE("a resend gets the first answer", "[configuration]")
{
    config::configuration held = sample({.history_limit = 8});
    const config::release_note first = set_weight("w2", 1, "acme", 2);
    REQUIRE(held.apply(first).revision == 2);
    REQUIRE(held.apply(set_weight("w3", 2, "acme", 5)).revision == 3);

    const config::apply_result again = held.apply(first);
    REQUIRE((again.outcome == apply_outcome::accepted && again.resend && again.revision == 2));
    REQUIRE(held.find_client_account("acme")->weight == 5);
    REQUIRE(held.apply(set_weight("w2", 3, "acme", 7)).outcome == apply_outcome::identity_reused);
    REQUIRE(held.revision() == 3);

    // A resend after its identity has left the history must still not be applied again.
    for (std::uint64_t revision = 3; revision < 30; ++revision) {
        held.apply(
            set_weight(fmt::format("x{}", revision), revision, "beta", static_cast<int>(revision)));
    }
    REQUIRE(held.revision() == 30);
    REQUIRE(held.history().size() <= 9);
    const config::apply_result late = held.apply(first);
    REQUIRE(late.outcome == apply_outcome::conflict);
    REQUIRE(late.conflicts.at(0).field == "base");
}

// Guards against a withdrawn service that vanishes while its work is still running.
TEST_CASE("withdrawn services and accounts end until they are unused", "[configuration]")
{
    config::configuration held = sample();
    const std::string add = "added: {services: [{name: s1, class: batch, idempotent: true, "
                            "can_checkpoint: false, accounts: [], default_deadline_ms: 1}]}";
    held.apply(note("w2", 1, "withdrawn: {services: [s1]}"));
    REQUIRE(held.find_service("s1") == nullptr);
    REQUIRE(held.ending().services.at(0).name == "s1");
    REQUIRE(held.apply(note("w3", 2, add)).outcome == apply_outcome::invalid);
    REQUIRE(held.mark_unused(config::thing_kind::services, "s1"));
    REQUIRE_FALSE(held.mark_unused(config::thing_kind::services, "s1"));
    REQUIRE(held.ending().services.empty());
    REQUIRE(held.apply(note("w3", 2, add)).outcome == apply_outcome::accepted);
}

// Guards against processes that follow and keep every withdrawn thing for all time.
TEST_CASE("followers keep what is ending at the leader and nothing else", "[configuration]")
{
    config::configuration leader = sample();
    config::configuration follower;
    REQUIRE(follower.advance(leader.catch_up_after(0)).ok());
    leader.apply(note("w2", 1, "withdrawn: {services: [s1]}"));
    REQUIRE(follower.advance(leader.catch_up_after(1)).ok());
    REQUIRE(follower.ending().services.size() == 1);
    config::configuration fresh;
    REQUIRE(fresh.advance(leader.catch_up_after(0)).ok());
    REQUIRE(fresh.ending().services.size() == 1);

    REQUIRE(leader.mark_unused(config::thing_kind::services, "s1"));
    leader.apply(set_weight("w3", 2, "acme", 2));
    REQUIRE(follower.advance(leader.catch_up_after(2)).ok());
    REQUIRE(follower.ending().services.empty());
    REQUIRE(follower.revision() == 3);
}

// Guards against a note whose guarantees do not fit being accepted in part.
TEST_CASE("the admission hook sees the proposed state and can refuse it", "[configuration]")
{
    config::configuration_options options;
    options.admission = [](const config::configuration& proposed) {
        std::vector<config::problem> problems;
        if (proposed.agreements().at(0).count > 4) {
            problems.push_back({"note", "agreements/a1/count", "5", "4 hosts in dc1"});
        }
        return problems;
    };
    config::configuration held = sample(std::move(options));
    const std::string digest = held.snapshot();
    const config::apply_result result =
        held.apply(note("w2", 1, "changed: {agreements: [{id: a1, count: 5}]}"));
    REQUIRE(result.outcome == apply_outcome::infeasible);
    REQUIRE(result.problems.size() == 1);
    REQUIRE(held.snapshot() == digest);
    REQUIRE(held.check(note("w2", 1, "changed: {agreements: [{id: a1, count: 4}]}")).outcome ==
            apply_outcome::accepted);
    REQUIRE(held.snapshot() == digest);
}

// Guards against a diff that lists values changed back, or loses the oldest or newest value.
TEST_CASE("diff joins the changes between two revisions", "[configuration]")
{
    config::configuration held = sample();
    held.apply(set_weight("w2", 1, "acme", 2));
    held.apply(set_weight("w3", 2, "beta", 9));
    held.apply(set_weight("w4", 3, "beta", 1));
    held.apply(set_weight("w5", 4, "acme", 3));
    const std::vector<config::field_difference> forward = *held.diff(1, 5);
    REQUIRE(forward.size() == 1);
    REQUIRE((forward[0].before == "1" && forward[0].after == "3"));
    REQUIRE((*held.diff(5, 1)).at(0).after == "1");
    REQUIRE(held.diff(0, 5)->size() > 10);
    REQUIRE_FALSE(held.diff(1, 6).ok());
}

// Guards against followers that drift from the leader, go back, or take damaged catch-ups; and
// against snapshots that lose state.
TEST_CASE("followers and restored copies equal the leader", "[configuration]")
{
    constexpr std::uint32_t seed = 20260101;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    config::configuration leader = sample({.history_limit = 16, .catch_up_notes = 6});
    config::configuration follower({.history_limit = 0});
    for (std::uint64_t step = 1; step < 200; ++step) {
        leader.apply(set_weight(fmt::format("n{}", step), leader.revision(),
                                random() % 2 == 0 ? "acme" : "beta",
                                static_cast<int>(random() % 100) + 1));
        if (random() % 8 == 0) {
            const config::catch_up sent = leader.catch_up_after(follower.revision());
            config::catch_up damaged = sent;
            damaged.digest ^= 1;
            REQUIRE_FALSE(follower.advance(damaged).ok());
            REQUIRE(follower.advance(sent).ok());
            REQUIRE(follower.advance(sent).ok());
            REQUIRE(follower.contents_digest() == leader.contents_digest());
            REQUIRE(follower.contents_json() == leader.contents_json());
        }
    }
    const std::string bytes = leader.snapshot();
    absl::StatusOr<config::configuration> restored =
        config::configuration::restore(bytes, {.history_limit = 16, .catch_up_notes = 6});
    REQUIRE(restored.ok());
    REQUIRE(restored->snapshot() == bytes);
    for (std::size_t size = 0; size < bytes.size(); size += 37) {
        REQUIRE_FALSE(config::configuration::restore(bytes.substr(0, size)).ok());
    }
    const std::uint64_t reached = follower.revision();
    REQUIRE(follower.advance(sample().catch_up_after(0)).ok());
    REQUIRE(follower.revision() == reached);
    config::catch_up gap = leader.catch_up_after(leader.revision() - 1);
    config::configuration empty;
    REQUIRE(empty.advance(gap).code() == absl::StatusCode::kOutOfRange);
    REQUIRE(empty.advance(leader.catch_up_after(0)).ok());
}
