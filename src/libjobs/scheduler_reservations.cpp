#include "redwingwheel/scheduler.h"

#include "scheduler_round.h"

/// Room that is kept for a step while others are being stopped for it, or end by themselves.
namespace redwingwheel::jobs {

bool scheduler::holds_reservation(const round& now, const candidate& next) const
{
    const auto held = this->reservations.find(next.id());
    return held != this->reservations.end() &&
           now.now < held->second.made + this->options.reservation_life;
}

void scheduler::make_reservation(round& now, const candidate& next, const eviction_plan& plan)
{
    this->drop_reservation(now, next.id());
    reservation made;
    made.made = now.now;
    made.per_task = next.definition().per_task;
    made.rank = next.rank;
    for (const std::size_t place : plan.places) {
        made.places.push_back(now.ids[place]);
    }
    now.held.push_back({next.id(), made.rank, made.per_task, plan.places});
    this->reservations[next.id()] = std::move(made);
}

void scheduler::drop_reservation(round& now, const task_id& owner)
{
    this->reservations.erase(owner);
    std::erase_if(now.held, [&owner](const held_room& each) { return each.owner == owner; });
}

void scheduler::picture_reservations(round& now) const
{
    std::map<worker_incarnation, std::size_t> positions;
    for (std::size_t each = 0; each < now.ids.size(); ++each) {
        positions[now.ids[each]] = each;
    }
    for (const auto& [owner, made] : this->reservations) {
        const job_record* const job = this->state.find(owner.job);
        if (now.now >= made.made + this->options.reservation_life || job == nullptr ||
            job->ended()) {
            continue;
        }
        held_room held{owner, made.rank, made.per_task, {}};
        for (const worker_incarnation& worker : made.places) {
            const auto found = positions.find(worker);
            if (found != positions.end()) {
                held.places.push_back(found->second);
            }
        }
        now.held.push_back(std::move(held));
    }
}

void scheduler::withhold(round& now, const candidate& next)
{
    each_withheld(now, next, [](resources& room, const resources& each) { room -= each; });
}

void scheduler::give_back(round& now, const candidate& next)
{
    each_withheld(now, next, [](resources& room, const resources& each) { room += each; });
}

void scheduler::each_withheld(round& now, const candidate& next,
                              const std::function<void(resources&, const resources&)>& change)
{
    for (const held_room& held : now.held) {
        if (held.owner != next.id() && held.rank <= next.rank) {
            for (const std::size_t place : held.places) {
                change(now.rooms[place].room, held.per_task);
            }
        }
    }
}

} // namespace redwingwheel::jobs
