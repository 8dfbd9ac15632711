#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "redwingwheel/clock.h"

/// Decides which connections a server closes when its clients take more than their share. Does no
/// input or output; times are passed in.
namespace redwingwheel::http {

using connection_id = std::size_t;

struct connection_limits {
    std::size_t max_connections = 1024;
    /// Memory of all unfinished requests together.
    std::size_t max_unfinished_bytes = std::size_t{8} * 1024 * 1024;
    /// An unfinished request is dropped when it has received nothing for this long.
    milliseconds max_stall{15'000};
    /// A request is dropped when it takes longer than this to arrive.
    milliseconds max_request_time{60'000};
};

enum class close_cause : std::uint8_t {
    connections, ///< Closed for a newer connection, or there is no room for it.
    memory,      ///< The unfinished requests hold too much memory together.
    stalled,     ///< An unfinished request has received nothing for too long.
    too_slow,    ///< A request takes too long to arrive.
    refused,     ///< The client has had time to read its refusal.
};

[[nodiscard]] std::string_view close_cause_name(close_cause cause);

/// A connection that is to be closed, or refused where it may still read its response.
struct connection_to_close {
    connection_id id = 0;
    close_cause cause = close_cause::connections;
    bool has_request = false; ///< A request has begun to arrive; it gets a response.
};

/// What becomes of a new connection.
enum class admission : std::uint8_t {
    accepted,
    refused, ///< There is no room: its request is to be refused. It is in the table until then.
    closed,  ///< Too many are being refused already. It is not in the table.
};

/// The open connections of a server and what their unfinished requests hold.
///
/// Answers the load of clients that open many connections, send most of a request and stay: such
/// connections are closed first, so that clients whose requests are small or keep arriving get in.
/// A connection with a complete request is never closed.
class connection_table {
public:
    explicit connection_table(const connection_limits& limits);

    /// Adds a connection. `displaced` is set when an idle one is to be closed for it.
    [[nodiscard]] admission open(connection_id id, steady_time now,
                                 std::optional<connection_to_close>& displaced);

    /// Records input of an unfinished request that now holds `held_bytes`. Returns the connections
    /// that are refused, possibly this one, so that all unfinished requests stay within their
    /// limit.
    [[nodiscard]] std::vector<connection_to_close> receive(connection_id id, std::size_t held_bytes,
                                                           steady_time now);

    /// The request is complete; the connection stays until answer().
    void complete(connection_id id);
    /// The request has its response.
    void answer(connection_id id, steady_time now);
    /// The client has been refused and may read that until a deadline. Drops what it holds.
    void refuse(connection_id id, steady_time now);
    void close(connection_id id);

    /// Returns the connections whose requests do not arrive in time, and those that were refused
    /// some time ago. Searches once in `expiry_check_period`.
    [[nodiscard]] std::vector<connection_to_close> expire(steady_time now);

    [[nodiscard]] bool contains(connection_id id) const { return this->connections.contains(id); }
    [[nodiscard]] bool empty() const { return this->connections.empty(); }
    [[nodiscard]] std::size_t held_bytes() const { return this->held; }

private:
    enum class phase : std::uint8_t { idle, receiving, serving, refused };

    struct entry {
        phase current = phase::idle;
        std::size_t held_bytes = 0;
        steady_time last_input;
        /// Of an unfinished request, or for reading a refusal.
        steady_time deadline;
        steady_time stall_deadline;
    };

    void release(entry& of);
    [[nodiscard]] std::size_t refused_connections() const;
    [[nodiscard]] std::optional<connection_id> longest_idle(steady_time now) const;
    [[nodiscard]] std::optional<connection_id> first_to_refuse(steady_time now) const;

    connection_limits limits;
    std::map<connection_id, entry> connections;
    std::size_t held = 0;
    steady_time next_expiry_check;
};

} // namespace redwingwheel::http
