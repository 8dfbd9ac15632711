#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "platform/testing/worker_stand_in.h"
#include "processes.h"

namespace redwingwheel::soak {

struct deployment_options {
    std::filesystem::path programs; ///< Folder of the daemon and the relay.
    std::filesystem::path folder;   ///< Settings, data folders and logs go here.
    std::uint32_t gateways = 3;     ///< Each with a data folder and in a data centre of its own.
    std::uint32_t workers = 6;
    std::uint16_t first_port = 23000;
};

/// A gateway with a replica, behind a relay that stands for its links to other processes.
struct gateway_host {
    std::string callers;
    std::string readiness;
    std::string administration;
    std::string relay_control;
    std::filesystem::path data_folder;
    std::filesystem::path settings_file;
    std::unique_ptr<child_process> relay;
    std::unique_ptr<child_process> daemon;
};

/// Gateways, supervisors and relays as processes of their own; the workers are stand-ins in this
/// process.
class deployment {
public:
    deployment(const deployment_options& options, platform::testing::worker_observer observer);

    /// Starts everything. Errors: a port is taken.
    [[nodiscard]] absl::Status start();
    void stop();

    /// Starts daemons that have ended.
    void restart_ended();

    /// Gives the relay of a gateway a command; see tcp-relay-stand-in.
    void relay(std::size_t gateway, const std::string& command);

    /// Kills the gateway and empties its data folder.
    void lose_disk(std::size_t gateway);

    [[nodiscard]] std::vector<std::unique_ptr<gateway_host>>& gateways() { return this->hosts; }
    [[nodiscard]] std::vector<std::unique_ptr<child_process>>& supervisors()
    {
        return this->supervisor_daemons;
    }
    [[nodiscard]] platform::testing::worker_fleet& workers() { return *this->fleet; }
    /// Daemons that ended by themselves.
    [[nodiscard]] std::uint32_t own_ends() const;

    static constexpr const char* service = "stand-ins";

private:
    [[nodiscard]] std::string next_address();
    void write_gateway_settings(const gateway_host& host, const std::string& listen,
                                const std::string& bind, std::uint32_t index, bool founding);
    void add_gateway(std::uint32_t index, const std::string& listen);
    void add_supervisor(std::uint32_t index, std::vector<platform::testing::worker_options>& into);

    deployment_options options;
    std::uint16_t next_port;
    std::vector<std::string> seeds;
    std::vector<std::string> binds;
    std::vector<std::unique_ptr<gateway_host>> hosts;
    std::vector<std::unique_ptr<child_process>> supervisor_daemons;
    std::unique_ptr<platform::testing::worker_fleet> fleet;
};

} // namespace redwingwheel::soak
