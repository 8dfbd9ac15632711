#include "control_under_test.h"

#include <fstream>
#include <future>

#include <pthread.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace redwingwheel::control::bench {

namespace {

constexpr milliseconds leadership_patience{5000};
constexpr milliseconds leadership_check_period{20};

std::uint16_t find_free_port()
{
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor acceptor(io,
                                                  {boost::asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

clockid_t clock_of_this_thread()
{
    clockid_t clock{};
    pthread_getcpuclockid(pthread_self(), &clock);
    return clock;
}

double read_clock(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

} // namespace

control_under_test::control_under_test(const std::filesystem::path& folder, std::uint16_t port)
    : listen{"127.0.0.1", port == 0 ? find_free_port() : port}
{
    std::filesystem::create_directories(folder);
    this->settings.name = "control";
    this->settings.region = "r1";
    this->settings.data_centre = "dc1";
    this->settings.roles.control = true;
    this->settings.data_folder = folder.string();
    this->settings.control.listen = fmt::format("{}:{}", this->listen.ip, this->listen.port);
    this->settings.control.replicas = {this->settings.control.listen};
    this->service =
        std::make_unique<control_service>(this->settings, bench_secret, this->loop, this->traffic);
}

control_under_test::~control_under_test()
{
    this->stop();
}

absl::Status control_under_test::start()
{
    this->loop.start();
    this->traffic.start();
    this->running = true;
    this->loop.run_and_wait([this] { this->control_clock = clock_of_this_thread(); });
    std::promise<clockid_t> clock;
    boost::asio::post(this->traffic.context(),
                      [&clock] { clock.set_value(clock_of_this_thread()); });
    this->traffic_clock = clock.get_future().get();
    const absl::Status started = this->service->start();
    if (!started.ok()) {
        return started;
    }
    const steady_time deadline = boot_clock::now() + leadership_patience;
    while (!this->service->read_gauges().leads) {
        if (boot_clock::now() > deadline) {
            return absl::DeadlineExceededError("the replica does not lead");
        }
        std::this_thread::sleep_for(leadership_check_period);
    }
    return absl::OkStatus();
}

void control_under_test::stop()
{
    if (!this->running) {
        return;
    }
    this->running = false;
    this->service->stop();
    this->loop.stop();
    this->traffic.stop();
}

cost_sample control_under_test::sample()
{
    const control_service::gauges gauges = this->service->read_gauges();
    cost_sample taken;
    taken.at = boot_clock::now();
    taken.control_thread_s = read_clock(this->control_clock);
    taken.traffic_thread_s = read_clock(this->traffic_clock);
    taken.process_s = read_clock(CLOCK_PROCESS_CPUTIME_ID);
    taken.bytes_in = gauges.bytes_in;
    taken.bytes_out = gauges.bytes_out;
    taken.commit = gauges.commit_index;
    return taken;
}

std::uint64_t resident_kb()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total_pages = 0;
    std::uint64_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) / 1024;
}

} // namespace redwingwheel::control::bench
