#include "redwingwheel/task_table.h"

#include <algorithm>

namespace redwingwheel::jobs {

task_table::task_table(const task_table& other)
    : count(other.count),
      kept(other.kept == nullptr ? nullptr : std::make_unique<records>(*other.kept))
{
}

task_table& task_table::operator=(const task_table& other)
{
    if (this != &other) {
        *this = task_table(other);
    }
    return *this;
}

const task_record& task_table::operator[](std::uint32_t index) const
{
    static const task_record not_started;
    if (this->kept == nullptr) {
        return not_started;
    }
    const auto own = this->kept->started.find(index);
    if (own != this->kept->started.end()) {
        return own->second;
    }
    const auto after = this->kept->done.upper_bound(index);
    if (after == this->kept->done.begin()) {
        return not_started;
    }
    const done_range& range = std::prev(after)->second;
    return index <= range.last_index ? range.record : not_started;
}

task_record& task_table::open(std::uint32_t index)
{
    return this->own_records().started[index];
}

void task_table::mark_done(std::uint32_t index)
{
    if ((*this)[index].phase == task_phase::done) {
        return;
    }
    const std::uint32_t last_run = (*this)[index].last_run;
    this->own_records().started.erase(index);
    this->add_done(index, index, last_run);
}

void task_table::add_done(std::uint32_t first_index, std::uint32_t last_index,
                          std::uint32_t last_run)
{
    std::map<std::uint32_t, done_range>& done = this->own_records().done;
    auto range = done.upper_bound(first_index);
    const bool extends_earlier = range != done.begin() &&
                                 std::prev(range)->second.last_index + 1 == first_index &&
                                 std::prev(range)->second.record.last_run == last_run;
    if (extends_earlier) {
        range = std::prev(range);
        range->second.last_index = last_index;
    }
    else {
        done_range added;
        added.last_index = last_index;
        added.record.phase = task_phase::done;
        added.record.last_run = last_run;
        range = done.emplace(first_index, std::move(added)).first;
    }
    const auto next = std::next(range);
    if (next != done.end() && next->first == last_index + 1 &&
        next->second.record.last_run == last_run) {
        range->second.last_index = next->second.last_index;
        done.erase(next);
    }
}

const std::map<std::uint32_t, task_record>& task_table::started() const
{
    static const std::map<std::uint32_t, task_record> none;
    return this->kept == nullptr ? none : this->kept->started;
}

std::vector<std::uint32_t> task_table::waiting(std::size_t max_tasks) const
{
    static const std::map<std::uint32_t, done_range> no_range;
    const std::map<std::uint32_t, done_range>& done =
        this->kept == nullptr ? no_range : this->kept->done;
    std::vector<std::uint32_t> found;
    auto own = this->started().begin();
    auto range = done.begin();
    std::uint32_t index = 0;
    while (index < this->count && found.size() < max_tasks) {
        if (range != done.end() && range->first == index) {
            index = range->second.last_index + 1;
            ++range;
            continue;
        }
        const bool has_own = own != this->started().end() && own->first == index;
        if (!has_own || own->second.phase == task_phase::waiting) {
            found.push_back(index);
        }
        if (has_own) {
            ++own;
        }
        ++index;
    }
    return found;
}

std::size_t task_table::record_count() const
{
    return this->kept == nullptr ? 0 : this->kept->started.size() + this->kept->done.size();
}

task_table::records& task_table::own_records()
{
    if (this->kept == nullptr) {
        this->kept = std::make_unique<records>();
    }
    return *this->kept;
}

std::vector<task_table::packed_range> task_table::packed_ranges() const
{
    std::vector<packed_range> packed;
    if (this->kept != nullptr) {
        for (const auto& [first_index, range] : this->kept->done) {
            packed.push_back({first_index, range.last_index, range.record.last_run});
        }
    }
    return packed;
}

void task_table::msgpack_unpack(const msgpack::object& object)
{
    constexpr std::uint32_t packed_fields = 3;
    if (object.type != msgpack::type::ARRAY) {
        throw msgpack::type_error();
    }
    const msgpack::object_array& parts = object.via.array;
    *this = task_table();
    if (parts.size == packed_fields && parts.ptr[0].type == msgpack::type::POSITIVE_INTEGER) {
        this->count = parts.ptr[0].as<std::uint32_t>();
        const std::uint32_t tasks = this->count;
        std::map<std::uint32_t, task_record> own;
        parts.ptr[1].convert(own);
        std::vector<packed_range> done;
        parts.ptr[2].convert(done);
        std::uint32_t next = 0;
        for (const packed_range& each : done) {
            if (each.first_index < next || each.last_index < each.first_index ||
                each.last_index >= tasks) {
                throw msgpack::type_error();
            }
            next = each.last_index + 1;
            this->add_done(each.first_index, each.last_index, each.last_run);
        }
        for (const auto& [index, record] : own) {
            if (index >= tasks || (*this)[index].phase == task_phase::done) {
                throw msgpack::type_error();
            }
        }
        if (!own.empty()) {
            this->own_records().started = std::move(own);
        }
        return;
    }
    this->count = parts.size;
    for (std::uint32_t index = 0; index < parts.size; ++index) {
        task_record record;
        parts.ptr[index].convert(record);
        if (record.phase == task_phase::done) {
            this->add_done(index, index, record.last_run);
        }
        else if (record.last_run > 0) {
            this->open(index) = std::move(record);
        }
    }
}

} // namespace redwingwheel::jobs
