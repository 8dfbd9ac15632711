#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "redwingwheel/configuration.h"
#include "schema.h"

namespace redwingwheel::config {

/// A thing with the revisions that decide conflicts.
template <class Thing>
struct held_thing {
    Thing thing;
    std::uint64_t created = 0;
    std::vector<std::uint64_t> changed_at; ///< One revision for each field, in schema order.
    MSGPACK_DEFINE(thing, created, changed_at)
};

/// Things by kind, each list ordered by key.
struct contents {
    std::vector<held_thing<data_centre>> data_centres;
    std::vector<held_thing<client_account>> client_accounts;
    std::vector<held_thing<agreement>> agreements;
    std::vector<held_thing<service>> services;
    MSGPACK_DEFINE(data_centres, client_accounts, agreements, services)
};

/// The last withdrawal of a key.
struct withdrawal {
    thing_kind kind = thing_kind::data_centres;
    std::string key;
    std::uint64_t revision = 0;
    MSGPACK_DEFINE(kind, key, revision)
};

/// Everything but the history.
struct core_state {
    std::uint64_t revision = 0;
    contents things;
    contents ending; ///< Services and accounts only.
    std::vector<withdrawal> withdrawals;
    MSGPACK_DEFINE(revision, things, ending, withdrawals)
};

template <class Thing>
constexpr thing_kind kind_of()
{
    if constexpr (std::is_same_v<Thing, data_centre>) {
        return thing_kind::data_centres;
    }
    else if constexpr (std::is_same_v<Thing, client_account>) {
        return thing_kind::client_accounts;
    }
    else if constexpr (std::is_same_v<Thing, agreement>) {
        return thing_kind::agreements;
    }
    else {
        return thing_kind::services;
    }
}

/// Position of `key`, or where it belongs.
template <class List>
auto position_of(List& list, std::string_view key)
{
    return std::lower_bound(
        list.begin(), list.end(), key,
        [](const auto& held, std::string_view wanted) { return key_of(held.thing) < wanted; });
}

template <class Thing>
const held_thing<Thing>* find_held(const std::vector<held_thing<Thing>>& list, std::string_view key)
{
    const auto place = position_of(list, key);
    return place != list.end() && key_of(place->thing) == key ? &*place : nullptr;
}

/// The revision at which `key` was last withdrawn; 0 when that is not known.
[[nodiscard]] std::uint64_t withdrawn_at(const core_state& core, thing_kind kind,
                                         std::string_view key);

/// Applies a note without asking whether it fits; what refers to nothing is passed over. Returns
/// the differences that it makes.
std::vector<field_difference> commit_note(core_state& core, const release_note& note);

/// True when lists are ordered, keys are unique and every field has its revision.
[[nodiscard]] bool is_well_formed(const contents& things);

} // namespace redwingwheel::config
