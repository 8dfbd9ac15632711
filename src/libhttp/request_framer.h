#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// Finds the end of one HTTP/1.1 request in a stream of bytes. Does no input or output.
namespace redwingwheel::http {

struct framing_limits {
    /// Request line and header fields; also the trailer fields of a chunked body.
    std::size_t max_header_bytes = std::size_t{32} * 1024;
    /// Header and body together, without the framing of chunks.
    std::size_t max_request_bytes = std::size_t{1024} * 1024;
};

enum class framing_state : std::uint8_t {
    header, ///< The header is incomplete.
    body,   ///< The header is complete and the body is not.
    complete,
    refused, ///< No request can be read from the input; see status() and reason().
};

/// Collects a request and undoes the chunks of its body. The cost of an input is linear in its
/// size, however small the chunks are.
class request_framer {
public:
    explicit request_framer(const framing_limits& limits);

    /// Adds input. After the end of the request input is dropped, and has_excess() tells so.
    framing_state feed(std::string_view input);

    [[nodiscard]] framing_state state() const { return this->current; }
    [[nodiscard]] bool has_excess() const { return this->excess; }
    /// Bytes of memory that the collected input takes.
    [[nodiscard]] std::size_t held_bytes() const;

    /// HTTP status and reason of a refusal.
    [[nodiscard]] int status() const { return this->refusal_status; }
    [[nodiscard]] const std::string& reason() const { return this->refusal_reason; }

    /// The header of a complete request, with its final empty line and without the fields that
    /// frame the body. Empties the framer's copy.
    [[nodiscard]] std::string take_header();
    /// The body of a complete request. Empties the framer's copy.
    [[nodiscard]] std::string take_body();

    /// Drops the collected input and refuses what follows.
    void abandon();

private:
    enum class body_part : std::uint8_t { counted, chunk_size, chunk_data, chunk_end, trailer };

    void feed_header(std::string_view& input);
    void read_header();
    void begin_body(bool chunked, std::string_view content_length);
    void feed_body(std::string_view& input);
    void take_data(std::string_view& input);
    void feed_line(std::string_view& input);
    void on_line();
    void on_chunk_size();
    void refuse(int status, std::string reason);
    void refuse_size();

    framing_limits limits;
    framing_state current = framing_state::header;
    body_part part = body_part::counted;
    bool excess = false;
    std::string header;
    std::string body;
    std::string line;            ///< Of a chunk's size or of a trailer, while incomplete.
    std::uint64_t data_left = 0; ///< Of a body with a declared length, or of a chunk.
    std::size_t trailer_bytes = 0;
    int refusal_status = 0;
    std::string refusal_reason;
};

} // namespace redwingwheel::http
