// Machines that say nothing: one by one, and many at once.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <unordered_set>

#include "dispatch/dispatcher.h"

namespace nickelramp::dispatch {

namespace {
// A list may be older than the last: by so many lags at the most, and then some.
constexpr double kListLags = 3;
constexpr Millis kListSlack = 2'000;
}  // namespace

void Dispatcher::set_silent(Machine& m, bool silent) {
    if (silent == m.silent) return;
    m.silent = silent;
    domains_.count(m.zone, 0, silent ? 1 : -1);
    if (silent)
        silent_.insert(m.index);
    else
        silent_.erase(m.index);
    refresh(m);
    dirty_ = true;
}

// In a zone that goes dark nothing is placed on machines that are not heard again.
void Dispatcher::set_shaded(Machine& m, bool shaded) {
    if (shaded == m.shaded) return;
    m.shaded = shaded;
    refresh(m);
    dirty_ = true;
}

void Dispatcher::look_at_domains(Millis now) {
    for (Index z : domains_.look(now)) {
        const bool zone = z != kNone;
        const domains::Domain& d = domains_.zone(z);
        spdlog::info("{}: {}, {} of {} machines are silent",
                     zone ? "zone " + zone_names_.name(z) : "all zones together",
                     domains::name(zone ? d.sky() : domains_.sky(kNone)), d.silent(), d.up());
        dirty_ = true;
        if (!domains_.shut(z)) continue;
        for (Machine* m : roster_.all()) {
            if (m->zone == z && m->up) set_shaded(*m, true);
        }
    }
}

std::vector<peers::Status::Lost> Dispatcher::lost_zones(Millis now) const {
    std::vector<peers::Status::Lost> out;
    for (Index z = 0; z < zone_names_.size(); ++z) {
        if (!domains_.shut(z)) continue;
        // The first that were missed had been heard somewhat more than a report before.
        const Millis since = domains_.zone(z).clear_until() - seconds(settings_.report_s);
        out.push_back(
            {zone_names_.name(z), static_cast<std::uint64_t>(std::max<Millis>(0, now - since))});
    }
    return out;
}

// Alone it is likelier dead than not. Where many are silent, what is on it may well run on, and
// ends by itself with its lease.
void Dispatcher::give_up_silent(Machine& m, Millis now) {
    domains::Silent s;
    s.stuck = std::any_of(m.attempts.begin(), m.attempts.end(),
                          [this](const Attempt* a) { return a->live() && job_of(*a).gang_broken; });
    s.firm = m.firm > 0;
    s.lease_until = likely_end(m);
    if (domains_.shut(m.zone)) {
        for (const Attempt* a : m.attempts) {
            bool& kind = job_of(*a).service() ? s.replicas : s.others;
            kind = kind || movable(m, *a);
        }
    }
    const Millis boot = m.type == kNone ? 0 : seconds(types_[m.type].boot_s);
    if (domains_.give_up(m.zone, s, boot, now)) return_machine(m, "is silent");
}

// About when its tasks end by themselves: a lease after its last report, or later where a deputy
// may be answering it.
Millis Dispatcher::likely_end(const Machine& m) const {
    const bool deputy =
        m.zone != kNone &&
        std::any_of(settings_.peers.begin(), settings_.peers.end(),
                    [&](const auto& p) { return p.zone == zone_names_.name(m.zone); });
    return deputy ? deputies_.until(m.lease_until) : m.heard_at + seconds(settings_.lease_s);
}

// Might the task be started in another zone?
bool Dispatcher::movable(const Machine& m, const Attempt& a) {
    const Job& j = job_of(a);
    if (!a.live() || j.zone != kNone || j.state != jobs::JobState::open) return false;
    if (!j.spec.spread || j.spec.tasks < 2) return true;
    const std::vector<std::uint32_t> in_zone = live_by_zone(j);
    for (Index z = 0; z < in_zone.size(); ++z) {
        if (z != m.zone && !domains_.shut(z) && in_zone[z] < (j.spec.tasks + 1) / 2) return true;
    }
    return false;
}

// A machine stays listed until it is gone. One that was listed so long ago that this list is
// certainly of a later moment, and is not in it, has been taken.
void Dispatcher::miss_from_list(const std::vector<wire::Host>& hosts, Millis asked, Millis now) {
    if (silent_.empty()) return;
    std::unordered_set<std::string_view> listed;
    for (const wire::Host& h : hosts) listed.insert(h.id);
    const Millis behind = longer(seconds(kListLags * settings_.list_lag_s)) + kListSlack;
    std::vector<Machine*> missing;
    for (Index i : silent_) {
        Machine* m = roster_.at(i);
        if (m->listed_at != 0 && m->listed_at + behind < asked && listed.count(m->name) == 0) {
            missing.push_back(m);
        }
    }
    for (Machine* m : missing) {
        spdlog::info("machine {} is not in the cloud's list any more", m->name);
        machine_gone(*m, now);
    }
}

}  // namespace nickelramp::dispatch
