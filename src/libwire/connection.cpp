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
    rpc_statistics copy;
    copy.accepted = this->accepted;
    copy.refused_unauthenticated = this->refused_unauthenticated;
    copy.closed_bad_frame = this->closed_bad_frame;
    copy.closed_silent = this->closed_silent;
    copy.late_replies = this->late_replies;
    copy.bytes_in = this->bytes_in;
    copy.bytes_out = this->bytes_out;
    return copy;
}

connection::connection(asio::ip::tcp::socket connected, const rpc_options& limits,
                       rpc_counters& statistics)
    : socket(std::move(connected)), options(limits), counters(statistics),
      timer(this->socket.get_executor())
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void connection::open(hooks functions)
{
    this->callbacks = std::move(functions);
    this->opened = true;
    const steady_time now = boot_clock::now();
    this->probe_deadline = now + this->options.probe_after;
    this->silence_deadline = now + this->options.abandon_after;
    this->read_header();
    this->watch_silence();
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

bool connection::waits_to_be_written(std::uint64_t correlation) const
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
    if (reason == close_reason::silent) {
        ++this->counters.closed_silent;
    }
    boost::system::error_code ignored;
    this->timer.cancel(ignored);
    this->socket.close(ignored);
    const hooks functions = std::move(this->callbacks);
    this->callbacks = {};
    functions.closed(reason);
}

void connection::read_header()
{
    const std::shared_ptr<connection> self = this->shared_from_this();
    asio::async_read(
        this->socket, asio::buffer(this->header),
        [self](const boost::system::error_code& error, std::size_t) {
            if (error) {
                self->close(close_reason::peer_closed);
                return;
            }
            const absl::StatusOr<std::size_t> size =
                decode_header(std::string_view(self->header.data(), self->header.size()));
            if (!size.ok()) {
                spdlog::warn("event=frame_refused error=\"{}\"", errors::message_of(size.status()));
                self->close(close_reason::bad_frame);
                return;
            }
            self->read_payload(*size);
        });
}

void connection::read_payload(std::size_t size)
{
    this->payload.resize(size);
    const std::shared_ptr<connection> self = this->shared_from_this();
    asio::async_read(this->socket, asio::buffer(this->payload),
                     [self](const boost::system::error_code& error, std::size_t) {
                         if (error) {
                             spdlog::warn("event=frame_refused error=\"truncated frame\"");
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
    this->probe_deadline = now + this->options.probe_after;
    this->silence_deadline = now + this->options.abandon_after;
    if (received->type == frame_type::probe) {
        this->send({frame_type::probe_answer, 0, 0, 0, ""}).IgnoreError();
    }
    else if (received->type != frame_type::probe_answer) {
        this->callbacks.received(*std::move(received));
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
                      [self](const boost::system::error_code& error, std::size_t size) {
                          if (error) {
                              self->close(close_reason::peer_closed);
                              return;
                          }
                          self->counters.bytes_out += size;
                          const std::uint64_t correlation = self->queue.front().correlation;
                          self->queue.pop_front();
                          self->writing = false;
                          if (!self->opened) {
                              return;
                          }
                          self->callbacks.sent(correlation);
                          if (self->opened && !self->writing && !self->queue.empty()) {
                              self->write_next();
                          }
                      });
}

void connection::watch_silence()
{
    this->timer.expires_at(std::min(this->probe_deadline, this->silence_deadline));
    const std::shared_ptr<connection> self = this->shared_from_this();
    this->timer.async_wait([self](const boost::system::error_code& error) {
        if (!error && self->opened) {
            self->on_silence_timer();
        }
    });
}

void connection::on_silence_timer()
{
    const steady_time now = boot_clock::now();
    if (now >= this->silence_deadline) {
        spdlog::warn("event=connection_abandoned reason=silent");
        this->close(close_reason::silent);
        return;
    }
    if (now >= this->probe_deadline) {
        this->probe_deadline = now + this->options.probe_after;
        this->send({frame_type::probe, 0, 0, 0, ""}).IgnoreError();
    }
    this->watch_silence();
}

std::string prove(std::string_view secret, std::string_view role, std::string_view challenge)
{
    return digest::keyed_digest(secret, fmt::format("{}:{}", role, challenge));
}

std::string random_challenge()
{
    std::array<unsigned char, 16> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("the system's random source failed");
    }
    return std::string(reinterpret_cast<const char*>(bytes.data()), bytes.size());
}

} // namespace redwingwheel::wire
