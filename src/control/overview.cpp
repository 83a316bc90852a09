// What operators ask: what waits, and why; what is late, or will be.
#include <algorithm>

#include "control/control_loop.h"

namespace nickelramp::control {

namespace {
constexpr std::size_t kMostListed = 200;
}

std::string ControlLoop::waiting_reason(const Job& job, Millis now) const {
    if (now < job.backoff_until) return "held back after failures";
    if (!term_.lease_confirmed(now)) return "the state service does not answer the leader";
    std::uint32_t needs = job.is_gang() ? job.spec.tasks : 1;
    if (placement_rules_.tasks_within_limit(job) < needs) {
        const Job* gang = cluster_.quota_reserved_for(job.team);
        if (gang == nullptr || gang == &job) return "its team is at its limit";
        return "what its team's limit leaves is gathered for " + gang->spec.id;
    }
    std::size_t suited = 0, coming = 0;
    for (const Machine* machine : cluster_.machines()) {
        if (machine->type == kNone || !placement_rules_.allowed(job, *machine)) continue;
        if (machine->accepts_tasks()) ++suited;
        if (machine->state == MachineState::booting || machine->state == MachineState::joining)
            ++coming;
        if (machine->reserved_for == job.index && now < machine->reserved_until)
            return "room is being made for it";
    }
    if (suited == 0 && coming == 0) return "no allowed machine, and the cloud gives none";
    if (coming > 0) return "allowed machines are full, others are coming";
    return "allowed machines are full";
}

wire::Json ControlLoop::overview(Millis now) const {
    wire::Json waiting = wire::Json::array(), late = wire::Json::array(),
               machines = wire::Json::object(), lent = wire::Json::array();
    auto seconds_of = [](Millis t) { return static_cast<double>(t) / 1000.0; };
    for (const auto& [id, j] : cluster_.jobs()) {
        if (j->state != jobs::JobState::open) continue;
        if (j->unplaced_tasks() > 0 && waiting.size() < kMostListed) {
            waiting.push_back({{"id", id},
                               {"class", j->spec.job_class},
                               {"team", j->spec.team},
                               {"tasks", j->unplaced_tasks()},
                               {"for_s", seconds_of(now - j->accepted_at)},
                               {"why", waiting_reason(*j, now)}});
        }
        for (const wire::Objective& objective : term_.settings().objectives) {
            if (objective.job_class != j->spec.job_class || late.size() >= kMostListed) continue;
            Millis due = 0;
            bool wait = objective.kind == wire::Objective::Kind::wait;
            if (wait && j->unplaced_tasks() == 0) continue;
            if (wait || objective.kind == wire::Objective::Kind::finished)
                due = seconds(objective.within_s);
            else if (objective.kind == wire::Objective::Kind::deadline && j->spec.deadline_s) {
                due = seconds(*j->spec.deadline_s * objective.times);
            } else {
                continue;
            }
            Millis left = j->accepted_at + due - now;
            Millis needed = wait                      ? 0
                            : j->unplaced_tasks() > 0 ? seconds(forecast_.expected_run_s(*j))
                                                      : 0;
            if (left > needed) continue;
            late.push_back({{"id", id},
                            {"class", j->spec.job_class},
                            {"objective", wait ? "start" : "finish"},
                            {"within_s", seconds_of(due)},
                            {"left_s", seconds_of(left)},
                            {"why", j->unplaced_tasks() > 0 ? waiting_reason(*j, now)
                                                            : "runs longer than it may"}});
        }
    }
    for (const Machine* machine : cluster_.machines()) {
        const char* state = machines::name(machine->state);
        machines[state] = machines.value(state, 0) + 1;
    }
    for (const auto& [block, l] : shard_allocator_.leases()) {
        lent.push_back({{"block", block},
                        {"holder", l.holder},
                        {"machines", l.capacity.size()},
                        {"jobs", l.jobs}});
    }
    wire::Json under_way = wire::Json::object();
    for (lease::Role role : {lease::Role::scale_out, lease::Role::scale_in})
        under_way[lease::name(role)] = intent_log_.size(role);
    return {{"term", term_.info().number},
            {"confirmed", term_.lease_confirmed(now)},
            {"open_jobs", cluster_.jobs().size()},
            {"machines", machines},
            {"lent", lent},
            {"intents", under_way},
            {"waiting", waiting},
            {"late", late}};
}

}  // namespace nickelramp::control
