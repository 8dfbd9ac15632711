#include "connection_table.h"

#include <algorithm>
#include <utility>

namespace redwingwheel::http {

namespace {

constexpr milliseconds expiry_check_period{250};
/// A connection is not closed for another one before it has been without input for this long: a
/// client that has just connected or was just served may be about to send.
constexpr milliseconds min_idle{1000};
/// An unfinished request without input for this long gives way before one that still arrives. Well
/// above a round trip and a retransmission between regions.
constexpr milliseconds short_stall{1000};
/// Connections that are kept for their refusal, in addition to those that are served.
constexpr std::size_t max_refused_connections = 32;
/// Time for a refused client to read its response.
constexpr milliseconds refusal_linger{2000};

} // namespace

std::string_view close_cause_name(close_cause cause)
{
    switch (cause) {
    case close_cause::connections:
        return "connections";
    case close_cause::memory:
        return "memory";
    case close_cause::stalled:
        return "stalled";
    case close_cause::too_slow:
        return "too_slow";
    case close_cause::refused:
        return "refused";
    }
    return "unknown";
}

connection_table::connection_table(const connection_limits& chosen) : limits(chosen) {}

admission connection_table::open(connection_id id, steady_time now,
                                 std::optional<connection_to_close>& displaced)
{
    const std::size_t refused = this->refused_connections();
    if (this->connections.size() - refused < this->limits.max_connections) {
        this->connections[id].last_input = now;
        return admission::accepted;
    }
    const std::optional<connection_id> idle = this->longest_idle(now);
    if (idle.has_value()) {
        const bool has_request = this->connections.at(*idle).current == phase::receiving;
        displaced = {*idle, close_cause::connections, has_request};
        this->close(*idle);
        this->connections[id].last_input = now;
        return admission::accepted;
    }
    if (refused >= max_refused_connections) {
        return admission::closed;
    }
    this->connections[id].last_input = now;
    this->refuse(id, now);
    return admission::refused;
}

std::vector<connection_to_close> connection_table::receive(connection_id id, std::size_t held_bytes,
                                                           steady_time now)
{
    std::vector<connection_to_close> closed;
    const auto found = this->connections.find(id);
    if (found == this->connections.end()) {
        return closed;
    }
    entry& receiving = found->second;
    if (receiving.current != phase::receiving) {
        receiving.current = phase::receiving;
        receiving.deadline = now + this->limits.max_request_time;
    }
    receiving.last_input = now;
    receiving.stall_deadline = now + this->limits.max_stall;
    this->held += held_bytes - receiving.held_bytes;
    receiving.held_bytes = held_bytes;
    while (this->held > this->limits.max_unfinished_bytes) {
        const std::optional<connection_id> next = this->first_to_refuse(now);
        if (!next.has_value()) {
            break;
        }
        closed.push_back({*next, close_cause::memory, true});
        this->refuse(*next, now);
    }
    return closed;
}

void connection_table::complete(connection_id id)
{
    const auto found = this->connections.find(id);
    if (found != this->connections.end()) {
        this->release(found->second);
        found->second.current = phase::serving;
    }
}

void connection_table::answer(connection_id id, steady_time now)
{
    const auto found = this->connections.find(id);
    if (found != this->connections.end() && found->second.current == phase::serving) {
        found->second.current = phase::idle;
        found->second.last_input = now;
    }
}

void connection_table::refuse(connection_id id, steady_time now)
{
    const auto found = this->connections.find(id);
    if (found != this->connections.end()) {
        this->release(found->second);
        found->second.current = phase::refused;
        found->second.deadline = now + refusal_linger;
    }
}

void connection_table::close(connection_id id)
{
    const auto found = this->connections.find(id);
    if (found != this->connections.end()) {
        this->release(found->second);
        this->connections.erase(found);
    }
}

std::vector<connection_to_close> connection_table::expire(steady_time now)
{
    std::vector<connection_to_close> expired;
    if (now < this->next_expiry_check) {
        return expired;
    }
    this->next_expiry_check = now + expiry_check_period;
    for (const auto& [id, each] : this->connections) {
        if (each.current == phase::refused && now >= each.deadline) {
            expired.push_back({id, close_cause::refused, false});
        }
        else if (each.current == phase::receiving && now >= each.stall_deadline) {
            expired.push_back({id, close_cause::stalled, true});
        }
        else if (each.current == phase::receiving && now >= each.deadline) {
            expired.push_back({id, close_cause::too_slow, true});
        }
    }
    for (const connection_to_close& each : expired) {
        this->close(each.id);
    }
    return expired;
}

void connection_table::release(entry& of)
{
    this->held -= of.held_bytes;
    of.held_bytes = 0;
}

std::size_t connection_table::refused_connections() const
{
    return static_cast<std::size_t>(
        std::count_if(this->connections.begin(), this->connections.end(),
                      [](const auto& each) { return each.second.current == phase::refused; }));
}

/// Returns the connection without a complete request that has been without input for the longest
/// time.
std::optional<connection_id> connection_table::longest_idle(steady_time now) const
{
    std::optional<connection_id> found;
    for (const auto& [id, each] : this->connections) {
        const bool may_close = (each.current == phase::idle || each.current == phase::receiving) &&
                               now >= each.last_input + min_idle;
        if (may_close &&
            (!found.has_value() || each.last_input < this->connections.at(*found).last_input)) {
            found = id;
        }
    }
    return found;
}

/// Returns the largest unfinished request among those that stall, or among all if none does.
std::optional<connection_id> connection_table::first_to_refuse(steady_time now) const
{
    const auto rank = [now](const entry& of) {
        return std::make_pair(now >= of.last_input + short_stall, of.held_bytes);
    };
    std::optional<connection_id> found;
    for (const auto& [id, each] : this->connections) {
        if (each.current == phase::receiving && each.held_bytes > 0 &&
            (!found.has_value() || rank(each) > rank(this->connections.at(*found)))) {
            found = id;
        }
    }
    return found;
}

} // namespace redwingwheel::http
