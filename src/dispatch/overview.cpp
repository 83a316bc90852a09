// What operators ask: what waits, and why; what is late, or will be.
#include <algorithm>

#include "dispatch/dispatcher.h"

namespace nickelramp::dispatch {

namespace {
constexpr std::size_t kMostListed = 200;
}

std::string Dispatcher::why_waiting(const Job& j, Millis now) const {
    if (now < j.hold_until) return "held back after failures";
    if (!term_.confirmed(now)) return "the state service does not answer the leader";
    std::uint32_t needs = j.gang() ? j.spec.tasks : 1;
    if (rules_.room_in_limit(j) < needs) {
        const Job* gang = book_.gathers(j.team);
        if (gang == nullptr || gang == &j) return "its team is at its limit";
        return "what its team's limit leaves is gathered for " + gang->spec.id;
    }
    std::size_t suited = 0, coming = 0;
    for (const Machine* m : book_.machines()) {
        if (m->type == kNone || !rules_.allowed(j, *m)) continue;
        if (m->open()) ++suited;
        if (m->state == MachineState::booting || m->state == MachineState::joining) ++coming;
        if (m->reserved_for == j.index && now < m->reserved_until)
            return "room is being made for it";
    }
    if (suited == 0 && coming == 0) return "no allowed machine, and the cloud gives none";
    if (coming > 0) return "allowed machines are full, others are coming";
    return "allowed machines are full";
}

wire::Json Dispatcher::overview(Millis now) const {
    wire::Json waiting = wire::Json::array(), late = wire::Json::array(),
               machines = wire::Json::object(), lent = wire::Json::array();
    auto seconds_of = [](Millis t) { return static_cast<double>(t) / 1000.0; };
    for (const auto& [id, j] : book_.jobs()) {
        if (j->state != jobs::JobState::open) continue;
        if (j->unstarted() > 0 && waiting.size() < kMostListed) {
            waiting.push_back({{"id", id},
                               {"class", j->spec.job_class},
                               {"team", j->spec.team},
                               {"tasks", j->unstarted()},
                               {"for_s", seconds_of(now - j->accepted_at)},
                               {"why", why_waiting(*j, now)}});
        }
        for (const wire::Objective& o : term_.settings().objectives) {
            if (o.job_class != j->spec.job_class || late.size() >= kMostListed) continue;
            Millis due = 0;
            bool wait = o.kind == wire::Objective::Kind::wait;
            if (wait && j->unstarted() == 0) continue;
            if (wait || o.kind == wire::Objective::Kind::finished)
                due = seconds(o.within_s);
            else if (o.kind == wire::Objective::Kind::deadline && j->spec.deadline_s) {
                due = seconds(*j->spec.deadline_s * o.times);
            } else {
                continue;
            }
            Millis left = j->accepted_at + due - now;
            Millis needed = wait                 ? 0
                            : j->unstarted() > 0 ? seconds(outlook_.expected_run_s(*j))
                                                 : 0;
            if (left > needed) continue;
            late.push_back(
                {{"id", id},
                 {"class", j->spec.job_class},
                 {"objective", wait ? "start" : "finish"},
                 {"within_s", seconds_of(due)},
                 {"left_s", seconds_of(left)},
                 {"why", j->unstarted() > 0 ? why_waiting(*j, now) : "runs longer than it may"}});
        }
    }
    for (const Machine* m : book_.machines()) {
        const char* state = workers::name(m->state);
        machines[state] = machines.value(state, 0) + 1;
    }
    for (const auto& [block, l] : lender_.leases()) {
        lent.push_back({{"block", block},
                        {"holder", l.holder},
                        {"machines", l.room.size()},
                        {"jobs", l.jobs}});
    }
    wire::Json under_way = wire::Json::object();
    for (duties::Duty d : {duties::Duty::renting, duties::Duty::returning})
        under_way[duties::name(d)] = intents_.size(d);
    return {{"term", term_.info().number},
            {"confirmed", term_.confirmed(now)},
            {"open_jobs", book_.jobs().size()},
            {"machines", machines},
            {"lent", lent},
            {"intents", under_way},
            {"waiting", waiting},
            {"late", late}};
}

}  // namespace nickelramp::dispatch
