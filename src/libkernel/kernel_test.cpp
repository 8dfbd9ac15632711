#include "redwingwheel/kernel.h"

#include <catch2/catch.hpp>

#include "redwingwheel/control_loop.h"

namespace kernel = redwingwheel::kernel;

namespace {

class recording_service : public kernel::service {
public:
    recording_service(std::string reported_name, std::vector<std::string>& log,
                      bool start_fails = false)
        : service_name(std::move(reported_name)), events(log), fails(start_fails)
    {
    }
    [[nodiscard]] std::string_view name() const override { return this->service_name; }
    [[nodiscard]] absl::Status start() override
    {
        this->events.push_back("start " + this->service_name);
        return this->fails ? absl::InternalError("refuses") : absl::OkStatus();
    }
    void drain(redwingwheel::steady_time) override
    {
        this->events.push_back("drain " + this->service_name);
    }
    void stop() override { this->events.push_back("stop " + this->service_name); }

private:
    std::string service_name;
    std::vector<std::string>& events;
    bool fails;
};

} // namespace

// Guards against a service that stops while one that was added later still uses it.
TEST_CASE("services drain and stop in reverse order", "[kernel]")
{
    std::vector<std::string> events;
    kernel::kernel services;
    services.add(std::make_unique<recording_service>("a", events));
    services.add(std::make_unique<recording_service>("b", events));
    REQUIRE(services.start().ok());
    services.drain_and_stop(redwingwheel::boot_clock::now());
    REQUIRE(events == std::vector<std::string>{"start a", "start b", "drain b", "drain a", "stop b",
                                               "stop a"});
}

// Guards against services that keep running after a daemon has failed to start.
TEST_CASE("a failed start stops the services already started", "[kernel]")
{
    std::vector<std::string> events;
    kernel::kernel services;
    services.add(std::make_unique<recording_service>("a", events));
    services.add(std::make_unique<recording_service>("b", events, true));
    REQUIRE_FALSE(services.start().ok());
    REQUIRE(events == std::vector<std::string>{"start a", "start b", "drain a", "stop a"});
}

// Guards against two services with the same name, and a lookup that returns the wrong type.
TEST_CASE("service names are unique and unknown names are not found", "[kernel]")
{
    std::vector<std::string> events;
    kernel::kernel services;
    services.add(std::make_unique<recording_service>("a", events));
    REQUIRE_THROWS_AS(services.add(std::make_unique<recording_service>("a", events)),
                      std::logic_error);
    REQUIRE(services.find<recording_service>("a").name() == "a");
    REQUIRE_THROWS_AS(services.find<recording_service>("b"), std::logic_error);
}

// Guards against control work that runs out of order or on another thread.
TEST_CASE("the control loop runs posted work in order on its thread", "[control_loop]")
{
    kernel::control_loop loop;
    std::vector<int> order;
    bool on_thread = false;
    loop.start();
    loop.post([&order] { order.push_back(1); });
    loop.post([&order] { order.push_back(2); });
    loop.run_and_wait([&] {
        order.push_back(3);
        on_thread = loop.on_control_thread();
    });
    loop.stop();
    REQUIRE(order == std::vector<int>{1, 2, 3});
    REQUIRE(on_thread);
    REQUIRE_FALSE(loop.on_control_thread());
}
