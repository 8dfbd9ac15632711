#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "redwingwheel/job_model.h"

namespace redwingwheel::jobs {

/// Issues the fencing tokens with which supervisors give orders to their workers. A worker does
/// nothing for an order with a lower token than the highest that it has seen. Each process of a
/// supervisor gets a token of its own for each incarnation of its worker, higher than all tokens
/// issued to that supervisor before. Orders of earlier processes, for earlier incarnations with the
/// same id and of earlier leaders thus have no effect once the worker has seen the new token,
/// however long they are in transit.
class fencing_tokens {
public:
    /// Forgets all tokens. Those of the new term are higher than those of all earlier ones.
    void begin_term(std::uint64_t term);

    /// Returns the token of a supervisor's process for an incarnation of its worker: a new one,
    /// unless the last token of the supervisor was issued for the same arguments.
    std::uint64_t issue(std::string_view supervisor, std::uint64_t process,
                        const worker_incarnation& worker);

    /// Accepts a report of a process on an incarnation that listed its runs under `token`. False
    /// when the token was not issued in this term to this process for this incarnation, or when a
    /// report with a higher token or a later one of the same token has been accepted: the report is
    /// outdated.
    [[nodiscard]] bool accept_report(std::string_view supervisor, std::uint64_t process,
                                     std::uint64_t sequence, const worker_incarnation& worker,
                                     std::uint64_t token);

private:
    struct issued_tokens {
        std::uint64_t process = 0;
        std::uint64_t last_ordinal = 0;
        /// Of the last accepted report.
        std::uint64_t reported_token = 0;
        std::uint64_t reported_sequence = 0;
        std::map<worker_incarnation, std::uint64_t> by_incarnation;
    };

    std::uint64_t term = 0;
    std::map<std::string, issued_tokens, std::less<>> by_supervisor;
};

} // namespace redwingwheel::jobs
