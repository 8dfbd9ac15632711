#include "bench_group.h"

#include <fmt/format.h>

namespace redwingwheel::replication::bench {

namespace {

constexpr milliseconds longest_start{10'000};
/// The state keeps this many values; commands overwrite them in turn.
constexpr std::size_t state_values = 1'000;

} // namespace

bench_group::bench_group(const std::filesystem::path& folder, std::size_t replica_count,
                         const replica_options& options)
    : nodes(replica_count)
{
    for (std::size_t place = 0; place < replica_count; ++place) {
        node& next = this->nodes[place];
        replica_options own = options;
        own.address = fmt::format("127.0.0.{}", place + 1);
        own.data_centre = "bench";
        next.files = std::make_unique<posix_file_system>(folder / own.address);
        next.storage =
            std::make_unique<file_log_storage>(*next.files, [this] { return this->generator(); });
        next.log = std::make_unique<replica>(own, *next.storage, boot_clock_function(),
                                             this->make_hooks(next));
    }
}

replica_hooks bench_group::make_hooks(node& owner)
{
    replica_hooks hooks;
    hooks.send = [this](replica_id, const peer_message& message) {
        if (message.kind == message_kind::append_request) {
            this->sent_bytes += pack(message).size();
        }
        this->messages.push_back(message);
    };
    hooks.apply = [&owner](const log_entry& entry) {
        const std::size_t size = entry.payload.size();
        owner.state.resize(state_values * size);
        owner.state.replace(entry.index.value % state_values * size, size, entry.payload);
    };
    hooks.take_snapshot = [&owner] { return owner.state; };
    hooks.restore_snapshot = [&owner](const snapshot& saved) { owner.state = saved.state; };
    hooks.leadership_changed = [](const leadership&) {};
    hooks.random = [this] { return this->generator(); };
    return hooks;
}

absl::Status bench_group::start()
{
    std::vector<member> members;
    for (node& next : this->nodes) {
        const absl::Status status = next.log->start();
        if (!status.ok()) {
            return status;
        }
        members.push_back({next.log->identity(), {}, "bench", true});
    }
    if (!this->nodes.front().log->has_state()) {
        const absl::Status status = this->nodes.front().log->form_group(members);
        if (!status.ok()) {
            return status;
        }
    }
    const steady_time give_up = boot_clock::now() + longest_start;
    while (!this->leader().log->leads()) {
        if (boot_clock::now() > give_up) {
            return make_error(replication_errc::not_leader, "no leader in time");
        }
        for (node& next : this->nodes) {
            next.log->tick();
        }
        this->exchange();
    }
    return absl::OkStatus();
}

bench_group::node& bench_group::leader()
{
    for (node& next : this->nodes) {
        if (next.log->leads()) {
            return next;
        }
    }
    return this->nodes.front();
}

void bench_group::exchange()
{
    while (!this->messages.empty()) {
        const peer_message message = std::move(this->messages.front());
        this->messages.pop_front();
        for (node& next : this->nodes) {
            if (next.log->identity() == message.to) {
                next.log->receive(message.from, message);
            }
        }
    }
}

void bench_group::commit_batch(const std::vector<std::string>& commands)
{
    std::size_t waiting = commands.size();
    node& leading = this->leader();
    for (const std::string& command : commands) {
        leading.log->propose(command, [&waiting](const absl::StatusOr<log_index>&) { --waiting; });
    }
    leading.log->flush();
    this->exchange();
    while (waiting > 0) {
        for (node& next : this->nodes) {
            next.log->tick();
        }
        this->exchange();
    }
}

std::uint64_t bench_group::applied_by_leader() const
{
    std::uint64_t applied = 0;
    for (const node& next : this->nodes) {
        applied = std::max(applied, next.log->status().last_applied.value);
    }
    return applied;
}

} // namespace redwingwheel::replication::bench
