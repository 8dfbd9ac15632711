#include "deployment.h"

#include <fstream>

#include <boost/asio.hpp>
#include <fmt/format.h>

namespace redwingwheel::soak {

namespace {

constexpr std::uint32_t data_centres = 3;

std::string data_centre_of(std::uint32_t index)
{
    return fmt::format("dc-{}", index % data_centres);
}

void write_file(const std::filesystem::path& to, const std::string& text)
{
    std::ofstream(to) << text;
}

std::string list_of(const std::vector<std::string>& addresses)
{
    std::string text;
    for (const std::string& each : addresses) {
        text += fmt::format("{}\"{}\"", text.empty() ? "" : ", ", each);
    }
    return "[" + text + "]";
}

} // namespace

deployment::deployment(const deployment_options& chosen,
                       platform::testing::worker_observer observer)
    : options(chosen), next_port(chosen.first_port)
{
    write_file(this->options.folder / "secret", "secret of the soak");
    std::filesystem::permissions(this->options.folder / "secret",
                                 std::filesystem::perms::owner_read |
                                     std::filesystem::perms::owner_write);
    for (std::uint32_t index = 0; index < this->options.gateways; ++index) {
        this->seeds.push_back(this->next_address());
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

std::string deployment::next_address()
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
                    index, data_centre_of(index), (this->options.folder / "secret").string(),
                    host.data_folder.string(), listen, bind, list_of(this->seeds), founding,
                    host.callers, host.readiness, host.administration));
}

void deployment::add_gateway(std::uint32_t index, const std::string& listen)
{
    std::unique_ptr<gateway_host> host = std::make_unique<gateway_host>();
    const std::string bind = this->next_address();
    this->binds.push_back(bind);
    host->callers = this->next_address();
    host->readiness = this->next_address();
    host->administration = this->next_address();
    host->relay_control = this->next_address();
    const std::filesystem::path folder = this->options.folder;
    host->data_folder = folder / fmt::format("data-{}", index);
    std::filesystem::create_directory(host->data_folder);
    host->settings_file = folder / fmt::format("gateway-{}.yaml", index);
    this->write_gateway_settings(*host, listen, bind, index, true);
    host->relay = std::make_unique<child_process>(
        std::vector<std::string>{(this->options.programs / "tcp-relay-stand-in").string(),
                                 "--listen", listen, "--to", bind, "--control", host->relay_control,
                                 "--seed", std::to_string(index + 1)},
        folder / fmt::format("relay-{}.log", index));
    host->daemon = std::make_unique<child_process>(
        std::vector<std::string>{(this->options.programs / "redwingwheeld").string(), "--config",
                                 host->settings_file.string()},
        folder / fmt::format("gateway-{}.log", index));
    this->hosts.push_back(std::move(host));
}

void deployment::add_supervisor(std::uint32_t index,
                                std::vector<platform::testing::worker_options>& into)
{
    platform::testing::worker_options worker;
    worker.name = fmt::format("w{}", index);
    worker.service = service;
    worker.data_centre = data_centre_of(index);
    worker.rack = fmt::format("r-{}", index % data_centres);
    worker.capacity = {16000, 32000, 8};
    worker.listen = this->next_address();
    worker.supervisor = this->next_address();
    const std::filesystem::path folder = this->options.folder;
    const std::filesystem::path settings = folder / fmt::format("supervisor-{}.yaml", index);
    write_file(settings,
               fmt::format("name: supervisor-{}\nregion: r\ndata_centre: {}\n"
                           "roles: [supervisor]\ncluster_secret_file: {}\n"
                           "cluster: {{seeds: {}}}\n"
                           "supervisor: {{listen: \"{}\", worker: \"{}\", lease_ms: 6000}}\n"
                           "timing: {{drain_ms: 500}}\n",
                           index, worker.data_centre, (folder / "secret").string(),
                           list_of(this->seeds), worker.supervisor, worker.listen));
    this->supervisor_daemons.push_back(std::make_unique<child_process>(
        std::vector<std::string>{(this->options.programs / "redwingwheeld").string(), "--config",
                                 settings.string()},
        folder / fmt::format("supervisor-{}.log", index)));
    into.push_back(std::move(worker));
}

absl::Status deployment::start()
{
    const absl::Status started = this->fleet->start();
    if (!started.ok()) {
        return started;
    }
    for (const std::unique_ptr<gateway_host>& each : this->hosts) {
        each->relay->start();
    }
    this->restart_ended();
    return absl::OkStatus();
}

void deployment::stop()
{
    for (const std::unique_ptr<gateway_host>& each : this->hosts) {
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
    for (const std::unique_ptr<gateway_host>& each : this->hosts) {
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

void deployment::relay(std::size_t gateway, const std::string& command)
{
    namespace asio = boost::asio;
    const absl::StatusOr<wire::address> at =
        wire::parse_address(this->hosts[gateway]->relay_control);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    boost::system::error_code failed;
    socket.connect(asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), at->port), failed);
    if (!failed) {
        asio::write(socket, asio::buffer(command + "\n"), failed);
    }
    asio::streambuf answer;
    if (!failed) {
        asio::read_until(socket, answer, '\n', failed);
    }
    if (failed) {
        fmt::print(stderr, "relay {}: {}: {}\n", gateway, command, failed.message());
    }
}

void deployment::lose_disk(std::size_t gateway)
{
    gateway_host& host = *this->hosts[gateway];
    host.daemon->kill();
    std::filesystem::remove_all(host.data_folder);
    std::filesystem::create_directory(host.data_folder);
    this->write_gateway_settings(host, this->seeds[gateway], this->binds[gateway],
                                 static_cast<std::uint32_t>(gateway), false);
}

std::uint32_t deployment::own_ends() const
{
    std::uint32_t ends = 0;
    for (const std::unique_ptr<gateway_host>& each : this->hosts) {
        ends += each->daemon->own_ends();
    }
    for (const std::unique_ptr<child_process>& each : this->supervisor_daemons) {
        ends += each->own_ends();
    }
    return ends;
}

} // namespace redwingwheel::soak
