#include "request_framer.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <utility>

#include <fmt/format.h>

namespace redwingwheel::http {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_content_too_large = 413;
constexpr int status_header_too_large = 431;
constexpr std::string_view header_end = "\r\n\r\n";
constexpr std::string_view line_end = "\r\n";
/// A chunk's size has at most 16 digits; chunk extensions are rare and short.
constexpr std::size_t max_chunk_line_bytes = 256;

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    });
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view white_space = " \t";
    const std::size_t begin = text.find_first_not_of(white_space);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(white_space) - begin + 1);
}

/// Reads digits and nothing else; empty when there is anything else or the value is too large.
std::optional<std::uint64_t> parse_number(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const std::from_chars_result read =
        std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (text.empty() || read.ec != std::errc() || read.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

request_framer::request_framer(const framing_limits& chosen) : limits(chosen) {}

framing_state request_framer::feed(std::string_view input)
{
    while (!input.empty() && this->current == framing_state::header) {
        this->feed_header(input);
    }
    while (!input.empty() && this->current == framing_state::body) {
        this->feed_body(input);
    }
    this->excess = this->excess || (!input.empty() && this->current == framing_state::complete);
    return this->current;
}

std::size_t request_framer::held_bytes() const
{
    return this->header.capacity() + this->body.capacity() + this->line.capacity();
}

std::string request_framer::take_header()
{
    return std::exchange(this->header, std::string());
}

std::string request_framer::take_body()
{
    return std::exchange(this->body, std::string());
}

void request_framer::abandon()
{
    this->refuse(status_bad_request, "the request was abandoned");
}

void request_framer::feed_header(std::string_view& input)
{
    const std::size_t known = this->header.size();
    const std::size_t limit =
        std::min(this->limits.max_header_bytes, this->limits.max_request_bytes);
    this->header.append(input.substr(0, limit + 1 - std::min(known, limit)));
    const std::size_t searched = known < header_end.size() ? 0 : known - header_end.size() + 1;
    const std::size_t end = this->header.find(header_end, searched);
    if (end == std::string::npos) {
        if (this->header.size() > limit) {
            this->refuse(status_header_too_large,
                         fmt::format("the header is larger than {} bytes", limit));
        }
        input = {};
        return;
    }
    const std::size_t header_bytes = end + header_end.size();
    input.remove_prefix(header_bytes - known);
    this->header.resize(header_bytes);
    this->read_header();
}

/// Takes the fields that frame the body out of the header.
void request_framer::read_header()
{
    std::string kept;
    std::string_view content_length;
    bool has_length = false;
    bool chunked = false;
    std::string_view rest = this->header;
    kept.reserve(rest.size());
    while (!rest.empty()) {
        const std::size_t end = rest.find(line_end) + line_end.size();
        const std::string_view field = rest.substr(0, end);
        rest.remove_prefix(end);
        const std::size_t colon = field.find(':');
        const std::string_view name = trim(field.substr(0, std::min(colon, field.size())));
        const std::string_view value =
            colon == std::string_view::npos
                ? std::string_view()
                : trim(field.substr(colon + 1, field.size() - colon - 1 - line_end.size()));
        if (colon != std::string_view::npos && equals_ignoring_case(name, "content-length")) {
            if (has_length && value != content_length) {
                this->refuse(status_bad_request, "the header has two lengths");
                return;
            }
            has_length = true;
            content_length = value;
        }
        else if (colon != std::string_view::npos &&
                 equals_ignoring_case(name, "transfer-encoding")) {
            if (!equals_ignoring_case(value, "chunked")) {
                this->refuse(status_bad_request, "the transfer coding is not chunked");
                return;
            }
            chunked = true;
        }
        else {
            kept += field;
        }
    }
    if (chunked && has_length) {
        this->refuse(status_bad_request, "the header has a length and a transfer coding");
        return;
    }
    this->begin_body(chunked, has_length ? content_length : "0");
    if (this->current != framing_state::refused) {
        this->header = std::move(kept);
    }
}

void request_framer::begin_body(bool chunked, std::string_view content_length)
{
    this->current = framing_state::body;
    if (chunked) {
        this->part = body_part::chunk_size;
        return;
    }
    const std::optional<std::uint64_t> length = parse_number(content_length, 10);
    if (!length.has_value()) {
        this->refuse(status_bad_request, "the length of the body cannot be read");
        return;
    }
    if (*length > this->limits.max_request_bytes - this->header.size()) {
        this->refuse_size();
        return;
    }
    this->part = body_part::counted;
    this->data_left = *length;
    if (*length == 0) {
        this->current = framing_state::complete;
    }
}

void request_framer::feed_body(std::string_view& input)
{
    switch (this->part) {
    case body_part::counted:
        this->take_data(input);
        if (this->data_left == 0) {
            this->current = framing_state::complete;
        }
        return;
    case body_part::chunk_data:
        this->take_data(input);
        if (this->data_left == 0) {
            this->part = body_part::chunk_end;
        }
        return;
    default:
        this->feed_line(input);
    }
}

void request_framer::take_data(std::string_view& input)
{
    const std::size_t size =
        static_cast<std::size_t>(std::min<std::uint64_t>(this->data_left, input.size()));
    this->body.append(input.substr(0, size));
    input.remove_prefix(size);
    this->data_left -= size;
}

void request_framer::feed_line(std::string_view& input)
{
    const std::size_t end = input.find('\n');
    const std::size_t size = end == std::string_view::npos ? input.size() : end + 1;
    const std::size_t limit =
        this->part == body_part::trailer ? this->limits.max_header_bytes : max_chunk_line_bytes;
    if (this->line.size() + size > limit) {
        this->refuse(status_bad_request, "a line of the chunked body is too long");
        return;
    }
    this->line.append(input.substr(0, size));
    input.remove_prefix(size);
    if (end == std::string_view::npos) {
        return;
    }
    if (!this->line.ends_with(line_end)) {
        this->refuse(status_bad_request, "a line of the chunked body has no end");
        return;
    }
    this->line.resize(this->line.size() - line_end.size());
    this->on_line();
    this->line.clear();
}

void request_framer::on_line()
{
    switch (this->part) {
    case body_part::chunk_size:
        this->on_chunk_size();
        return;
    case body_part::chunk_end:
        if (!this->line.empty()) {
            this->refuse(status_bad_request, "a chunk is longer than its size");
            return;
        }
        this->part = body_part::chunk_size;
        return;
    default:
        if (this->line.empty()) {
            this->current = framing_state::complete;
            return;
        }
        this->trailer_bytes += this->line.size();
        if (this->trailer_bytes > this->limits.max_header_bytes) {
            this->refuse(status_header_too_large, "the trailer is too large");
        }
    }
}

void request_framer::on_chunk_size()
{
    const std::string_view digits =
        trim(std::string_view(this->line).substr(0, this->line.find(';')));
    const std::optional<std::uint64_t> size = parse_number(digits, 16);
    if (!size.has_value()) {
        this->refuse(status_bad_request, "the size of a chunk cannot be read");
        return;
    }
    const std::size_t taken = this->header.size() + this->body.size();
    if (*size > this->limits.max_request_bytes - std::min(taken, this->limits.max_request_bytes)) {
        this->refuse_size();
        return;
    }
    this->data_left = *size;
    this->part = *size == 0 ? body_part::trailer : body_part::chunk_data;
}

void request_framer::refuse(int status, std::string reason)
{
    this->current = framing_state::refused;
    this->refusal_status = status;
    this->refusal_reason = std::move(reason);
    // An assignment would keep the memory.
    std::string().swap(this->header);
    std::string().swap(this->body);
    std::string().swap(this->line);
}

void request_framer::refuse_size()
{
    this->refuse(status_content_too_large, fmt::format("the request is larger than {} bytes",
                                                       this->limits.max_request_bytes));
}

} // namespace redwingwheel::http
