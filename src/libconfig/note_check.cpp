#include "note_check.h"

#include <set>

#include <fmt/format.h>

#include "schema.h"

namespace redwingwheel::config {

namespace {

/// Keys of one kind that were seen in a note, with the duplicates reported.
class key_check {
public:
    key_check(std::string_view kind_name, problem_list& list) : kind(kind_name), problems(list) {}

    void see(std::string_view section, const std::string& key)
    {
        if (!this->seen.insert(key).second) {
            this->problems.add(fmt::format("{}.{}", section, this->kind), key,
                               "each thing once, in one of added, changed, withdrawn");
        }
    }

private:
    std::string_view kind;
    problem_list& problems;
    std::set<std::string> seen;
};

std::size_t count_things(const release_note& note)
{
    std::size_t count = 0;
    const auto add = [&count]<class Thing>(const auto& things) { count += things.size(); };
    each_kind(note.added, add);
    each_kind(note.changed, add);
    each_kind(note.withdrawn, add);
    return count;
}

} // namespace

void check_note(const release_note& note, problem_list& problems)
{
    each_kind(note.added, [&]<class Thing>(const std::vector<Thing>& added) {
        key_check keys(schema<Thing>::kind, problems);
        for (const Thing& thing : added) {
            keys.see("added", key_of(thing));
        }
        for (const change<Thing>& changed : member_of<Thing>(note.changed)) {
            keys.see("changed", key_of(changed.values));
            if (changed.fields.empty()) {
                problems.add(fmt::format("changed.{}", schema<Thing>::kind), key_of(changed.values),
                             "at least one field that changes");
            }
        }
        for (const std::string& key : member_of<Thing>(note.withdrawn)) {
            keys.see("withdrawn", key);
        }
    });
    for (const agreement& added : note.added.agreements) {
        // Dates in this form compare as text.
        if (!added.starts.empty() && !added.ends.empty() && added.ends <= added.starts) {
            problems.add(fmt::format("added.agreements.{}.ends", added.id), added.ends,
                         "a day after starts");
        }
    }
    if (count_things(note) == 0) {
        problems.add("(document)", "nothing added, changed or withdrawn", "at least one thing");
    }
}

} // namespace redwingwheel::config
