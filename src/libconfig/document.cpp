#include "document.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <yaml-cpp/depthguard.h>
#include <yaml-cpp/yaml.h>

namespace redwingwheel::config {

namespace {

/// The frame limit between daemons; a larger note could not be forwarded.
constexpr std::size_t max_document_bytes = std::size_t{4} << 20U;
/// Aliases let a small YAML text describe an exponential tree; this bounds its expansion.
constexpr std::size_t max_nodes = 200'000;
/// Documents of this project nest five levels.
constexpr std::size_t max_depth = 16;

bool size_is_allowed(std::string_view text, problem_list& problems)
{
    if (text.size() <= max_document_bytes) {
        return true;
    }
    problems.add("(document)", fmt::format("{} bytes", text.size()),
                 fmt::format("at most {} bytes", max_document_bytes));
    return false;
}

/// Thrown inside this file when a document exceeds the limits of nodes or depth.
struct document_too_complex {};

class yaml_converter {
public:
    document_value convert(const YAML::Node& node, std::size_t depth)
    {
        if (depth > max_depth || ++this->nodes > max_nodes) {
            throw document_too_complex();
        }
        document_value value;
        if (node.IsScalar()) {
            value.kind = value_kind::scalar;
            value.text = node.Scalar();
            value.quoted = node.Tag() == "!";
        }
        else if (node.IsSequence()) {
            value.kind = value_kind::list;
            for (const YAML::Node& item : node) {
                value.items.push_back(this->convert(item, depth + 1));
            }
        }
        else if (node.IsMap()) {
            value.kind = value_kind::map;
            for (const auto& entry : node) {
                if (!entry.first.IsScalar()) {
                    throw YAML::Exception(entry.first.Mark(), "map key is not a scalar");
                }
                value.entries.push_back(
                    map_entry{entry.first.Scalar(), this->convert(entry.second, depth + 1)});
            }
        }
        return value;
    }

private:
    std::size_t nodes = 0;
};

/// Builds the tree from nlohmann's parser events, because its own tree drops duplicate keys.
class json_builder : public nlohmann::json_sax<nlohmann::json> {
public:
    document_value root;
    bool too_complex = false;
    std::string syntax_error;

    bool null() override { return this->add(document_value{}); }
    bool boolean(bool value) override { return this->add_scalar(value ? "true" : "false", false); }
    bool number_integer(number_integer_t value) override
    {
        return this->add_scalar(fmt::format("{}", value), false);
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return this->add_scalar(fmt::format("{}", value), false);
    }
    bool number_float(number_float_t, const string_t& source) override
    {
        return this->add_scalar(source, false);
    }
    bool string(string_t& value) override { return this->add_scalar(value, true); }
    bool binary(binary_t&) override { return false; }
    bool start_object(std::size_t) override { return this->open(value_kind::map); }
    bool end_object() override { return this->close(); }
    bool start_array(std::size_t) override { return this->open(value_kind::list); }
    bool end_array() override { return this->close(); }
    bool key(string_t& value) override
    {
        this->path.back()->entries.push_back(map_entry{value, document_value{}});
        return true;
    }
    bool parse_error(std::size_t position, const std::string&,
                     const nlohmann::detail::exception&) override
    {
        this->syntax_error = fmt::format("syntax error at byte {}", position);
        return false;
    }

private:
    bool add_scalar(std::string_view text, bool quoted)
    {
        document_value value;
        value.kind = value_kind::scalar;
        value.text = text;
        value.quoted = quoted;
        return this->add(std::move(value));
    }
    bool add(document_value value)
    {
        static_cast<void>(this->place(std::move(value)));
        return !this->too_complex;
    }
    bool open(value_kind kind)
    {
        document_value value;
        value.kind = kind;
        document_value* const placed = this->place(std::move(value));
        // A parent gets no further child before this one is closed, so the pointer stays valid.
        this->path.push_back(placed);
        this->too_complex = this->too_complex || this->path.size() > max_depth;
        return !this->too_complex;
    }
    bool close()
    {
        this->path.pop_back();
        return true;
    }
    document_value* place(document_value value)
    {
        this->too_complex = this->too_complex || ++this->nodes > max_nodes;
        if (this->path.empty()) {
            this->root = std::move(value);
            return &this->root;
        }
        document_value& parent = *this->path.back();
        if (parent.kind == value_kind::list) {
            return &parent.items.emplace_back(std::move(value));
        }
        parent.entries.back().value = std::move(value);
        return &parent.entries.back().value;
    }

    std::vector<document_value*> path;
    std::size_t nodes = 0;
};

void add_too_complex(problem_list& problems)
{
    problems.add("(document)", "too complex",
                 fmt::format("at most {} values, nested at most {} deep", max_nodes, max_depth));
}

} // namespace

document_value read_yaml(std::string_view text, problem_list& problems)
{
    if (!size_is_allowed(text, problems)) {
        return {};
    }
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(std::string(text));
        if (documents.size() != 1) {
            problems.add("(document)", fmt::format("{} documents", documents.size()),
                         "one YAML document");
            return {};
        }
        return yaml_converter().convert(documents.front(), 0);
    }
    catch (const document_too_complex&) {
        add_too_complex(problems);
    }
    catch (const YAML::DeepRecursion&) {
        // The parser's own limit, which is higher.
        add_too_complex(problems);
    }
    catch (const YAML::Exception& error) {
        problems.add(fmt::format("line {}", error.mark.line + 1), error.msg, "YAML syntax");
    }
    catch (const std::exception& error) {
        problems.add("(document)", error.what(), "YAML syntax");
    }
    return {};
}

document_value read_json(std::string_view text, problem_list& problems)
{
    if (!size_is_allowed(text, problems)) {
        return {};
    }
    json_builder builder;
    if (nlohmann::json::sax_parse(text, &builder)) {
        return std::move(builder.root);
    }
    if (builder.too_complex) {
        add_too_complex(problems);
    }
    else {
        problems.add("(document)", builder.syntax_error, "JSON syntax");
    }
    return {};
}

} // namespace redwingwheel::config
