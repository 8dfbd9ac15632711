#include "schedule.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>

namespace redwingwheel::load {

namespace {

/// Odd, so that neighbouring seeds and indexes give distinct generator states.
constexpr std::uint64_t seed_stride = 0x9e3779b97f4a7c15U;

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    for (std::size_t end = text.find(separator); end != std::string_view::npos;
         end = text.find(separator, begin)) {
        parts.emplace_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    parts.emplace_back(text.substr(begin));
    return parts;
}

template <typename number_type>
bool read_number(const std::string& text, number_type& value)
{
    const char* const end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc() && result.ptr == end;
}

/// Uniform in (0, 1]; the standard distributions differ between libraries.
double draw_unit(std::mt19937_64& random)
{
    constexpr unsigned dropped_bits = 11;
    return (static_cast<double>(random() >> dropped_bits) + 1.0) * 0x1p-53;
}

} // namespace

std::optional<std::vector<service_load>> parse_mix(std::string_view text)
{
    std::vector<service_load> mix;
    for (const std::string& each : split(text, ',')) {
        const std::vector<std::string> parts = split(each, ':');
        service_load read;
        if (parts.size() != 3 || parts[0].empty() || !read_number(parts[1], read.rate_per_s) ||
            !read_number(parts[2], read.body_bytes)) {
            return std::nullopt;
        }
        read.service = parts[0];
        const bool named = std::any_of(mix.begin(), mix.end(), [&read](const service_load& other) {
            return other.service == read.service;
        });
        if (named || !(read.rate_per_s > 0.0) || read.rate_per_s > max_arrivals ||
            read.body_bytes > max_body_bytes) {
            return std::nullopt;
        }
        mix.push_back(std::move(read));
    }
    return mix;
}

std::vector<arrival> make_schedule(const std::vector<service_load>& mix, double seconds,
                                   std::uint64_t seed)
{
    std::vector<arrival> schedule;
    for (std::size_t index = 0; index < mix.size(); ++index) {
        std::mt19937_64 random(seed + (index + 1) * seed_stride);
        double at_s = -std::log(draw_unit(random)) / mix[index].rate_per_s;
        while (at_s < seconds) {
            const std::chrono::duration<double> offset(at_s);
            schedule.push_back(
                {std::chrono::duration_cast<std::chrono::nanoseconds>(offset), index, 0});
            at_s += -std::log(draw_unit(random)) / mix[index].rate_per_s;
        }
    }
    std::stable_sort(
        schedule.begin(), schedule.end(),
        [](const arrival& left, const arrival& right) { return left.offset < right.offset; });
    for (std::size_t index = 0; index < schedule.size(); ++index) {
        schedule[index].number = index;
    }
    return schedule;
}

std::string make_body(std::uint64_t seed, std::uint64_t number, std::size_t bytes)
{
    constexpr std::string_view letters =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
    constexpr unsigned bits_per_letter = 6;
    constexpr std::size_t letters_per_draw = 10;
    std::minstd_rand mixer(static_cast<std::uint32_t>(seed ^ (seed >> 32U)));
    std::uint64_t state = (std::uint64_t{mixer()} << 32U) + number;
    std::string body(bytes, ' ');
    std::uint64_t drawn = 0;
    for (std::size_t at = 0; at < bytes; ++at) {
        if (at % letters_per_draw == 0) {
            // The finalizer of splitmix64 costs far less than seeding a Mersenne twister per body.
            state += seed_stride;
            drawn = (state ^ (state >> 30U)) * 0xbf58476d1ce4e5b9U;
            drawn = (drawn ^ (drawn >> 27U)) * 0x94d049bb133111ebU;
            drawn ^= drawn >> 31U;
        }
        body[at] = letters[drawn & (letters.size() - 1)];
        drawn >>= bits_per_letter;
    }
    return body;
}

} // namespace redwingwheel::load
