#include "deployment.h"

#include <fstream>

#include <boost/asio.hpp>
#include <fmt/format.h>

namespace redwingwheel::soak {

namespace {

constexpr std::uint32_t data_centres = 3;

std::string data_centre_name(std::uint32_t index)
{
    return fmt::format("dc-{}", index % data_centres);
}

void write_file(const std::filesystem::path& path, const std::string& text)
{
    std::ofstream(path) << text;
}

std::string yaml_list(const std::vector<std::string>& addresses)
{
    std::string text;
    for (const std::string& address : addresses) {
        text += fmt::format("{}\"{}\"", text.empty() ? "" : ", ", address);
    }
    return "[" + text + "]";
}

} // namespace

deployment::deployment(const deployment_options& deployment_settings,
                       platform::testing::worker_observer observer)
    : options(deployment_settings), next_port(deployment_settings.first_port)
{
    write_file(this->options.folder / "secret", "secret of the soak");
    std::filesystem::permissions(this->options.folder / "secret",
                                 std::filesystem::perms::owner_read |
                                     std::filesystem::perms::owner_write);
    for (std::uint32_t index = 0; index < this->options.gateways; ++index) {
        this->seeds.push_back(this->allocate_address());
    }
    for (std::uint32_t index = 0; index < this->options.gateways; ++index) {
        this->add_gateway(index, this->seeds[index]);
    }
    std::vector<platform::testing::worker_options> workers;
    for (std::uint32_t index = 0; index < this->options.workers; ++index) {
        this->add_supervisor(index, workers);
    }
    this->fleet =
        std::make_unique<platform::testing::worker_fleet>(std::move(workers), std::move(observer));
}

std::string deployment::allocate_address()
{
    return fmt::format("127.0.0.1:{}", this->next_port++);
}

void deployment::write_gateway_settings(const gateway_host& host, const std::string& listen,
                                        const std::string& bind, std::uint32_t index, bool founding)
{
    write_file(
        host.settings_file,
        fmt::format("name: gateway-{}\nregion: r\ndata_centre: {}\nroles: [gateway]\n"
                    "cluster_secret_file: {}\ndata_folder: {}\n"
                    "cluster: {{listen: \"{}\", bind: \"{}\", seeds: {}, founding: {}}}\n"
                    "gateway: {{listen: \"{}\", readiness: \"{}\", administration: \"{}\"}}\n"
                    "timing: {{drain_ms: 5000}}\n",
                    index, data_centre_name(index), (this->options.folder / "secret").string(),
                    host.data_folder.string(), listen, bind, yaml_list(this->seeds), founding,
                    host.caller_address, host.readiness_address, host.administration_address));
}

void deployment::add_gateway(std::uint32_t index, const std::string& listen)
{
    std::unique_ptr<gateway_host> host = std::make_unique<gateway_host>();
    const std::string bind = this->allocate_address();
    this->bind_addresses.push_back(bind);
    host->caller_address = this->allocate_address();
    host->readiness_address = this->allocate_address();
    host->administration_address = this->allocate_address();
    host->relay_control_address = this->allocate_address();
    const std::filesystem::path folder = this->options.folder;
    host->data_folder = folder / fmt::format("data-{}", index);
    std::filesystem::create_directory(host->data_folder);
    host->settings_file = folder / fmt::format("gateway-{}.yaml", index);
    this->write_gateway_settings(*host, listen, bind, index, true);
    host->relay = std::make_unique<child_process>(
        std::vector<std::string>{(this->options.programs / "tcp-relay-stand-in").string(),
                                 "--listen", listen, "--to", bind, "--control",
                                 host->relay_control_address, "--seed", std::to_string(index + 1)},
        folder / fmt::format("relay-{}.log", index));
    host->daemon = std::make_unique<child_process>(
        std::vector<std::string>{(this->options.programs / "redwingwheeld").string(), "--config",
                                 host->settings_file.string()},
        folder / fmt::format("gateway-{}.log", index));
    this->gateway_hosts.push_back(std::move(host));
}

void deployment::add_supervisor(std::uint32_t index,
                                std::vector<platform::testing::worker_options>& workers)
{
    platform::testing::worker_options worker;
    worker.name = fmt::format("w{}", index);
    worker.service = service;
    worker.data_centre = data_centre_name(index);
    worker.rack = fmt::format("r-{}", index % data_centres);
    worker.capacity = {16000, 32000, 8};
    worker.listen = this->allocate_address();
    worker.supervisor = this->allocate_address();
    const std::filesystem::path folder = this->options.folder;
    const std::filesystem::path settings = folder / fmt::format("supervisor-{}.yaml", index);
    write_file(settings,
               fmt::format("name: supervisor-{}\nregion: r\ndata_centre: {}\n"
                           "roles: [supervisor]\ncluster_secret_file: {}\n"
                           "cluster: {{seeds: {}}}\n"
                           "supervisor: {{listen: \"{}\", worker: \"{}\", lease_ms: 6000}}\n"
                           "timing: {{drain_ms: 500}}\n",
                           index, worker.data_centre, (folder / "secret").string(),
                           yaml_list(this->seeds), worker.supervisor, worker.listen));
    this->supervisor_daemons.push_back(std::make_unique<child_process>(
        std::vector<std::string>{(this->options.programs / "redwingwheeld").string(), "--config",
                                 settings.string()},
        folder / fmt::format("supervisor-{}.log", index)));
    workers.push_back(std::move(worker));
}

absl::Status deployment::start()
{
    const absl::Status fleet_status = this->fleet->start();
    if (!fleet_status.ok()) {
        return fleet_status;
    }
    for (const std::unique_ptr<gateway_host>& each : this->gateway_hosts) {
        each->relay->start();
    }
    this->restart_ended();
    return absl::OkStatus();
}

void deployment::stop()
{
    for (const std::unique_ptr<gateway_host>& each : this->gateway_hosts) {
        each->daemon->kill();
        each->relay->kill();
    }
    for (const std::unique_ptr<child_process>& each : this->supervisor_daemons) {
        each->kill();
    }
    this->fleet->stop();
}

void deployment::restart_ended()
{
    for (const std::unique_ptr<gateway_host>& each : this->gateway_hosts) {
        if (!each->daemon->running()) {
            each->daemon->start();
        }
    }
    for (const std::unique_ptr<child_process>& each : this->supervisor_daemons) {
        if (!each->running()) {
            each->start();
        }
    }
}

void deployment::send_relay_command(std::size_t gateway, const std::string& command)
{
    namespace asio = boost::asio;
    const absl::StatusOr<wire::address> control_address =
        wire::parse_address(this->gateway_hosts[gateway]->relay_control_address);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect(
        asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), control_address->port), error);
    if (!error) {
        asio::write(socket, asio::buffer(command + "\n"), error);
    }
    asio::streambuf answer;
    if (!error) {
        asio::read_until(socket, answer, '\n', error);
    }
    if (error) {
        fmt::print(stderr, "relay of gateway {}: command \"{}\" failed: {}\n", gateway, command,
                   error.message());
    }
}

void deployment::replace_disk(std::size_t gateway)
{
    gateway_host& host = *this->gateway_hosts[gateway];
    host.daemon->kill();
    std::filesystem::remove_all(host.data_folder);
    std::filesystem::create_directory(host.data_folder);
    this->write_gateway_settings(host, this->seeds[gateway], this->bind_addresses[gateway],
                                 static_cast<std::uint32_t>(gateway), false);
}

std::uint32_t deployment::unexpected_exits() const
{
    std::uint32_t exits = 0;
    for (const std::unique_ptr<gateway_host>& each : this->gateway_hosts) {
        exits += each->daemon->unexpected_exits();
    }
    for (const std::unique_ptr<child_process>& each : this->supervisor_daemons) {
        exits += each->unexpected_exits();
    }
    return exits;
}

} // namespace redwingwheel::soak
