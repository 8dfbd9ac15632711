#include "redwingwheel/scheduler_service.h"

#include <cstdlib>
#include <filesystem>
#include <future>
#include <thread>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "redwingwheel/packing.h"

using namespace redwingwheel;
using namespace redwingwheel::jobs;

namespace {

namespace asio = boost::asio;

constexpr std::chrono::seconds wait_limit{20};

std::string free_address()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(
        context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
}

bool wait_for(const std::function<bool()>& condition)
{
    const steady_time end = boot_clock::now() + wait_limit;
    while (!condition()) {
        if (boot_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

/// Polls like the supervisor of one worker, which has confirmed each token that it gets.
struct polling_supervisor {
    messages::worker_poll poll;

    explicit polling_supervisor(const std::string& name)
    {
        this->poll.supervisor = name;
        this->poll.process = 1;
        this->poll.worker.incarnation = {"worker of " + name, 1, name};
        this->poll.worker.service = "service";
        this->poll.worker.data_centre = "dc";
        this->poll.worker.capacity = {1000, 1000, 0};
    }
};

/// The leader of a group of one.
class leader_world {
public:
    leader_world()
    {
        std::string name = (std::filesystem::temp_directory_path() / "scheduler-XXXXXX").string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        this->folder = name;
        this->settings.name = "alone";
        this->settings.data_centre = "dc";
        this->settings.data_folder = this->folder / "data";
        this->settings.cluster.listen = free_address();
        this->settings.cluster.bind = this->settings.cluster.listen;
        this->settings.cluster.seeds = {this->settings.cluster.listen};
        this->settings.cluster.founding = true;
        this->settings.cluster.tolerated_losses = 0;
        std::filesystem::create_directory(this->settings.data_folder);
        this->group = std::make_unique<cluster::group_service>(this->settings, "secret", this->loop,
                                                               this->traffic);
        this->scheduler = std::make_unique<scheduler_service>(
            scheduler_options(), room_options(), *this->group, this->loop, this->metrics);
        this->loop.start();
        this->traffic.start();
        REQUIRE(this->group->start().ok());
        REQUIRE(this->scheduler->start().ok());
        REQUIRE(wait_for([this] {
            bool leads = false;
            this->loop.run_and_wait([this, &leads] { leads = this->group->leads(); });
            return leads;
        }));
    }
    ~leader_world()
    {
        this->scheduler->stop();
        this->group->stop();
        this->loop.stop();
        this->traffic.stop();
        std::filesystem::remove_all(this->folder);
    }
    leader_world(const leader_world&) = delete;
    leader_world& operator=(const leader_world&) = delete;

    absl::StatusOr<std::string> call(messages::kind kind, const std::string& body)
    {
        std::promise<absl::StatusOr<std::string>> answered;
        std::future<absl::StatusOr<std::string>> answer = answered.get_future();
        this->loop.post([this, kind, &body, &answered] {
            this->group->leader().call_once(
                kind, body, boot_clock::now() + std::chrono::seconds(5),
                [&answered](const absl::StatusOr<std::string>& made) { answered.set_value(made); });
        });
        return answer.get();
    }

    command_result call_job(const messages::job_call& job)
    {
        const absl::StatusOr<std::string> answer = this->call(messages::kind::job_call, pack(job));
        return answer.ok() ? unpack<messages::job_answer>(*answer)->result : command_result::stale;
    }

    /// Polls until the answer has orders; confirms the tokens in the others.
    messages::worker_poll_answer poll(polling_supervisor& from)
    {
        messages::worker_poll_answer answer;
        const bool has_orders = wait_for([this, &from, &answer] {
            ++from.poll.sequence;
            const absl::StatusOr<std::string> body =
                this->call(messages::kind::worker_poll, pack(from.poll));
            answer = body.ok() ? *unpack<messages::worker_poll_answer>(*body)
                               : messages::worker_poll_answer();
            for (const messages::issued_token& each : answer.tokens) {
                from.poll.fencing_token = each.token;
            }
            from.poll.orders_digest = answer.orders_digest;
            return answer.has_orders;
        });
        REQUIRE(has_orders);
        return answer;
    }

    /// Polls until the worker has an order to start a run.
    std::optional<run_id> wait_for_start(polling_supervisor& from)
    {
        std::optional<run_id> found;
        wait_for([this, &from, &found] {
            const messages::worker_poll_answer answer = this->poll(from);
            if (!answer.starts.empty()) {
                found = answer.starts.front().run;
            }
            return found.has_value();
        });
        return found;
    }

private:
    std::filesystem::path folder;
    config::settings settings;
    metrics::registry metrics;
    kernel::control_loop loop;
    kernel::traffic_loop traffic;
    std::unique_ptr<cluster::group_service> group;
    std::unique_ptr<scheduler_service> scheduler;
};

} // namespace

// Failure: the leader goes on to give permits to the supervisor of a worker that is lost for good,
// and never gives its runs to another worker.
TEST_CASE("the leader keeps runs on a worker whose supervisor reports its lease as expired")
{
    leader_world leader;
    messages::job_call installed;
    installed.operation = messages::job_operation::install_configuration;
    installed.configuration.version = 1;
    installed.configuration.services = {"service"};
    installed.configuration.queues = {{"q", "h", "/q/", "service", 1, 2, 3.0, 1000, true}};
    REQUIRE(leader.call_job(installed) == command_result::accepted);

    polling_supervisor lost("lost");
    CHECK(leader.poll(lost).permit_ms > 0);
    messages::job_call submitted;
    submitted.operation = messages::job_operation::submit;
    submitted.host = "h";
    submitted.path = "/q/00000000000000aa";
    submitted.job = "00000000000000aa";
    step_definition step;
    step.tasks = 1;
    step.per_task = {1000, 100, 0};
    submitted.definition.steps = {step};
    REQUIRE(leader.call_job(submitted) == command_result::accepted);
    const std::optional<run_id> first = leader.wait_for_start(lost);
    REQUIRE(first.has_value());
    lost.poll.running = {{*first, "saved", 10}};

    polling_supervisor sound("sound");
    CHECK(leader.poll(sound).starts.empty());
    // Without contact alone, the run may go on.
    lost.poll.worker.reachable = false;
    lost.poll.contact = worker_contact::lost;
    const messages::worker_poll_answer while_lost = leader.poll(lost);
    CHECK(while_lost.permit_ms > 0);
    CHECK(while_lost.desired_runs == std::vector<run_id>{*first});

    lost.poll.contact = worker_contact::lease_expired;
    const messages::worker_poll_answer after = leader.poll(lost);
    CHECK(after.permit_ms == 0);
    CHECK(after.desired_runs.empty());
    const std::optional<run_id> second = leader.wait_for_start(sound);
    REQUIRE(second.has_value());
    CHECK(second->task == first->task);
    CHECK(second->number == first->number + 1);
}
