#include "memory_log.h"

#include <cassert>

namespace redwingwheel::replication {

log_position memory_log::last() const
{
    if (this->entries.empty()) {
        return this->base_position;
    }
    return {this->entries.back().index, this->entries.back().term};
}

std::optional<term_number> memory_log::term_at(log_index index) const
{
    if (index == this->base_position.index) {
        return this->base_position.term;
    }
    if (index < this->base_position.index || index > this->last().index) {
        return std::nullopt;
    }
    return this->at(index).term;
}

const log_entry& memory_log::at(log_index index) const
{
    assert(index > this->base_position.index && index <= this->last().index);
    return this->entries[index.value - this->base_position.index.value - 1];
}

std::vector<log_entry> memory_log::slice(log_index first, std::size_t max_bytes) const
{
    std::vector<log_entry> selected;
    std::size_t bytes = 0;
    for (log_index next = first; next <= this->last().index; next = next + 1) {
        const log_entry& entry = this->at(next);
        bytes += entry.payload.size();
        if (!selected.empty() && bytes > max_bytes) {
            break;
        }
        selected.push_back(entry);
    }
    return selected;
}

log_index memory_log::first_index_with_term(log_index index) const
{
    const term_number term = this->at(index).term;
    while (index > this->base_position.index + 1 && this->at(index - 1).term == term) {
        index = index - 1;
    }
    return index;
}

std::size_t memory_log::bytes_after(log_index index) const
{
    if (index >= this->last().index) {
        return 0;
    }
    const std::uint64_t end = this->end_offsets.back();
    if (index <= this->base_position.index) {
        return end - this->end_offsets.front() + this->entries.front().payload.size();
    }
    return end - this->end_offsets[index.value - this->base_position.index.value - 1];
}

log_index memory_log::first_within(std::size_t max_bytes) const
{
    log_index first = this->last().index + 1;
    std::size_t bytes = 0;
    for (auto entry = this->entries.rbegin(); entry != this->entries.rend(); ++entry) {
        bytes += entry->payload.size();
        if (bytes > max_bytes) {
            break;
        }
        first = entry->index;
    }
    return first;
}

void memory_log::append(log_entry entry)
{
    assert(entry.index == this->last().index + 1);
    const std::uint64_t start = this->end_offsets.empty() ? 0 : this->end_offsets.back();
    this->end_offsets.push_back(start + entry.payload.size());
    this->entries.push_back(std::move(entry));
}

void memory_log::truncate_from(log_index first)
{
    while (!this->entries.empty() && this->entries.back().index >= first) {
        this->entries.pop_back();
        this->end_offsets.pop_back();
    }
}

void memory_log::drop_through(log_index index)
{
    while (!this->entries.empty() && this->entries.front().index <= index) {
        this->base_position = {this->entries.front().index, this->entries.front().term};
        this->entries.pop_front();
        this->end_offsets.pop_front();
    }
}

void memory_log::reset(log_position position)
{
    this->entries.clear();
    this->end_offsets.clear();
    this->base_position = position;
}

} // namespace redwingwheel::replication
