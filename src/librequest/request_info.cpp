#include "redwingwheel/request_info.h"

namespace redwingwheel::request {

std::string_view to_string(request_class priority)
{
    switch (priority) {
    case request_class::interactive:
        return "interactive";
    case request_class::standard:
        return "standard";
    case request_class::batch:
        return "batch";
    }
    return "invalid";
}

} // namespace redwingwheel::request
