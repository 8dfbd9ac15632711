#include "load_run.h"

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include <fmt/format.h>

#include "redwingwheel/digest.h"

namespace redwingwheel::load {

namespace {

/// The entry answers 504 at the deadline; only an answer that misses this as well is lost.
constexpr milliseconds answer_grace{3000};
/// An open loop may have this many requests open on one entry before they wait in the client.
constexpr long connections_per_entry = 2048;

double as_ms(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Collects answers from the client's thread.
class collector {
public:
    explicit collector(const run_settings& chosen) : settings(chosen)
    {
        for (const service_load& each : chosen.mix) {
            this->outcome.measured.emplace_back().service = each.service;
        }
        this->outcome.warm_up.service = "warm-up";
    }

    void note_sent(double behind_ms)
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        ++this->open;
        this->outcome.most_behind_ms = std::max(this->outcome.most_behind_ms, behind_ms);
    }

    void note_answer(const arrival& of, request_result result, bool right, double latency_ms)
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        const bool warm_up = of.offset < std::chrono::duration<double>(this->settings.warm_up_s);
        service_results& into =
            warm_up ? this->outcome.warm_up : this->outcome.measured[of.service_index];
        into.note(result, right, latency_ms, static_cast<double>(this->settings.deadline.count()));
        --this->open;
        this->changed.notify_all();
    }

    void wait_for_answers(steady_time until)
    {
        std::unique_lock<std::mutex> guard(this->lock);
        this->changed.wait_until(guard, until, [this] { return this->open == 0; });
    }

    run_outcome take()
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        return this->outcome;
    }

private:
    const run_settings& settings;
    std::mutex lock;
    std::condition_variable changed;
    std::uint64_t open = 0;
    run_outcome outcome;
};

class sender {
public:
    explicit sender(const run_settings& chosen)
        : settings(chosen), answers(chosen),
          run_name(fmt::format("load-{}-{}", chosen.seed,
                               std::chrono::system_clock::now().time_since_epoch().count())),
          client(std::make_unique<http::client>(
              http::client_options{.max_connections_per_host = connections_per_entry}))
    {
    }

    run_outcome run()
    {
        const std::vector<arrival> schedule =
            make_schedule(this->settings.mix, this->settings.warm_up_s + this->settings.seconds,
                          this->settings.seed);
        this->started_at = boot_clock::now();
        for (const arrival& each : schedule) {
            std::this_thread::sleep_until(this->started_at + each.offset);
            this->send(each);
        }
        this->answers.wait_for_answers(boot_clock::now() + this->settings.deadline +
                                       2 * answer_grace);
        // Ending the client completes whatever is open, as lost.
        this->client.reset();
        return this->answers.take();
    }

private:
    http::client_request make_request(const arrival& of, std::string body) const
    {
        const service_load& load = this->settings.mix[of.service_index];
        const std::string& entry =
            this->settings.entries[of.number % this->settings.entries.size()];
        const std::string name = fmt::format("{}-{}", this->run_name, of.number);
        http::client_request request;
        request.method = "POST";
        request.body = std::move(body);
        request.headers["Content-Type"] = "application/octet-stream";
        request.deadline = this->started_at + of.offset + this->settings.deadline + answer_grace;
        if (this->settings.direct) {
            request.url = fmt::format("http://{}/request", entry);
            request.headers["X-Attempt"] = name;
            return request;
        }
        request.url = fmt::format("http://{}/v1/requests/{}", entry, load.service);
        request.headers["Authorization"] = "Bearer " + this->settings.token;
        request.headers["X-Deadline-Ms"] = std::to_string(this->settings.deadline.count());
        if (this->settings.keyed.contains(load.service)) {
            const std::int64_t unix_s = std::chrono::duration_cast<std::chrono::seconds>(
                                            std::chrono::system_clock::now().time_since_epoch())
                                            .count();
            request.headers["Idempotency-Key"] = fmt::format("{:010}-{}", unix_s, name);
        }
        return request;
    }

    void send(const arrival& of)
    {
        std::string body = make_body(this->settings.seed, of.number,
                                     this->settings.mix[of.service_index].body_bytes);
        const std::size_t length = body.size();
        const std::uint64_t digest = digest::content_hash(body);
        const steady_time intended = this->started_at + of.offset;
        this->answers.note_sent(as_ms(boot_clock::now() - intended));
        this->client->send(
            this->make_request(of, std::move(body)),
            [this, of, length, digest, intended](absl::StatusOr<http::client_response> answer) {
                const double latency_ms = as_ms(boot_clock::now() - intended);
                const request_result result = classify(answer);
                const bool right =
                    result == request_result::done && answer_matches(answer->body, length, digest);
                this->answers.note_answer(of, result, right, latency_ms);
            });
    }

    const run_settings& settings;
    collector answers;
    std::string run_name;
    std::unique_ptr<http::client> client;
    steady_time started_at;
};

} // namespace

run_outcome run_load(const run_settings& settings)
{
    return sender(settings).run();
}

} // namespace redwingwheel::load
