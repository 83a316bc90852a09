#include "schedule/rules.h"

#include <algorithm>

namespace nickelramp::schedule {

using jobs::Attempt;
using jobs::Job;
using jobs::JobState;
using placing::Need;
using workers::Machine;

namespace {
constexpr std::size_t kMostFound = 300;  // machines of a kind, for one job in one pass
}  // namespace

bool Rules::allowed(const Job& j, const Machine& m) const {
    if (m.type == kNone || m.type >= j.allowed_type.size() || j.allowed_type[m.type] == 0)
        return false;
    if (j.zone != kNone && j.zone != m.zone) return false;
    return j.spec.spot || !m.spot;
}

std::uint32_t Rules::room_in_limit(const Job& j) const {
    if (term_.holder()) return j.spec.tasks;  // the leader has set the room aside
    const wire::Team& rule = book_.team_rule(j.team);
    const book::TeamUse& used = book_.team_use(j.team);
    double most = 1e6;
    // A gang needs its part of the limit whole: what comes free is gathered for one that waits
    // long, or small tasks would pass it for ever.
    const Job* gang = book_.gathers(j.team);
    placing::Need kept;
    if (gang != nullptr && gang != &j && j.spec.priority != wire::Priority::production) {
        kept.cpus = gang->spec.cpus * gang->spec.tasks;
        kept.gpus = gang->spec.gpus * gang->spec.tasks;
    }
    if (rule.cpus_max > 0 && j.spec.cpus > 0) {
        const double free = rule.cpus_max - used.cpus - kept.cpus;
        most = std::min(most, (free + placing::kSlack) / j.spec.cpus);
    }
    if (rule.gpus_max > 0 && j.spec.gpus > 0) {
        const double free = rule.gpus_max - used.gpus - kept.gpus;
        most = std::min(most, (free + placing::kSlack) / j.spec.gpus);
    }
    return most <= 0 ? 0 : static_cast<std::uint32_t>(most);
}

bool Rules::within_limit(const Job& j, std::uint32_t tasks) const {
    return room_in_limit(j) >= tasks;
}

bool Rules::dear(const Job& j, Index type, bool spot) {
    return j.spec.shape == wire::Shape::array && j.dearness_of(type, spot) > placing::kDear;
}

bool Rules::left_to_others(const Job& j, Index type) const {
    return j.spec.shape == wire::Shape::array && !j.anywhere && j.best_type != type &&
           outlook_.sole(type);
}

bool Rules::may_get(const Job& j, const Machine& m, const Need& need, Millis now) const {
    if (!m.open() || !allowed(j, m) || now < m.probation_until) return false;
    if (m.reserved_for != kNone && m.reserved_for != j.index && now < m.reserved_until)
        return false;
    return placing::covers(m.cpus_free, m.gpus_free, m.memory_free, need);
}

// What gangs leave of a machine that must be paid for anyway costs nothing; replicas move away from
// it.
bool Rules::leaves_alone(const Job& j, const Machine& m) const {
    if (j.service()) return j.avoids_dear && j.dearness_of(m.type, m.spot) > placing::kDear;
    if (m.gangs > 0) return false;
    return left_to_others(j, m.type);
}

bool Rules::kept_for_replicas(const Job& j, const Machine& m, double kept) const {
    return j.spec.spot && m.counts_for_replicas && outlook_.standing().places <= kept;
}

std::vector<Machine*> Rules::fitting(const Job& j, const Need& need, Millis now) const {
    std::vector<Machine*> out;
    std::size_t found = 0;
    book_.openings().each(
        need,
        [&](const placing::Openings::Kind& kind) {
            found = 0;
            return kind.type < j.allowed_type.size() && j.allowed_type[kind.type] != 0 &&
                   (j.spec.spot || !kind.spot) && (j.zone == kNone || j.zone == kind.zone);
        },
        [&](Index i) {
            Machine* m = book_.machine_at(i);
            // Those that lack memory do not count: behind hundreds of them one with room once
            // stayed unseen.
            if (!may_get(j, *m, need, now)) return true;
            out.push_back(m);
            return ++found < kMostFound;
        });
    return out;
}

bool Rules::may_evict(const Attempt& a, const Job& j) const {
    const Job& victim = book_.job_of(a);
    if (victim.index == j.index || victim.state != JobState::open) return false;
    if (victim.spec.priority < j.spec.priority) return true;
    if (!j.within_guarantee || victim.team == j.team || victim.within_guarantee) return false;
    const wire::Team& rule = book_.team_rule(victim.team);
    const book::TeamUse& used = book_.team_use(victim.team);
    return used.gpus > rule.gpus + placing::kSlack || (rule.gpus <= 0 && used.cpus > rule.cpus);
}

}  // namespace nickelramp::schedule
