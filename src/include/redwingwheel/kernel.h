#pragma once

#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "redwingwheel/clock.h"

/// The micro-kernel: starts and stops services in order and finds them by name.
namespace redwingwheel::kernel {

/// A part of a daemon with a life of its own.
class service {
public:
    service() = default;
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    virtual ~service() = default;

    /// Name under which other parts find the service; unique in the process.
    [[nodiscard]] virtual std::string_view name() const = 0;

    /// Begins work. An error stops the daemon before later services start.
    [[nodiscard]] virtual absl::Status start() = 0;

    /// Takes no new work and returns when the work in progress has ended, at `deadline` at the
    /// latest.
    virtual void drain(steady_time deadline) { static_cast<void>(deadline); }

    /// Ends the service. Called once, after `drain`.
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

    /// Adds a service behind those already added.
    /// Throws std::logic_error when the name is taken.
    void add(std::unique_ptr<service> added);

    /// The service `name` as a `Service`.
    /// Throws std::logic_error when there is none or it has another type.
    template <class Service>
    [[nodiscard]] Service& find(std::string_view name) const
    {
        Service* const found = dynamic_cast<Service*>(this->lookup(name));
        if (found == nullptr) {
            throw std::logic_error("service has another type: " + std::string(name));
        }
        return *found;
    }

    [[nodiscard]] bool contains(std::string_view name) const;

    /// Starts all services in the order in which they were added. On an error the services that
    /// were started are stopped again.
    [[nodiscard]] absl::Status start();

    /// Drains all services, entry side first (reverse order), then stops them in reverse order.
    void drain_and_stop(steady_time deadline);

private:
    [[nodiscard]] service* lookup(std::string_view name) const;

    std::vector<std::unique_ptr<service>> services;
    std::map<std::string, service*, std::less<>> by_name;
    std::size_t started = 0;
};

} // namespace redwingwheel::kernel
