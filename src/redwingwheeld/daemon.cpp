#include "daemon.h"

#include "redwingwheel/agent_service.h"
#include "redwingwheel/control_service.h"
#include "redwingwheel/entry_service.h"
#include "redwingwheel/scheduler_service.h"

#include "metrics_page.h"
#include "platform/services.h"

namespace redwingwheel::daemon {

process::process(const config::settings& process_settings, std::string_view secret)
    : settings(process_settings), client(http::client_options())
{
    this->add_services(secret);
}

process::~process()
{
    this->loop.stop();
    this->traffic.stop();
}

void process::add_services(std::string_view secret)
{
    // Services start in this order and stop in reverse order, so that entries stop accepting work
    // before the agent and control services stop.
    if (this->settings.roles.control) {
        this->services.add(std::make_unique<control::control_service>(this->settings, secret,
                                                                      this->loop, this->traffic));
    }
    if (this->settings.roles.agent) {
        this->services.add(std::make_unique<agent::agent_service>(
            this->settings, secret, this->loop, this->traffic, this->client));
    }
    if (this->settings.roles.entry) {
        this->services.add(std::make_unique<entry::entry_service>(
            this->settings, secret, this->loop, this->traffic, this->metrics));
    }
    if (this->settings.roles.gateway || this->settings.roles.supervisor) {
        this->add_cluster_services(secret);
    }
    if (!this->settings.metrics.listen.empty()) {
        this->services.add(std::make_unique<metrics_page>(this->settings, this->metrics));
    }
}

void process::add_cluster_services(std::string_view secret)
{
    this->services.add(std::make_unique<cluster::group_service>(this->settings, secret, this->loop,
                                                                this->traffic));
    cluster::group_service& group = this->services.find<cluster::group_service>("group");
    if (!this->settings.data_folder.empty()) {
        jobs::scheduler_options options;
        constexpr double percent = 100.0;
        options.urgent_headroom = this->settings.scheduling.urgent_headroom_percent / percent;
        this->services.add(std::make_unique<jobs::scheduler_service>(
            options, room_of_mb(this->settings.limits.job_memory_mb), group, this->loop,
            this->metrics));
    }
    if (this->settings.roles.gateway) {
        this->services.add(std::make_unique<platform::gateway_service>(this->settings, group,
                                                                       this->loop, this->metrics));
    }
    if (this->settings.roles.supervisor) {
        this->services.add(std::make_unique<platform::supervisor_service>(
            this->settings, group, this->loop, this->client, this->metrics));
    }
}

absl::Status process::start()
{
    this->loop.start();
    this->traffic.start();
    return this->services.start();
}

void process::reload(const config::settings& new_settings)
{
    if (this->services.contains("group")) {
        this->services.find<cluster::group_service>("group").set_seeds(new_settings.cluster.seeds);
    }
}

void process::drain_and_stop()
{
    this->services.drain_and_stop(boot_clock::now() + this->settings.timing.drain);
}

} // namespace redwingwheel::daemon
