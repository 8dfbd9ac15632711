#include "redwingwheel/calendar.h"

#include <algorithm>
#include <charconv>

namespace redwingwheel {

namespace {

constexpr int first_year = 1970;

bool has_date_form(std::string_view text)
{
    if (text.size() != 10 || text[4] != '-' || text[7] != '-') {
        return false;
    }
    return std::count_if(text.begin(), text.end(),
                         [](char letter) { return letter >= '0' && letter <= '9'; }) == 8;
}

int number_at(std::string_view text, std::size_t offset, std::size_t digits)
{
    int number = 0;
    std::from_chars(text.data() + offset, text.data() + offset + digits, number);
    return number;
}

} // namespace

std::optional<std::chrono::sys_days> parse_date(std::string_view text)
{
    if (!has_date_form(text)) {
        return std::nullopt;
    }
    const std::chrono::year_month_day date(
        std::chrono::year(number_at(text, 0, 4)),
        std::chrono::month(static_cast<unsigned>(number_at(text, 5, 2))),
        std::chrono::day(static_cast<unsigned>(number_at(text, 8, 2))));
    if (!date.ok() || date.year() < std::chrono::year(first_year)) {
        return std::nullopt;
    }
    return std::chrono::sys_days(date);
}

} // namespace redwingwheel
