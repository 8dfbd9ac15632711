#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "platform/testing/worker_stand_in.h"
#include "processes.h"

namespace redwingwheel::soak {

struct deployment_options {
    std::filesystem::path programs;   ///< Folder with redwingwheeld and tcp-relay-stand-in.
    std::filesystem::path folder;     ///< Receives settings files, data folders and logs.
    std::uint32_t gateways = 3;       ///< Each has its own data folder; spread over 3 data centres.
    std::uint32_t workers = 6;        ///< Each has its own supervisor.
    std::uint16_t first_port = 23000; ///< Ports are taken from here upwards.
};

/// A gateway with a replica of the replicated log. Other processes reach its cluster address
/// through a TCP relay, which injects the faults of the network.
struct gateway_host {
    std::string caller_address;
    std::string readiness_address;
    std::string administration_address;
    std::string relay_control_address;
    std::filesystem::path data_folder;
    std::filesystem::path settings_file;
    std::unique_ptr<child_process> relay;
    std::unique_ptr<child_process> daemon;
};

/// A cluster on this host: gateways, supervisors and relays as separate processes, workers as
/// stand-ins in this process.
class deployment {
public:
    deployment(const deployment_options& options, platform::testing::worker_observer observer);

    /// Starts the workers, relays and daemons. Errors: a port of a worker is in use.
    [[nodiscard]] absl::Status start();
    /// Kills the daemons and relays and stops the workers.
    void stop();

    /// Starts each daemon that does not run.
    void restart_ended();

    /// Sends a control command (see tcp-relay-stand-in) to the relay of a gateway and waits for the
    /// answer. A failure is only printed.
    void send_relay_command(std::size_t gateway, const std::string& command);

    /// Kills the gateway, empties its data folder and sets `founding: false` in its settings, so
    /// that it joins the existing group when it is restarted.
    void replace_disk(std::size_t gateway);

    [[nodiscard]] std::vector<std::unique_ptr<gateway_host>>& gateways()
    {
        return this->gateway_hosts;
    }
    [[nodiscard]] std::vector<std::unique_ptr<child_process>>& supervisors()
    {
        return this->supervisor_daemons;
    }
    [[nodiscard]] platform::testing::worker_fleet& workers() { return *this->fleet; }
    /// Number of unexpected exits of daemons.
    [[nodiscard]] std::uint32_t unexpected_exits() const;

    /// Service that the workers and the installed configuration belong to.
    static constexpr const char* service = "stand-ins";

private:
    [[nodiscard]] std::string allocate_address();
    void write_gateway_settings(const gateway_host& host, const std::string& listen,
                                const std::string& bind, std::uint32_t index, bool founding);
    void add_gateway(std::uint32_t index, const std::string& listen);
    void add_supervisor(std::uint32_t index,
                        std::vector<platform::testing::worker_options>& workers);

    deployment_options options;
    std::uint16_t next_port;
    std::vector<std::string> seeds; ///< Addresses of the relays, one per gateway.
    /// Cluster addresses that the gateways listen on, behind their relays.
    std::vector<std::string> bind_addresses;
    std::vector<std::unique_ptr<gateway_host>> gateway_hosts;
    std::vector<std::unique_ptr<child_process>> supervisor_daemons;
    std::unique_ptr<platform::testing::worker_fleet> fleet;
};

} // namespace redwingwheel::soak
