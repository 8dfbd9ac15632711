#include "note_rules.h"

#include <fmt/format.h>

namespace redwingwheel::config {

namespace {

template <class Thing>
std::string path_of(std::string_view key)
{
    return fmt::format("{}/{}", schema<Thing>::kind, key);
}

/// Checks one kind of thing against the revisions after the base of a note.
template <class Thing>
class touched_check {
public:
    touched_check(const core_state& state, std::uint64_t note_base, note_findings& found)
        : core(state), base(note_base), findings(found)
    {
    }

    void added(const std::string& key)
    {
        const held_thing<Thing>* const held = this->find(key);
        const std::uint64_t last = std::max(held == nullptr ? 0 : held->created, this->gone(key));
        if (this->conflicts(path_of<Thing>(key), last)) {
            return;
        }
        if (held != nullptr) {
            this->reject(key, "a key that is not in use");
        }
        else if (find_held(member_of<Thing>(this->core.ending), key) != nullptr) {
            this->reject(key, "a key whose withdrawn thing has no work left");
        }
    }

    void changed(const std::string& key, const std::vector<std::string>& fields)
    {
        const held_thing<Thing>* const held = this->existing(key);
        if (held == nullptr) {
            return;
        }
        std::size_t index = 0;
        schema<Thing>::each_field([&](std::string_view name, auto, auto, presence) {
            if (contains(fields, name)) {
                this->conflicts(fmt::format("{}/{}", path_of<Thing>(key), name),
                                held->changed_at.at(index));
            }
            ++index;
        });
    }

    void withdrawn(const std::string& key)
    {
        std::vector<std::string> all;
        schema<Thing>::each_field(
            [&all](std::string_view name, auto, auto, presence) { all.emplace_back(name); });
        this->changed(key, all);
    }

private:
    const held_thing<Thing>* find(std::string_view key) const
    {
        return find_held(member_of<Thing>(this->core.things), key);
    }
    std::uint64_t gone(std::string_view key) const
    {
        return withdrawn_at(this->core, kind_of<Thing>(), key);
    }
    /// The thing `key` if it exists since the base or longer.
    const held_thing<Thing>* existing(const std::string& key)
    {
        const held_thing<Thing>* const held = this->find(key);
        const std::uint64_t last = std::max(held == nullptr ? 0 : held->created, this->gone(key));
        if (this->conflicts(path_of<Thing>(key), last)) {
            return nullptr;
        }
        if (held == nullptr) {
            this->reject(key, "a key in the configuration");
        }
        return held;
    }
    bool conflicts(const std::string& path, std::uint64_t revision)
    {
        if (revision <= this->base || !this->findings.detect_conflicts) {
            return false;
        }
        this->findings.conflicts.push_back(conflict{path, revision});
        return true;
    }
    void reject(const std::string& key, std::string_view allowed)
    {
        this->findings.problems.add(schema<Thing>::kind, key, allowed);
    }

    const core_state& core;
    std::uint64_t base;
    note_findings& findings;
};

/// Checks references of a proposed state.
class reference_check {
public:
    reference_check(const core_state& old_state, const core_state& new_state,
                    std::uint64_t note_base, note_findings& found)
        : before(old_state), proposed(new_state), base(note_base), findings(found)
    {
    }

    /// `changed_at` is the revision of the referring field.
    template <class Target>
    void refer(const std::string& field_path, const std::string& key, std::uint64_t changed_at)
    {
        if (find_held(member_of<Target>(this->proposed.things), key) != nullptr) {
            return;
        }
        const std::uint64_t gone = withdrawn_at(this->before, kind_of<Target>(), key);
        if (this->is_later(gone)) {
            this->findings.conflicts.push_back(conflict{path_of<Target>(key), gone});
            return;
        }
        this->fault(field_path, key, fmt::format("a key in {}", schema<Target>::kind), changed_at);
    }

    void fault(const std::string& field_path, std::string_view value, std::string_view allowed,
               std::uint64_t changed_at)
    {
        if (this->is_later(changed_at)) {
            this->findings.conflicts.push_back(conflict{field_path, changed_at});
        }
        else {
            this->findings.problems.add(field_path, value, allowed);
        }
    }

private:
    /// True for a change after the base that is not the note's own.
    bool is_later(std::uint64_t revision) const
    {
        return this->findings.detect_conflicts && revision > this->base &&
               revision <= this->before.revision;
    }

    const core_state& before;
    const core_state& proposed;
    std::uint64_t base;
    note_findings& findings;
};

/// Revision of field `name` of a thing.
template <class Thing>
std::uint64_t revision_of(const held_thing<Thing>& held, std::string_view wanted)
{
    std::size_t index = 0;
    std::uint64_t revision = 0;
    schema<Thing>::each_field([&](std::string_view name, auto, auto, presence) {
        if (name == wanted) {
            revision = held.changed_at.at(index);
        }
        ++index;
    });
    return revision;
}

void check_term(reference_check& check, const held_thing<agreement>& held,
                std::uint64_t current_revision)
{
    if (held.thing.starts < held.thing.ends) {
        return;
    }
    const std::uint64_t starts = revision_of(held, "starts");
    const std::uint64_t ends = revision_of(held, "ends");
    // The field that this note did not set is the one that may have changed since its base.
    const bool ends_is_own = ends > current_revision;
    check.fault(fmt::format("agreements/{}/{}", held.thing.id, ends_is_own ? "starts" : "ends"),
                ends_is_own ? held.thing.starts : held.thing.ends,
                "a term that ends after it starts", ends_is_own ? starts : ends);
}

} // namespace

void check_touched(const core_state& core, const release_note& note, note_findings& findings)
{
    each_kind(note.added, [&]<class Thing>(const std::vector<Thing>& added) {
        touched_check<Thing> check(core, note.base, findings);
        for (const Thing& thing : added) {
            check.added(key_of(thing));
        }
        for (const change<Thing>& changed : member_of<Thing>(note.changed)) {
            check.changed(key_of(changed.values), changed.fields);
        }
        for (const std::string& key : member_of<Thing>(note.withdrawn)) {
            check.withdrawn(key);
        }
    });
}

void check_references(const core_state& before, const core_state& proposed,
                      const release_note& note, note_findings& findings)
{
    reference_check check(before, proposed, note.base, findings);
    for (const held_thing<agreement>& held : proposed.things.agreements) {
        const std::string path = path_of<agreement>(held.thing.id);
        check.refer<client_account>(path + "/account", held.thing.account,
                                    revision_of(held, "account"));
        if (!held.thing.data_centre.empty()) {
            check.refer<data_centre>(path + "/data_centre", held.thing.data_centre,
                                     revision_of(held, "data_centre"));
        }
        check_term(check, held, before.revision);
    }
    for (const held_thing<service>& held : proposed.things.services) {
        for (const std::string& account : held.thing.accounts) {
            check.refer<client_account>(path_of<service>(held.thing.name) + "/accounts", account,
                                        revision_of(held, "accounts"));
        }
    }
}

} // namespace redwingwheel::config
