#include "response_writer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace redwingwheel::http {

namespace asio = boost::asio;

namespace {

constexpr milliseconds progress_timeout{20'000};

} // namespace

response_writer_loop::~response_writer_loop()
{
    this->stop();
}

void response_writer_loop::stop()
{
    this->io.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

asio::io_context& response_writer_loop::context()
{
    if (!this->thread.joinable()) {
        this->thread = std::thread([this] { this->io.run(); });
    }
    return this->io;
}

response_writer::response_writer(asio::io_context& loop, int descriptor)
    : socket(loop), progress_timer(loop)
{
    const int duplicate = ::dup(descriptor);
    boost::system::error_code error;
    this->socket.assign(asio::ip::tcp::v4(), duplicate, error);
    if (error && duplicate >= 0) {
        ::close(duplicate);
    }
    this->failed = static_cast<bool>(error);
}

response_writer::~response_writer()
{
    for (const response& each : this->queue) {
        each.done(false);
    }
}

void response_writer::send(std::string bytes, std::function<void(bool sent)> done)
{
    ++this->unsent;
    const std::shared_ptr<response_writer> self = this->shared_from_this();
    asio::post(this->socket.get_executor(),
               [self, bytes = std::move(bytes), done = std::move(done)]() mutable {
                   self->queue.push_back({std::move(bytes), std::move(done)});
                   if (self->failed) {
                       self->finish_front(false);
                   }
                   else if (self->queue.size() == 1) {
                       self->write_some();
                   }
               });
}

void response_writer::write_some()
{
    this->start_timer();
    const std::shared_ptr<response_writer> self = this->shared_from_this();
    this->socket.async_write_some(
        asio::buffer(this->queue.front().bytes) + this->offset,
        [self](const boost::system::error_code& error, std::size_t bytes) {
            self->progress_timer.cancel();
            if (error) {
                self->failed = true;
                while (!self->queue.empty()) {
                    self->finish_front(false);
                }
                return;
            }
            self->offset += bytes;
            if (self->offset == self->queue.front().bytes.size()) {
                self->finish_front(true);
            }
            if (!self->queue.empty()) {
                self->write_some();
            }
        });
}

void response_writer::start_timer()
{
    this->progress_timer.expires_at(boot_clock::now() + progress_timeout);
    const std::weak_ptr<response_writer> observed = this->weak_from_this();
    this->progress_timer.async_wait([observed](const boost::system::error_code& error) {
        const std::shared_ptr<response_writer> self = observed.lock();
        // The timer may have expired just before it was set anew or cancelled.
        if (!error && self != nullptr && !self->queue.empty() &&
            boot_clock::now() >= self->progress_timer.expiry()) {
            ::shutdown(self->socket.native_handle(), SHUT_RDWR);
        }
    });
}

void response_writer::finish_front(bool sent)
{
    const response finished = std::move(this->queue.front());
    this->queue.pop_front();
    this->offset = 0;
    --this->unsent;
    finished.done(sent);
}

} // namespace redwingwheel::http
