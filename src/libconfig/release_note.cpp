#include "redwingwheel/release_note.h"

#include "note_check.h"
#include "redwingwheel/calendar.h"
#include "schema_json.h"

namespace redwingwheel::config {

namespace {

constexpr std::size_t max_things_per_section = 20'000;
constexpr std::int64_t max_revision = std::int64_t{1} << 53; // Whole numbers that JSON keeps.

template <class Thing>
Thing read_added(const field& source)
{
    map_reader map = source.map();
    Thing thing;
    thing.*schema<Thing>::key = map.required(schema<Thing>::key_name).name().value_or("");
    schema<Thing>::each_field([&](std::string_view name, auto member, auto read, presence needed) {
        read(needed == presence::required ? map.required(name) : map.optional(name), thing.*member);
    });
    map.finish();
    return thing;
}

template <class Thing>
change<Thing> read_changed(const field& source)
{
    map_reader map = source.map();
    change<Thing> changed;
    changed.values.*schema<Thing>::key = map.required(schema<Thing>::key_name).name().value_or("");
    schema<Thing>::each_field([&](std::string_view name, auto member, auto read, presence) {
        const field found = map.optional(name);
        if (found.present()) {
            read(found, changed.values.*member);
            changed.fields.emplace_back(name);
        }
    });
    map.finish();
    return changed;
}

release_note read_note(map_reader map)
{
    release_note note;
    note.note = map.required("note").name().value_or("");
    note.base =
        static_cast<std::uint64_t>(map.required("base").integer({0, max_revision}).value_or(0));
    map_reader added = map.optional("added").map();
    each_kind(note.added, [&]<class Thing>(std::vector<Thing>& things) {
        for (const field& item : added.optional(schema<Thing>::kind).list(max_things_per_section)) {
            things.push_back(read_added<Thing>(item));
        }
    });
    added.finish();
    map_reader changed = map.optional("changed").map();
    each_kind(note.changed, [&]<class Thing>(std::vector<change<Thing>>& changes) {
        for (const field& item :
             changed.optional(schema<Thing>::kind).list(max_things_per_section)) {
            changes.push_back(read_changed<Thing>(item));
        }
    });
    changed.finish();
    map_reader withdrawn = map.optional("withdrawn").map();
    each_kind(note.withdrawn, [&]<class Thing>(std::vector<std::string>& keys) {
        for (const field& item :
             withdrawn.optional(schema<Thing>::kind).list(max_things_per_section)) {
            keys.push_back(item.name().value_or(""));
        }
    });
    withdrawn.finish();
    map.finish();
    return note;
}

absl::StatusOr<release_note> read_document(const document_value& document, problem_list& problems)
{
    if (problems.empty() && document.kind != value_kind::map) {
        problems.add("(document)", "not a map", "a release note");
    }
    if (!problems.empty()) {
        return problems.status();
    }
    const release_note note = read_note(field(&document, "", problems).map());
    if (problems.empty()) {
        check_note(note, problems);
    }
    if (!problems.empty()) {
        return problems.status();
    }
    return note;
}

/// Sections with the things that `write` gives for each kind; empty ones are left out.
template <class Section, class Write>
void write_section(nlohmann::json& target, const char* name, const Section& section,
                   const Write& write)
{
    each_kind(section, [&]<class Thing>(const auto& things) {
        nlohmann::json list = nlohmann::json::array();
        for (const auto& thing : things) {
            list.push_back(write(thing));
        }
        if (!list.empty()) {
            target[name][std::string(schema<Thing>::kind)] = list;
        }
    });
}

} // namespace

std::string_view to_text(agreement_level level)
{
    const std::size_t index = static_cast<std::size_t>(level);
    return index < level_names.size() ? level_names.at(index) : "unknown";
}

std::string_view to_text(service_class value)
{
    const std::size_t index = static_cast<std::size_t>(value);
    return index < class_names.size() ? class_names.at(index) : "unknown";
}

bool in_term(const agreement& held, std::chrono::sys_days day)
{
    const std::optional<std::chrono::sys_days> starts = parse_date(held.starts);
    const std::optional<std::chrono::sys_days> ends = parse_date(held.ends);
    return starts.has_value() && ends.has_value() && *starts <= day && day < *ends;
}

bool looks_like_release_note(std::string_view text)
{
    problem_list ignored("");
    const document_value document = read_yaml(text, ignored);
    return std::any_of(document.entries.begin(), document.entries.end(),
                       [](const map_entry& entry) { return entry.key == "note"; });
}

absl::StatusOr<release_note> parse_release_note_yaml(std::string_view text,
                                                     std::string_view file_name)
{
    problem_list problems(file_name);
    const document_value document = read_yaml(text, problems);
    return read_document(document, problems);
}

absl::StatusOr<release_note> parse_release_note_json(std::string_view text,
                                                     std::string_view file_name)
{
    problem_list problems(file_name);
    const document_value document = read_json(text, problems);
    return read_document(document, problems);
}

nlohmann::json to_json(const release_note& note)
{
    nlohmann::json object{{"note", note.note}, {"base", note.base}};
    write_section(object, "added", note.added, [](const auto& thing) { return thing_json(thing); });
    write_section(object, "changed", note.changed,
                  [](const auto& changed) { return thing_json(changed.values, &changed.fields); });
    write_section(object, "withdrawn", note.withdrawn,
                  [](const std::string& key) { return nlohmann::json(key); });
    return object;
}

nlohmann::json to_json(const data_centre& thing)
{
    return thing_json(thing);
}

nlohmann::json to_json(const client_account& thing)
{
    return thing_json(thing);
}

nlohmann::json to_json(const agreement& thing)
{
    return thing_json(thing);
}

nlohmann::json to_json(const service& thing)
{
    return thing_json(thing);
}

} // namespace redwingwheel::config
