#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string_view>

#include "connection_table.h"
#include "request_framer.h"
#include "response_writer.h"

namespace redwingwheel::http {

/// State of a connection in addition to the one that Pistache keeps.
struct connection_state {
    explicit connection_state(const framing_limits& limits) : framer(limits) {}

    /// A request has no response yet.
    std::atomic<bool> response_pending{false};
    /// Further input is dropped; the connection is closed after the pending response.
    std::atomic<bool> input_closed{false};
    /// There was no room for the connection: its request is refused.
    bool no_room = false;
    std::size_t dropped_bytes = 0; ///< Input after `input_closed` was set.
    /// Guards `framer`, which another thread of the server abandons when its memory is needed. May
    /// be taken while the lock of the server is held, not the other way round.
    std::mutex framer_lock;
    request_framer framer;
    /// The loop of `writer`, which must not outlive it.
    std::shared_ptr<response_writer_loop> writer_loop;
    /// Sends large responses; null until there is one. Guarded by the lock of the server.
    std::shared_ptr<response_writer> writer;
};

/// The open connections of a server: carries out what a connection_table decides. All functions are
/// called with the lock of the server, and a descriptor is not closed while it is held.
class server_connections {
public:
    using limit_hook = std::function<void(std::string_view cause)>;

    server_connections(const connection_limits& limits, limit_hook on_limit);

    /// Returns false when the connection is closed at once.
    bool open(connection_id id, int descriptor, const std::shared_ptr<connection_state>& state,
              steady_time now);
    /// An unfinished request holds this many bytes now.
    void receive(connection_id id, std::size_t held_bytes, steady_time now);
    void complete(connection_id id) { this->table.complete(id); }
    void answer(connection_id id, steady_time now) { this->table.answer(id, now); }
    /// Sends an error response and drops what the client still sends.
    void refuse(connection_id id, int status, std::string_view reason, steady_time now);
    /// Closes connections that have been refused, or whose requests do not arrive in time.
    void expire(steady_time now);
    /// The client, or shut_down(), has closed the connection.
    void remove(connection_id id);

    [[nodiscard]] bool contains(connection_id id) const { return this->table.contains(id); }
    [[nodiscard]] bool empty() const { return this->table.empty(); }

private:
    struct open_connection {
        int descriptor = -1;
        std::shared_ptr<connection_state> state;
    };

    void carry_out(const connection_to_close& decided);

    connection_table table;
    limit_hook on_limit;
    std::map<connection_id, open_connection> by_id;
};

} // namespace redwingwheel::http
