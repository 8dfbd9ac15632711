#pragma once

#include <boost/asio/basic_waitable_timer.hpp>

#include "redwingwheel/clock.h"

namespace redwingwheel {

/// Asio timer on boot_clock; its expiry is a steady_time.
using boot_timer = boost::asio::basic_waitable_timer<boot_clock>;

} // namespace redwingwheel
