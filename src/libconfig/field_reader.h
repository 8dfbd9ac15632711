#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "document.h"

/// Checked access to the fields of a document. A reader gives a value or adds a problem.
namespace redwingwheel::config {

struct integer_range {
    std::int64_t least;
    std::int64_t most;
};

class map_reader;

/// One field. Absent fields read as nothing; bad ones read as nothing and add a problem.
class field {
public:
    field(const document_value* found, std::string full_path, problem_list& list)
        : node(found), place(std::move(full_path)), problems(&list)
    {
    }

    [[nodiscard]] bool present() const { return this->node != nullptr; }
    [[nodiscard]] const std::string& path() const { return this->place; }

    /// Any text of one line, at most 4096 bytes.
    [[nodiscard]] std::optional<std::string> text() const;
    /// 1 to 64 of A-Z a-z 0-9 . _ -, beginning with a letter or digit.
    [[nodiscard]] std::optional<std::string> name() const;
    /// A whole number in decimal digits.
    [[nodiscard]] std::optional<std::int64_t> integer(integer_range range) const;
    [[nodiscard]] std::optional<bool> boolean() const;
    /// Index of the text in `words`.
    [[nodiscard]] std::optional<std::size_t> one_of(std::span<const std::string_view> words) const;
    /// IP:port of an address that others can connect to.
    [[nodiscard]] std::optional<std::string> address() const;
    /// 64 lower-case hexadecimal digits; the value is never shown.
    [[nodiscard]] std::optional<std::string> token_digest() const;
    /// A calendar date, YYYY-MM-DD.
    [[nodiscard]] std::optional<std::string> date() const;
    /// The fields of a list; a problem when it has more than `most` items.
    [[nodiscard]] std::vector<field> list(std::size_t most) const;
    /// Names without duplicates.
    [[nodiscard]] std::optional<std::vector<std::string>> names(std::size_t most) const;
    /// The entries of a map; an empty reader when this is none.
    [[nodiscard]] map_reader map() const;

    /// Adds a problem with this field's value.
    void reject(std::string_view allowed) const;

private:
    [[nodiscard]] const std::string* scalar(std::string_view allowed) const;

    const document_value* node;
    std::string place;
    problem_list* problems;
};

/// The entries of one map. Keys that were never asked for are reported by `finish`.
class map_reader {
public:
    map_reader(const document_value* map, std::string full_path, problem_list& list);

    /// The field `key`; a problem when it is missing.
    [[nodiscard]] field required(std::string_view key);
    /// The field `key`, which may be missing.
    [[nodiscard]] field optional(std::string_view key);
    /// Adds a problem for every key that was not asked for. Call it last.
    void finish() const;
    [[nodiscard]] bool readable() const { return this->node != nullptr; }

private:
    [[nodiscard]] std::string path_of(std::string_view key) const;

    const document_value* node;
    std::string place;
    problem_list* problems;
    std::vector<std::string> known;
};

} // namespace redwingwheel::config
