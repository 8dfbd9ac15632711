#include "call_load.h"

#include <future>

#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "redwingwheel/packing.h"

namespace redwingwheel::control::bench {

namespace {

constexpr milliseconds call_patience{20'000};
constexpr std::string_view claim_body = R"({"lot": 17, "crates": 240, "counted": 238})";

std::string pack_call(std::string_view path, std::string_view query, const nlohmann::json& body)
{
    messages::operator_call call;
    call.role = messages::caller_role::operator_role;
    call.caller = "ops";
    call.method = "POST";
    call.path = path;
    call.query = query;
    call.body = body.dump();
    return pack(call);
}

nlohmann::json accepted_body(const absl::StatusOr<std::string>& body)
{
    const absl::StatusOr<messages::operator_answer> answer =
        body.ok() ? unpack<messages::operator_answer>(*body)
                  : absl::StatusOr<messages::operator_answer>(body.status());
    if (!answer.ok() || answer->status != 200) {
        spdlog::error("event=bench_call_failed answer=\"{}\"",
                      answer.ok() ? answer->body : answer.status().ToString());
        return {};
    }
    return nlohmann::json::parse(answer->body, nullptr, false);
}

std::int64_t unix_s()
{
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

request::begin_claim sample_begin(std::uint64_t attempt)
{
    request::begin_claim begin;
    begin.account = fmt::format("account-{}", attempt % 8);
    begin.key = fmt::format("{:010}-{:016x}", unix_s(), attempt);
    begin.payload_digest = attempt;
    begin.attempt = attempt;
    begin.worker = "w1";
    begin.incarnation = 0x9e3779b97f4a7c15;
    return begin;
}

request::finish_claim sample_finish(std::uint64_t attempt)
{
    request::finish_claim finish;
    finish.attempt = attempt;
    finish.final_answer.attempt = attempt;
    finish.final_answer.outcome = request::outcome_kind::done;
    finish.final_answer.http_status = 200;
    finish.final_answer.content_type = "application/json";
    finish.final_answer.body = claim_body;
    request::set_body_digest(finish.final_answer);
    return finish;
}

control_caller::control_caller(kernel::traffic_loop& traffic_loop, const wire::address& control)
    : traffic(traffic_loop), client(traffic_loop, control, bench_secret, wire::rpc_options())
{
}

void control_caller::call(messages::kind kind, std::string body,
                          std::function<void(absl::StatusOr<std::string>)> done)
{
    this->client.call(
        static_cast<std::uint16_t>(kind), std::move(body), boot_clock::now() + call_patience,
        [done = std::move(done)](const absl::StatusOr<std::string>& reply_body) {
            if (!reply_body.ok()) {
                done(reply_body.status());
                return;
            }
            absl::StatusOr<messages::control_reply> reply =
                unpack<messages::control_reply>(*reply_body);
            if (!reply.ok() || reply->result != messages::control_reply::result_kind::served) {
                done(absl::UnavailableError("not served"));
                return;
            }
            done(std::move(reply->body));
        });
}

nlohmann::json control_caller::post(std::string_view path, std::string_view query,
                                    const nlohmann::json& body)
{
    std::promise<nlohmann::json> result;
    this->call(messages::kind::operator_call, pack_call(path, query, body),
               [&result](const absl::StatusOr<std::string>& answer) {
                   result.set_value(accepted_body(answer));
               });
    return result.get_future().get();
}

std::size_t control_caller::post_all(std::string_view path, std::span<const nlohmann::json> bodies)
{
    std::vector<std::promise<bool>> results(bodies.size());
    for (std::size_t index = 0; index < bodies.size(); ++index) {
        this->call(messages::kind::operator_call, pack_call(path, "", bodies[index]),
                   [&result = results[index]](const absl::StatusOr<std::string>& answer) {
                       result.set_value(!accepted_body(answer).is_null());
                   });
    }
    std::size_t accepted = 0;
    for (std::promise<bool>& each : results) {
        accepted += each.get_future().get() ? 1 : 0;
    }
    return accepted;
}

struct control_caller::claim_run {
    steady_time deadline;
    std::size_t open = 0;
    claim_counts counts;
    std::promise<claim_counts> result;
};

control_caller::claim_counts control_caller::run_claims(milliseconds length, std::size_t at_once)
{
    const std::shared_ptr<claim_run> run = std::make_shared<claim_run>();
    run->deadline = boot_clock::now() + length;
    run->open = at_once;
    boost::asio::post(this->traffic.context(), [this, run, at_once] {
        for (std::size_t started = 0; started < at_once; ++started) {
            this->begin_claim(run);
        }
    });
    return run->result.get_future().get();
}

void control_caller::begin_claim(const std::shared_ptr<claim_run>& run)
{
    if (boot_clock::now() >= run->deadline) {
        if (--run->open == 0) {
            run->result.set_value(run->counts);
        }
        return;
    }
    const std::uint64_t attempt = this->next_attempt++;
    this->call(messages::kind::claim, request::pack_command(sample_begin(attempt)),
               [this, run, attempt](const absl::StatusOr<std::string>& body) {
                   const absl::StatusOr<messages::claim_reply> reply =
                       body.ok() ? unpack<messages::claim_reply>(*body)
                                 : absl::StatusOr<messages::claim_reply>(body.status());
                   if (!reply.ok() || reply->verdict != request::claim_verdict::granted) {
                       ++run->counts.failed;
                       this->begin_claim(run);
                       return;
                   }
                   this->finish_claim(run, attempt);
               });
}

void control_caller::finish_claim(const std::shared_ptr<claim_run>& run, std::uint64_t attempt)
{
    this->call(messages::kind::claim, request::pack_command(sample_finish(attempt)),
               [this, run](const absl::StatusOr<std::string>& body) {
                   run->counts.finished += body.ok() ? 1 : 0;
                   run->counts.failed += body.ok() ? 0 : 1;
                   this->begin_claim(run);
               });
}

} // namespace redwingwheel::control::bench
