#include "redwingwheel/descriptor_limit.h"

#include <algorithm>

#include <sys/resource.h>

namespace redwingwheel {

std::size_t connections_within(std::size_t configured, double share)
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return configured;
    }
    const double shared = share * static_cast<double>(limit.rlim_cur);
    return std::max<std::size_t>(1, std::min(configured, static_cast<std::size_t>(shared)));
}

} // namespace redwingwheel
