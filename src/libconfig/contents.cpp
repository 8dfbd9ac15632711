#include "contents.h"

#include "schema_json.h"

namespace redwingwheel::config {

namespace {

template <class Thing>
std::size_t field_count()
{
    std::size_t count = 0;
    schema<Thing>::each_field([&count](std::string_view, auto, auto, presence) { ++count; });
    return count;
}

std::string value_text(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// The fields of a thing that appears or disappears.
template <class Thing>
void add_whole(const Thing& thing, bool appears, std::vector<field_difference>& differences)
{
    schema<Thing>::each_field([&](std::string_view name, auto member, auto, presence) {
        const std::string value = value_text(value_json(thing.*member));
        differences.push_back(field_difference{kind_of<Thing>(), key_of(thing), std::string(name),
                                               appears ? "" : value, appears ? value : ""});
    });
}

template <class Thing>
void commit_withdrawn(core_state& core, const std::string& key,
                      std::vector<field_difference>& differences)
{
    std::vector<held_thing<Thing>>& list = member_of<Thing>(core.things);
    const auto place = position_of(list, key);
    if (place == list.end() || key_of(place->thing) != key) {
        return;
    }
    add_whole(place->thing, false, differences);
    if constexpr (std::is_same_v<Thing, service> || std::is_same_v<Thing, client_account>) {
        std::vector<held_thing<Thing>>& ending = member_of<Thing>(core.ending);
        ending.insert(position_of(ending, key), *place);
    }
    list.erase(place);
    core.withdrawals.push_back(withdrawal{kind_of<Thing>(), key, core.revision});
}

template <class Thing>
void commit_changed(core_state& core, const change<Thing>& changed,
                    std::vector<field_difference>& differences)
{
    std::vector<held_thing<Thing>>& list = member_of<Thing>(core.things);
    const std::string& key = key_of(changed.values);
    const auto place = position_of(list, key);
    if (place == list.end() || key_of(place->thing) != key) {
        return;
    }
    std::size_t index = 0;
    schema<Thing>::each_field([&](std::string_view name, auto member, auto, presence) {
        if (contains(changed.fields, name)) {
            differences.push_back(field_difference{kind_of<Thing>(), key, std::string(name),
                                                   value_text(value_json(place->thing.*member)),
                                                   value_text(value_json(changed.values.*member))});
            place->thing.*member = changed.values.*member;
            place->changed_at.at(index) = core.revision;
        }
        ++index;
    });
}

template <class Thing>
void commit_added(core_state& core, const Thing& thing, std::vector<field_difference>& differences)
{
    std::vector<held_thing<Thing>>& list = member_of<Thing>(core.things);
    const auto place = position_of(list, key_of(thing));
    if (place != list.end() && key_of(place->thing) == key_of(thing)) {
        return;
    }
    add_whole(thing, true, differences);
    list.insert(place,
                held_thing<Thing>{thing, core.revision,
                                  std::vector<std::uint64_t>(field_count<Thing>(), core.revision)});
    std::erase_if(member_of<Thing>(core.ending), [&thing](const held_thing<Thing>& ending) {
        return key_of(ending.thing) == key_of(thing);
    });
}

} // namespace

std::uint64_t withdrawn_at(const core_state& core, thing_kind kind, std::string_view key)
{
    std::uint64_t revision = 0;
    for (const withdrawal& known : core.withdrawals) {
        if (known.kind == kind && known.key == key) {
            revision = std::max(revision, known.revision);
        }
    }
    return revision;
}

std::vector<field_difference> commit_note(core_state& core, const release_note& note)
{
    std::vector<field_difference> differences;
    ++core.revision;
    each_kind(note.withdrawn, [&]<class Thing>(const std::vector<std::string>& keys) {
        for (const std::string& key : keys) {
            commit_withdrawn<Thing>(core, key, differences);
        }
    });
    each_kind(note.changed, [&]<class Thing>(const std::vector<change<Thing>>& changes) {
        for (const change<Thing>& changed : changes) {
            commit_changed(core, changed, differences);
        }
    });
    each_kind(note.added, [&]<class Thing>(const std::vector<Thing>& things) {
        for (const Thing& thing : things) {
            commit_added(core, thing, differences);
        }
    });
    return differences;
}

bool is_well_formed(const contents& things)
{
    bool good = true;
    each_kind(things, [&good]<class Thing>(const std::vector<held_thing<Thing>>& list) {
        const std::string* last = nullptr;
        for (const held_thing<Thing>& held : list) {
            good = good && held.changed_at.size() == field_count<Thing>() &&
                   (last == nullptr || *last < key_of(held.thing));
            last = &key_of(held.thing);
        }
    });
    return good;
}

} // namespace redwingwheel::config
