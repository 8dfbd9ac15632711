#include "redwingwheel/kernel.h"

#include <spdlog/spdlog.h>

namespace redwingwheel::kernel {

kernel::~kernel()
{
    while (!this->services.empty()) {
        this->services.pop_back();
    }
}

void kernel::add(std::unique_ptr<service> added)
{
    const std::string name(added->name());
    if (this->contains(name)) {
        throw std::logic_error("service name is already in use: " + name);
    }
    this->by_name.emplace(name, added.get());
    this->services.push_back(std::move(added));
}

bool kernel::contains(std::string_view name) const
{
    return this->by_name.contains(name);
}

service* kernel::lookup(std::string_view name) const
{
    const auto found = this->by_name.find(name);
    if (found == this->by_name.end()) {
        throw std::logic_error("no such service: " + std::string(name));
    }
    return found->second;
}

absl::Status kernel::start()
{
    for (const std::unique_ptr<service>& next : this->services) {
        const absl::Status status = next->start();
        if (!status.ok()) {
            spdlog::error("event=service_start_failed service={} error=\"{}\"", next->name(),
                          status.ToString());
            this->drain_and_stop(boot_clock::now());
            return status;
        }
        ++this->started;
        spdlog::debug("event=service_started service={}", next->name());
    }
    return absl::OkStatus();
}

void kernel::drain_and_stop(steady_time deadline)
{
    for (std::size_t index = this->started; index > 0; --index) {
        this->services[index - 1]->drain(deadline);
    }
    while (this->started > 0) {
        --this->started;
        this->services[this->started]->stop();
    }
}

} // namespace redwingwheel::kernel
