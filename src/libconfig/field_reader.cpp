#include "field_reader.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "redwingwheel/calendar.h"
#include "redwingwheel/release_note.h"
#include "redwingwheel/socket_address.h"

namespace redwingwheel::config {

namespace {

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_text_bytes = 4096;
constexpr std::size_t digest_digits = 64;
/// Maps of this project have a dozen keys; the check of keys is quadratic.
constexpr std::size_t max_map_entries = 256;

bool is_alphanumeric(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9');
}

bool is_name_letter(char letter)
{
    return is_alphanumeric(letter) || letter == '.' || letter == '_' || letter == '-';
}

bool is_digest(std::string_view text)
{
    return text.size() == digest_digits && std::all_of(text.begin(), text.end(), [](char letter) {
               return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
           });
}

bool is_single_line(std::string_view text)
{
    return text.size() <= max_text_bytes && std::all_of(text.begin(), text.end(), [](char letter) {
               return static_cast<unsigned char>(letter) >= 0x20 && letter != 0x7f;
           });
}

std::string shown(const document_value* value)
{
    if (value == nullptr) {
        return "(missing)";
    }
    switch (value->kind) {
    case value_kind::null:
        return "null";
    case value_kind::scalar:
        return value->text.empty() ? "\"\"" : value->text;
    case value_kind::list:
        return fmt::format("a list of {}", value->items.size());
    case value_kind::map:
        return fmt::format("a map of {}", value->entries.size());
    }
    return "";
}

} // namespace

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes && is_alphanumeric(text.front()) &&
           std::all_of(text.begin(), text.end(), is_name_letter);
}

void field::reject(std::string_view allowed) const
{
    this->problems->add(this->place, shown(this->node), allowed);
}

const std::string* field::scalar(std::string_view allowed) const
{
    if (this->node == nullptr) {
        return nullptr;
    }
    if (this->node->kind != value_kind::scalar) {
        this->reject(allowed);
        return nullptr;
    }
    return &this->node->text;
}

std::optional<std::string> field::text() const
{
    constexpr std::string_view allowed = "text of one line, at most 4096 bytes";
    const std::string* const found = this->scalar(allowed);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!is_single_line(*found)) {
        this->reject(allowed);
        return std::nullopt;
    }
    return *found;
}

std::optional<std::string> field::name() const
{
    constexpr std::string_view allowed =
        "1 to 64 of A-Z a-z 0-9 . _ -, beginning with a letter or digit";
    const std::string* const found = this->scalar(allowed);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!is_name(*found)) {
        this->reject(allowed);
        return std::nullopt;
    }
    return *found;
}

std::optional<std::int64_t> field::integer(integer_range range) const
{
    const std::string allowed = fmt::format("a whole number {}..{}", range.least, range.most);
    const std::string* const found = this->scalar(allowed);
    if (found == nullptr) {
        return std::nullopt;
    }
    std::int64_t number = 0;
    const char* const end = found->data() + found->size();
    const std::from_chars_result read = std::from_chars(found->data(), end, number);
    if (this->node->quoted || read.ec != std::errc() || read.ptr != end || number < range.least ||
        number > range.most) {
        this->reject(allowed);
        return std::nullopt;
    }
    return number;
}

std::optional<bool> field::boolean() const
{
    constexpr std::string_view allowed = "true or false";
    const std::string* const found = this->scalar(allowed);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (this->node->quoted || (*found != "true" && *found != "false")) {
        this->reject(allowed);
        return std::nullopt;
    }
    return *found == "true";
}

std::optional<std::size_t> field::one_of(std::span<const std::string_view> words) const
{
    const std::string allowed = fmt::format("one of {}", fmt::join(words, ", "));
    const std::string* const found = this->scalar(allowed);
    if (found == nullptr) {
        return std::nullopt;
    }
    const auto word = std::find(words.begin(), words.end(), *found);
    if (word == words.end()) {
        this->reject(allowed);
        return std::nullopt;
    }
    return static_cast<std::size_t>(word - words.begin());
}

std::optional<std::string> field::address() const
{
    constexpr std::string_view allowed =
        "IP:port with an IPv4 address or a bracketed IPv6 address, port 1..65535";
    const std::string* const found = this->scalar(allowed);
    if (found == nullptr) {
        return std::nullopt;
    }
    const std::optional<socket_address> read = parse_address(*found);
    if (!read.has_value() || read->port == 0) {
        this->reject(allowed);
        return std::nullopt;
    }
    return read->text();
}

std::optional<std::string> field::token_digest() const
{
    constexpr std::string_view allowed =
        "the SHA-256 of the token as 64 lower-case hexadecimal digits";
    if (this->node == nullptr) {
        return std::nullopt;
    }
    if (this->node->kind != value_kind::scalar || !is_digest(this->node->text)) {
        // The operator may have put the token itself here.
        this->problems->add(this->place, "(hidden)", allowed);
        return std::nullopt;
    }
    return this->node->text;
}

std::optional<std::string> field::date() const
{
    constexpr std::string_view allowed = "a date YYYY-MM-DD";
    const std::string* const found = this->scalar(allowed);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!parse_date(*found).has_value()) {
        this->reject(allowed);
        return std::nullopt;
    }
    return *found;
}

std::vector<field> field::list(std::size_t most) const
{
    std::vector<field> fields;
    if (this->node == nullptr) {
        return fields;
    }
    if (this->node->kind != value_kind::list || this->node->items.size() > most) {
        this->reject(fmt::format("a list of at most {}", most));
        return fields;
    }
    for (const document_value& item : this->node->items) {
        fields.emplace_back(&item, fmt::format("{}[{}]", this->place, fields.size()),
                            *this->problems);
    }
    return fields;
}

std::optional<std::vector<std::string>> field::names(std::size_t most) const
{
    if (this->node == nullptr || this->node->kind != value_kind::list) {
        static_cast<void>(this->list(most));
        return std::nullopt;
    }
    std::vector<std::string> found;
    for (const field& item : this->list(most)) {
        const std::optional<std::string> read = item.name();
        if (read.has_value() && std::find(found.begin(), found.end(), *read) != found.end()) {
            item.reject("names without duplicates");
        }
        found.push_back(read.value_or(""));
    }
    return found;
}

map_reader field::map() const
{
    if (this->node != nullptr && this->node->kind != value_kind::map) {
        this->reject("a map");
        return {nullptr, this->place, *this->problems};
    }
    return {this->node, this->place, *this->problems};
}

map_reader::map_reader(const document_value* map, std::string full_path, problem_list& list)
    : node(map), place(std::move(full_path)), problems(&list)
{
}

std::string map_reader::path_of(std::string_view key) const
{
    return this->place.empty() ? std::string(key) : fmt::format("{}.{}", this->place, key);
}

field map_reader::required(std::string_view key)
{
    field found = this->optional(key);
    if (!found.present() && this->node != nullptr) {
        found.reject("a value; the key is required");
    }
    return found;
}

field map_reader::optional(std::string_view key)
{
    this->known.emplace_back(key);
    const document_value* found = nullptr;
    if (this->node != nullptr) {
        for (const map_entry& entry : this->node->entries) {
            if (entry.key == key) {
                found = &entry.value;
                break;
            }
        }
    }
    return {found, this->path_of(key), *this->problems};
}

void map_reader::finish() const
{
    if (this->node == nullptr) {
        return;
    }
    if (this->node->entries.size() > max_map_entries) {
        this->problems->add(this->place.empty() ? "(document)" : this->place,
                            fmt::format("a map of {}", this->node->entries.size()),
                            fmt::format("at most {} keys", max_map_entries));
        return;
    }
    std::vector<std::string> seen;
    for (const map_entry& entry : this->node->entries) {
        if (std::find(this->known.begin(), this->known.end(), entry.key) == this->known.end()) {
            this->problems->add(this->path_of(entry.key), "(unknown key)",
                                fmt::format("one of {}", fmt::join(this->known, ", ")));
        }
        else if (std::find(seen.begin(), seen.end(), entry.key) != seen.end()) {
            this->problems->add(this->path_of(entry.key), "(duplicate key)", "each key once");
        }
        seen.push_back(entry.key);
    }
}

} // namespace redwingwheel::config
