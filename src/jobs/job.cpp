#include "jobs/job.h"

namespace nickelramp::jobs {

const char* name(JobState state) {
    switch (state) {
        case JobState::open:
            return "open";
        case JobState::cancelled:
            return "cancelled";
        case JobState::finishing:
            return "finishing";
        case JobState::finished:
            return "finished";
    }
    return "?";
}

double Job::relative_cost_of(Index type, bool spot) const {
    if (type >= relative_cost.size()) return 1;
    return spot ? relative_cost[type].spot : relative_cost[type].on_demand;
}

bool Job::is_done(std::uint32_t task) const {
    auto it = chunks.find(task / kChunkTasks);
    return it != chunks.end() && (it->second.done >> (task % kChunkTasks) & 1) != 0;
}

void Job::mark_done(std::uint32_t task) {
    if (is_done(task)) return;
    Chunk& chunk = chunks[task / kChunkTasks];
    chunk.done |= std::uint64_t{1} << (task % kChunkTasks);
    chunk.dirty = true;
    ++completed_tasks;
}

std::uint32_t Job::unplaced_tasks() const {
    if (state != JobState::open || delegated_shard != kNone) return 0;
    if (is_gang()) return live_attempts == 0 && completed_tasks == 0 ? spec.tasks : 0;
    return spec.tasks - next_unstarted_task + static_cast<std::uint32_t>(retry_tasks.size());
}

std::uint32_t Job::placeable_tasks() const {
    const std::uint32_t unplaced = unplaced_tasks();
    if (!on_trial || unplaced == 0) return unplaced;
    if (live_attempts > 0) return 0;
    return is_gang() ? unplaced : 1;
}

}  // namespace nickelramp::jobs
