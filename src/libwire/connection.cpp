#include "connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <openssl/rand.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/digest.h"

namespace redwingwheel::wire {

namespace asio = boost::asio;

rpc_statistics rpc_counters::read() const
{
    rpc_statistics snapshot;
    snapshot.accepted = this->accepted;
    snapshot.refused_unauthenticated = this->refused_unauthenticated;
    snapshot.closed_bad_frame = this->closed_bad_frame;
    snapshot.closed_receive_timeout = this->closed_receive_timeout;
    snapshot.late_replies = this->late_replies;
    snapshot.bytes_in = this->bytes_in;
    snapshot.bytes_out = this->bytes_out;
    return snapshot;
}

connection::connection(asio::ip::tcp::socket connected, const rpc_options& limits,
                       rpc_counters& statistics)
    : socket(std::move(connected)), options(limits), counters(statistics),
      timer(this->socket.get_executor())
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void connection::open(event_handlers new_handlers)
{
    this->handlers = std::move(new_handlers);
    this->opened = true;
    const steady_time now = boot_clock::now();
    this->probe_deadline = now + this->options.probe_interval;
    this->receive_deadline = now + this->options.receive_timeout;
    this->read_header();
    this->start_receive_timer();
}

absl::Status connection::send(const frame& outgoing)
{
    absl::StatusOr<std::string> bytes = encode_frame(outgoing);
    if (!bytes.ok()) {
        return bytes.status();
    }
    if (!this->opened) {
        return make_error(wire_errc::not_sent, "connection is closed");
    }
    this->queue.push_back({outgoing.correlation, *std::move(bytes)});
    if (!this->writing) {
        this->write_next();
    }
    return absl::OkStatus();
}

bool connection::is_awaiting_write(std::uint64_t correlation) const
{
    for (std::size_t index = this->writing ? 1 : 0; index < this->queue.size(); ++index) {
        if (this->queue[index].correlation == correlation) {
            return true;
        }
    }
    return false;
}

void connection::close(close_reason reason)
{
    if (!this->opened) {
        return;
    }
    this->opened = false;
    if (reason == close_reason::bad_frame) {
        ++this->counters.closed_bad_frame;
    }
    if (reason == close_reason::receive_timeout) {
        ++this->counters.closed_receive_timeout;
    }
    boost::system::error_code ignored;
    this->timer.cancel(ignored);
    this->socket.close(ignored);
    const event_handlers released_handlers = std::move(this->handlers);
    this->handlers = {};
    released_handlers.closed(reason);
}

void connection::read_header()
{
    const std::shared_ptr<connection> self = this->shared_from_this();
    asio::async_read(this->socket, asio::buffer(this->header),
                     [self](const boost::system::error_code& error, std::size_t) {
                         if (error) {
                             self->close(close_reason::peer_closed);
                             return;
                         }
                         const absl::StatusOr<std::size_t> payload_bytes = decode_header(
                             std::string_view(self->header.data(), self->header.size()),
                             self->max_received_bytes);
                         if (!payload_bytes.ok()) {
                             spdlog::warn("event=frame_refused error=\"{}\"",
                                          errors::message_of(payload_bytes.status()));
                             self->close(close_reason::bad_frame);
                             return;
                         }
                         self->read_payload(*payload_bytes);
                     });
}

void connection::read_payload(std::size_t size)
{
    this->payload.resize(size);
    const std::shared_ptr<connection> self = this->shared_from_this();
    asio::async_read(this->socket, asio::buffer(this->payload),
                     [self](const boost::system::error_code& error, std::size_t) {
                         if (error) {
                             spdlog::warn(
                                 "event=frame_refused error=\"frame payload is truncated\"");
                             self->close(close_reason::bad_frame);
                             return;
                         }
                         self->on_payload();
                     });
}

void connection::on_payload()
{
    if (!this->opened) {
        return;
    }
    this->counters.bytes_in += frame_header_bytes + this->payload.size();
    absl::StatusOr<frame> received = decode_payload(this->payload);
    if (!received.ok()) {
        spdlog::warn("event=frame_refused error=\"{}\"", errors::message_of(received.status()));
        this->close(close_reason::bad_frame);
        return;
    }
    const steady_time now = boot_clock::now();
    this->probe_deadline = now + this->options.probe_interval;
    this->receive_deadline = now + this->options.receive_timeout;
    if (received->type == frame_type::probe) {
        this->send({frame_type::probe_reply, 0, 0, 0, ""}).IgnoreError();
    }
    else if (received->type != frame_type::probe_reply) {
        this->handlers.received(*std::move(received));
    }
    if (this->opened) {
        this->read_header();
    }
}

void connection::write_next()
{
    this->writing = true;
    const std::shared_ptr<connection> self = this->shared_from_this();
    asio::async_write(this->socket, asio::buffer(this->queue.front().bytes),
                      [self](const boost::system::error_code& error, std::size_t written_bytes) {
                          if (error) {
                              self->close(close_reason::peer_closed);
                              return;
                          }
                          self->counters.bytes_out += written_bytes;
                          const std::uint64_t correlation = self->queue.front().correlation;
                          self->queue.pop_front();
                          self->writing = false;
                          if (!self->opened) {
                              return;
                          }
                          self->handlers.sent(correlation);
                          if (self->opened && !self->writing && !self->queue.empty()) {
                              self->write_next();
                          }
                      });
}

void connection::start_receive_timer()
{
    this->timer.expires_at(std::min(this->probe_deadline, this->receive_deadline));
    const std::shared_ptr<connection> self = this->shared_from_this();
    this->timer.async_wait([self](const boost::system::error_code& error) {
        if (!error && self->opened) {
            self->on_receive_timer();
        }
    });
}

void connection::on_receive_timer()
{
    const steady_time now = boot_clock::now();
    if (now >= this->receive_deadline) {
        spdlog::warn("event=connection_abandoned reason=silent");
        this->close(close_reason::receive_timeout);
        return;
    }
    if (now >= this->probe_deadline) {
        this->probe_deadline = now + this->options.probe_interval;
        this->send({frame_type::probe, 0, 0, 0, ""}).IgnoreError();
    }
    this->start_receive_timer();
}

std::string handshake_proof(std::string_view secret, std::string_view role,
                            std::string_view challenge)
{
    return digest::keyed_digest(secret, fmt::format("{}:{}", role, challenge));
}

std::string random_challenge()
{
    std::array<unsigned char, 16> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("RAND_bytes failed to generate a handshake challenge");
    }
    return std::string(reinterpret_cast<const char*>(bytes.data()), bytes.size());
}

} // namespace redwingwheel::wire
