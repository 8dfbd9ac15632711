#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "redwingwheel/clock.h"

/// Which jobs a leader accepts, so that the replicated state stays within the memory of the
/// smallest replica.
namespace redwingwheel {

struct room_options {
    /// Estimated memory that all jobs may take, in bytes.
    std::uint64_t max_bytes = std::uint64_t{24} * 1024 * 1024;
    /// Time in which owners beyond their share could fill the free room once.
    milliseconds refill_time{300'000};
    /// Estimated memory of the jobs that are proposed and not applied yet, in bytes, unless it is a
    /// single one. Leaves most of what a replica may have uncommitted to everything else.
    std::uint64_t max_proposed_bytes = std::uint64_t{8} * 1024 * 1024;
};

/// The default options with a room of so many MiB.
[[nodiscard]] room_options room_of_mb(std::uint32_t megabytes);

/// What the applied state takes, in bytes.
struct room_usage {
    std::function<std::uint64_t()> total;
    std::function<std::uint64_t(const std::string& owner)> of_owner;
    std::function<std::size_t()> owners; ///< Number of owners that take anything.
};

/// Largest estimated size of a job that is ever accepted, in bytes.
[[nodiscard]] std::uint64_t largest_accepted_bytes(const room_options& options);

enum class room_verdict : std::uint8_t {
    accepted,
    too_large,   ///< Takes too large a part of the free room.
    in_progress, ///< Too many jobs are proposed and not applied yet.
    over_share,  ///< Its owner has its share, and takes more room only slowly.
};

[[nodiscard]] std::string_view room_verdict_name(room_verdict verdict);

/// Admission of jobs at the leader. It answers floods of valid jobs, each of which would be served
/// in calm:
/// - A job may take a quarter of the free room, so that large jobs are refused while small ones
///   still find room, and the room is never used up.
/// - In the upper half of the room each owner has an equal share. Beyond it, jobs are accepted as
///   fast as would fill the free room in `refill_time`, which slows down as the room shrinks. Half
///   of that is for jobs that were not submitted with the same content again and again, so that a
///   client that repeats itself does not keep out others of the same queue.
///
/// Jobs that are proposed and not applied yet count as well. The room depends on the replicated
/// state alone, so that it is the same after a change of leader.
class state_room {
public:
    state_room(const room_options& options, clock_function clock, room_usage usage);

    /// Decides on a job of `owner` that takes `bytes`. `content` is a hash of the job, by which
    /// repetitions are recognized. An accepted job counts until `settle`.
    [[nodiscard]] room_verdict admit(const std::string& owner, std::uint64_t content,
                                     std::uint64_t bytes);

    /// The proposal of an accepted job was applied or has failed.
    void settle(const std::string& owner, std::uint64_t bytes);

    /// Forgets the proposals of an earlier term, which were applied or will never be.
    void begin_leadership();

    /// Room that is not taken, in bytes.
    [[nodiscard]] std::uint64_t free_bytes() const;

private:
    [[nodiscard]] std::uint64_t bytes_of(const std::string& owner) const;
    [[nodiscard]] bool take_slowly(std::uint64_t content, std::uint64_t bytes);
    /// Counts a job, and returns true when its content has been frequent lately.
    [[nodiscard]] bool is_frequent(std::uint64_t content, steady_time now);

    room_options options;
    clock_function clock;
    room_usage usage;
    std::map<std::string, std::uint64_t> proposed;
    std::uint64_t all_proposed = 0;
    /// What owners beyond their share may take now, in bytes, and when that was computed. The first
    /// one is for jobs with frequent content, the second one for others.
    std::array<double, 2> allowances{};
    steady_time allowances_at;
    /// How often contents were submitted lately, by some bits of their hash. Halved every second.
    std::array<std::uint8_t, 4096> recent{};
    steady_time next_halving;
};

} // namespace redwingwheel
