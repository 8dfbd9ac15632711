#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/problems.h"

/// The neutral tree that YAML and JSON documents are read into, so that one checker serves both.
namespace redwingwheel::config {

enum class value_kind { null, scalar, list, map };

struct map_entry;

/// A node of a document. Map entries keep their order and their duplicates.
struct document_value {
    value_kind kind = value_kind::null;
    std::string text;    ///< Of a scalar.
    bool quoted = false; ///< The scalar is text even where it reads like a number.
    std::vector<document_value> items;
    std::vector<map_entry> entries;
};

struct map_entry {
    std::string key;
    document_value value;
};

/// Reads the one YAML document of `text`. Syntax errors, a second document, more than 4 MiB, too
/// many nodes (aliases expand) or deep nesting give a problem and a null value.
[[nodiscard]] document_value read_yaml(std::string_view text, problem_list& problems);

/// Reads the one JSON value of `text`, within the same limits.
[[nodiscard]] document_value read_json(std::string_view text, problem_list& problems);

} // namespace redwingwheel::config
