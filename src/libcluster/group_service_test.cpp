#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <future>
#include <thread>

#include <sys/resource.h>

#include <boost/asio/ip/tcp.hpp>

#include "redwingwheel/group_service.h"

using namespace redwingwheel;

namespace {

std::string free_address()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
        context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// Makes this process's writes to files fail, as on a full disk, by a file size limit of 1 byte.
class file_write_failure {
public:
    file_write_failure()
    {
        std::signal(SIGXFSZ, SIG_IGN);
        getrlimit(RLIMIT_FSIZE, &this->original_limit);
        rlimit reduced_limit = this->original_limit;
        reduced_limit.rlim_cur = 1;
        setrlimit(RLIMIT_FSIZE, &reduced_limit);
    }
    ~file_write_failure() { setrlimit(RLIMIT_FSIZE, &this->original_limit); }
    file_write_failure(const file_write_failure&) = delete;
    file_write_failure& operator=(const file_write_failure&) = delete;

private:
    rlimit original_limit{};
};

/// A group of one replica whose state machine records the applied commands.
class single_replica_group {
public:
    single_replica_group()
    {
        std::string name = (std::filesystem::temp_directory_path() / "group-XXXXXX").string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        this->folder = name;
        config::settings settings;
        settings.name = "alone";
        settings.data_centre = "dc";
        settings.data_folder = this->folder / "data";
        settings.cluster.listen = free_address();
        settings.cluster.bind = settings.cluster.listen;
        settings.cluster.seeds = {settings.cluster.listen};
        settings.cluster.founding = true;
        settings.cluster.tolerated_losses = 0;
        std::filesystem::create_directory(settings.data_folder);
        this->group =
            std::make_unique<cluster::group_service>(settings, "secret", this->loop, this->traffic);
        cluster::state_machine_hooks state_machine;
        state_machine.apply = [this](std::uint64_t, const std::string& command) {
            this->applied.push_back(command);
        };
        state_machine.take_snapshot = [] { return std::string(); };
        state_machine.restore_snapshot = [](std::string_view) { return absl::OkStatus(); };
        state_machine.reset = [this] { this->applied.clear(); };
        state_machine.leadership_changed = [](bool, std::uint64_t) {};
        this->group->set_state_machine(std::move(state_machine));
        this->loop.start();
        this->traffic.start();
        REQUIRE(this->group->start().ok());
    }
    ~single_replica_group()
    {
        this->group->stop();
        this->loop.stop();
        this->traffic.stop();
        std::filesystem::remove_all(this->folder);
    }
    single_replica_group(const single_replica_group&) = delete;
    single_replica_group& operator=(const single_replica_group&) = delete;

    bool wait_for_leadership()
    {
        constexpr std::chrono::seconds limit{20};
        const steady_time end = boot_clock::now() + limit;
        bool leads = false;
        while (!leads && boot_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(20));
            this->loop.run_and_wait([this, &leads] { leads = this->group->leads(); });
        }
        return leads;
    }

    absl::Status propose(const std::string& command)
    {
        std::promise<absl::Status> result;
        this->loop.post([this, &command, &result] {
            this->group->propose(command,
                                 [&result](const absl::StatusOr<replication::log_index>& at) {
                                     result.set_value(at.status());
                                 });
        });
        return result.get_future().get();
    }

    std::filesystem::path folder;
    kernel::control_loop loop;
    kernel::traffic_loop traffic;
    std::unique_ptr<cluster::group_service> group;
    std::vector<std::string> applied;
};

} // namespace

// Failure: a replica stays stopped after its disk has failed for a short time, so that the loss of
// another one stops the group.
TEST_CASE("a replica reopens its storage after a write failure")
{
    single_replica_group group;
    REQUIRE(group.wait_for_leadership());
    REQUIRE(group.propose("first").ok());
    {
        const file_write_failure write_failure;
        CHECK_FALSE(group.propose("lost").ok());
    }
    REQUIRE(group.wait_for_leadership());
    REQUIRE(group.propose("second").ok());
    CHECK(std::count(group.applied.begin(), group.applied.end(), "first") == 1);
    CHECK(group.applied.back() == "second");
}
