#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "redwingwheel/clock.h"
#include "redwingwheel/errors.h"

namespace redwingwheel::ctl {

enum class client_errc {
    not_reachable = 1, ///< No entry could be connected to; nothing was sent.
    answer_lost,       ///< The call may have taken effect.
};

[[nodiscard]] std::string_view error_layer(client_errc code);
[[nodiscard]] std::string_view error_name(client_errc code);
[[nodiscard]] absl::StatusCode error_category(client_errc code);

/// One call of the HTTP interface.
struct entry_call {
    std::string method = "GET";
    std::string path; ///< With its query.
    std::string body;
    std::string content_type = "application/json";
    std::vector<std::string> headers; ///< "Name: value".
    /// A call that an entry refuses as "not now" goes to the next entry. False for requests,
    /// because the entry has tried the workers already and layers do not retry on top of it.
    bool next_entry_on_503 = true;
};

struct entry_reply {
    int status = 0;
    std::string content_type;
    std::string outcome; ///< Header X-Outcome.
    std::string attempt; ///< Header X-Attempt.
    std::string worker;  ///< Header X-Worker.
    std::string body;
};

/// Sends calls to entries over libcurl. Every call of the interface is safe to repeat, so a call
/// whose answer is lost goes to the next entry, and to all of them once more when none answers.
class entry_client {
public:
    /// `addresses` are IP:port. `token` may be empty.
    entry_client(std::vector<std::string> addresses, std::string_view access_token,
                 clock_function time_source);

    /// Errors: client_errc::not_reachable, client_errc::answer_lost.
    [[nodiscard]] absl::StatusOr<entry_reply> send(const entry_call& call,
                                                   steady_time deadline) const;

private:
    [[nodiscard]] absl::StatusOr<entry_reply>
    send_to(std::string_view address, const entry_call& call, steady_time deadline) const;

    std::vector<std::string> entries;
    std::string token;
    clock_function clock;
};

} // namespace redwingwheel::ctl
