#pragma once

#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "redwingwheel/clock.h"

/// The micro-kernel of a daemon: starts and stops its services in order and looks them up by name.
namespace redwingwheel::kernel {

/// A component of a daemon that is started, drained and stopped on its own.
class service {
public:
    service() = default;
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    virtual ~service() = default;

    /// Name under which kernel::find returns the service; unique in the process.
    [[nodiscard]] virtual std::string_view name() const = 0;

    /// Starts the service. On an error no later service is started and the daemon stops.
    [[nodiscard]] virtual absl::Status start() = 0;

    /// Stops accepting new work and returns when the work in progress has ended, at `deadline` at
    /// the latest.
    virtual void drain(steady_time deadline) { static_cast<void>(deadline); }

    /// Stops the service. Called once, after `drain`.
    virtual void stop() = 0;
};

/// Owns the services of a process. The composition root adds them in dependency order; it alone
/// looks services up by name and passes them into constructors.
class kernel {
public:
    kernel() = default;
    ~kernel();
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;

    /// Adds a service, to be started after those already added.
    /// Throws std::logic_error when the name is already in use.
    void add(std::unique_ptr<service> added);

    /// Returns the service called `name`.
    /// Throws std::logic_error when there is none or it is not a `Service`.
    template <class Service>
    [[nodiscard]] Service& find(std::string_view name) const
    {
        Service* const found = dynamic_cast<Service*>(this->lookup(name));
        if (found == nullptr) {
            throw std::logic_error("service does not have the requested type: " +
                                   std::string(name));
        }
        return *found;
    }

    [[nodiscard]] bool contains(std::string_view name) const;

    /// Starts all services in the order in which they were added. On an error the services that
    /// were started are stopped again.
    [[nodiscard]] absl::Status start();

    /// Drains all started services in reverse order, so that those that accept outside work come
    /// first; then stops them in reverse order.
    void drain_and_stop(steady_time deadline);

private:
    [[nodiscard]] service* lookup(std::string_view name) const;

    std::vector<std::unique_ptr<service>> services;
    std::map<std::string, service*, std::less<>> by_name;
    std::size_t started = 0;
};

} // namespace redwingwheel::kernel
