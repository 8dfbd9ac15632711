#pragma once

#include <deque>
#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "redwingwheel/file_log_storage.h"
#include "redwingwheel/replication.h"

namespace redwingwheel::replication::bench {

/// Replicas in one thread on real files and the real clock, with messages handed over in memory.
/// The followers' syncs run one after the other here, so that figures are lower than on separate
/// hosts.
class bench_group {
public:
    bench_group(const std::filesystem::path& folder, std::size_t replica_count,
                const replica_options& options);

    /// Starts the replicas, forms the group when it is empty, and waits for a leader.
    [[nodiscard]] absl::Status start();

    /// Commits `commands` in one flush and waits for the acknowledgements.
    void commit_batch(const std::vector<std::string>& commands);

    /// Packed bytes of all messages to followers so far.
    [[nodiscard]] std::uint64_t bytes_to_followers() const { return this->sent_bytes; }
    [[nodiscard]] std::uint64_t applied_by_leader() const;

private:
    struct node {
        std::unique_ptr<posix_file_system> files;
        std::unique_ptr<file_log_storage> storage;
        std::unique_ptr<replica> log;
        std::string state;
    };

    [[nodiscard]] replica_hooks make_hooks(node& owner);
    /// Delivers messages until none are left.
    void exchange();
    [[nodiscard]] node& leader();

    std::vector<node> nodes;
    std::deque<peer_message> messages;
    std::mt19937_64 generator{1};
    std::uint64_t sent_bytes = 0;
};

} // namespace redwingwheel::replication::bench
