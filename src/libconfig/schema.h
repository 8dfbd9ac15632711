#pragma once

#include <algorithm>
#include <array>

#include "field_reader.h"
#include "redwingwheel/release_note.h"

/// The fields of each kind of thing, in one place for reading, writing, comparing and changing.
namespace redwingwheel::config {

constexpr std::array<std::string_view, 5> level_names{"accelerator", "group", "host", "rack",
                                                      "data_centre"};
constexpr std::array<std::string_view, 3> class_names{"interactive", "standard", "batch"};

constexpr std::size_t max_accounts_per_service = 10'000;
constexpr std::int64_t max_weight = 1'000;
constexpr std::int64_t max_cells = 100'000;
/// One day: no request of the two workloads is worth an answer after that.
constexpr std::int64_t max_deadline_ms = 86'400'000;

enum class presence { required, optional };

/// Readers store into `target` when the field holds a good value.
inline void read_name(const field& source, std::string& target)
{
    target = source.name().value_or(target);
}
inline void read_optional_name(const field& source, std::string& target)
{
    const std::optional<std::string> text = source.text();
    target = text.has_value() && text->empty() ? "" : source.name().value_or(target);
}
inline void read_digest(const field& source, std::string& target)
{
    target = source.token_digest().value_or(target);
}
inline void read_date(const field& source, std::string& target)
{
    target = source.date().value_or(target);
}
inline void read_flag(const field& source, bool& target)
{
    target = source.boolean().value_or(target);
}
template <std::int64_t Most>
void read_count(const field& source, std::uint32_t& target)
{
    target = static_cast<std::uint32_t>(source.integer({1, Most}).value_or(target));
}
inline void read_level(const field& source, agreement_level& target)
{
    target = static_cast<agreement_level>(
        source.one_of(level_names).value_or(static_cast<std::size_t>(target)));
}
inline void read_class(const field& source, service_class& target)
{
    target = static_cast<service_class>(
        source.one_of(class_names).value_or(static_cast<std::size_t>(target)));
}
inline void read_accounts(const field& source, std::vector<std::string>& target)
{
    target = source.names(max_accounts_per_service).value_or(target);
}

template <class Thing>
struct schema;

template <>
struct schema<data_centre> {
    static constexpr std::string_view kind = "data_centres";
    static constexpr std::string_view key_name = "name";
    static constexpr std::string data_centre::*key = &data_centre::name;
    template <class Visit>
    static void each_field(const Visit& visit)
    {
        visit("region", &data_centre::region, read_name, presence::required);
    }
};

template <>
struct schema<client_account> {
    static constexpr std::string_view kind = "client_accounts";
    static constexpr std::string_view key_name = "name";
    static constexpr std::string client_account::*key = &client_account::name;
    template <class Visit>
    static void each_field(const Visit& visit)
    {
        visit("token_digest", &client_account::token_digest, read_digest, presence::required);
        visit("weight", &client_account::weight, read_count<max_weight>, presence::required);
    }
};

template <>
struct schema<agreement> {
    static constexpr std::string_view kind = "agreements";
    static constexpr std::string_view key_name = "id";
    static constexpr std::string agreement::*key = &agreement::id;
    template <class Visit>
    static void each_field(const Visit& visit)
    {
        visit("account", &agreement::account, read_name, presence::required);
        visit("level", &agreement::level, read_level, presence::required);
        visit("count", &agreement::count, read_count<max_cells>, presence::required);
        visit("data_centre", &agreement::data_centre, read_optional_name, presence::optional);
        visit("starts", &agreement::starts, read_date, presence::required);
        visit("ends", &agreement::ends, read_date, presence::required);
    }
};

template <>
struct schema<service> {
    static constexpr std::string_view kind = "services";
    static constexpr std::string_view key_name = "name";
    static constexpr std::string service::*key = &service::name;
    template <class Visit>
    static void each_field(const Visit& visit)
    {
        visit("class", &service::request_class, read_class, presence::required);
        visit("idempotent", &service::idempotent, read_flag, presence::required);
        visit("can_checkpoint", &service::can_checkpoint, read_flag, presence::required);
        visit("accounts", &service::accounts, read_accounts, presence::required);
        visit("default_deadline_ms", &service::default_deadline_ms, read_count<max_deadline_ms>,
              presence::required);
    }
};

/// Calls `visit` once for each kind with the member that holds its things in `Section`, a struct
/// with one member for each kind.
template <class Section, class Visit>
void each_kind(Section& section, const Visit& visit)
{
    visit.template operator()<data_centre>(section.data_centres);
    visit.template operator()<client_account>(section.client_accounts);
    visit.template operator()<agreement>(section.agreements);
    visit.template operator()<service>(section.services);
}

/// The member of `section` that holds things of kind `Thing`.
template <class Thing, class Section>
decltype(auto) member_of(Section& section)
{
    if constexpr (std::is_same_v<Thing, data_centre>) {
        return (section.data_centres);
    }
    else if constexpr (std::is_same_v<Thing, client_account>) {
        return (section.client_accounts);
    }
    else if constexpr (std::is_same_v<Thing, agreement>) {
        return (section.agreements);
    }
    else {
        return (section.services);
    }
}

template <class Thing>
const std::string& key_of(const Thing& thing)
{
    return thing.*schema<Thing>::key;
}

inline bool contains(const std::vector<std::string>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace redwingwheel::config
