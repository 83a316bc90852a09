#include "domains/silence.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <unordered_set>

namespace nickelramp::domains {

using jobs::Attempt;
using jobs::Job;
using workers::Machine;

namespace {
// A list may be older than the last: by so many lags at the most, and then some.
constexpr double kListLags = 3;
constexpr Millis kListSlack = 2'000;
}  // namespace

void Silence::look(Millis now) {
    for (Index z : domains_.look(now)) {
        const bool zone = z != kNone;
        const Domain& d = domains_.zone(z);
        spdlog::info("{}: {}, {} of {} machines are silent",
                     zone ? "zone " + book_.zones().name(z) : "all zones together",
                     name(zone ? d.sky() : domains_.sky(kNone)), d.silent(), d.up());
        book_.touch();
        if (!domains_.shut(z)) continue;
        for (Machine* m : book_.machines()) {
            if (m->zone == z && m->up) book_.set_shaded(*m, true);
        }
    }
}

std::vector<peers::Status::Lost> Silence::lost_zones(Millis now) const {
    std::vector<peers::Status::Lost> out;
    for (Index z = 0; z < book_.zones().size(); ++z) {
        if (!domains_.shut(z)) continue;
        // The first that were missed had been heard somewhat more than a report before.
        const Millis since = domains_.zone(z).clear_until() - seconds(term_.settings().report_s);
        out.push_back(
            {book_.zones().name(z), static_cast<std::uint64_t>(std::max<Millis>(0, now - since))});
    }
    return out;
}

// Alone it is likelier dead than not. Where many are silent, what is on it may well run on, and
// ends by itself with its lease.
void Silence::give_up(Machine& m, Millis now) {
    Silent s;
    s.stuck = std::any_of(m.attempts.begin(), m.attempts.end(), [this](const Attempt* a) {
        return a->live() && book_.job_of(*a).gang_broken;
    });
    s.firm = m.firm > 0;
    s.lease_until = likely_end(m);
    if (domains_.shut(m.zone)) s.replicas = all_replicas_movable(m);
    const Millis boot = m.type == kNone ? 0 : seconds(book_.types()[m.type].boot_s);
    if (!domains_.give_up(m.zone, s, boot, now)) return;
    if (m.hearing == workers::Hearing::mute && !term_.holder())
        book_.drain(m, "reaches no controller", now);
    else
        book_.give_back(m, "is silent");
}

Millis Silence::heard_by(Index zone, Millis otherwise) const {
    auto lost = lost_since_.find(zone);
    return lost == lost_since_.end() ? otherwise : std::min(otherwise, lost->second);
}

// About when its tasks end by themselves: a lease after its last answered report, or later where a
// deputy may be answering it.
Millis Silence::likely_end(const Machine& m) const {
    const bool deputy =
        m.zone != kNone &&
        std::any_of(term_.settings().peers.begin(), term_.settings().peers.end(),
                    [&](const auto& p) { return p.zone == book_.zones().name(m.zone); });
    return deputy ? deputies_.until(m.lease_until)
                  : m.contact.renewed_at() + seconds(term_.settings().lease_s);
}

// Replicas are on it, and each of them could be started in another zone. One that could not would
// gain nothing by the return: it may come back with its machine and the images there.
bool Silence::all_replicas_movable(const Machine& m) const {
    bool any = false;
    for (const Attempt* a : m.attempts) {
        if (!a->live() || !book_.job_of(*a).service()) continue;
        if (!movable(m, *a)) return false;
        any = true;
    }
    return any;
}

// Might the task be started in another zone?
bool Silence::movable(const Machine& m, const Attempt& a) const {
    const Job& j = book_.job_of(a);
    if (!a.live() || j.zone != kNone || j.state != jobs::JobState::open) return false;
    if (!j.spec.spread || j.spec.tasks < 2) return true;
    const std::vector<std::uint32_t> in_zone = book_.live_by_zone(j);
    for (Index z = 0; z < in_zone.size(); ++z) {
        if (z != m.zone && !domains_.shut(z) && in_zone[z] < (j.spec.tasks + 1) / 2) return true;
    }
    return false;
}

// A machine stays listed until it is gone. One that was listed so long ago that this list is
// certainly of a later moment, and is not in it, has been taken.
void Silence::miss_from_list(const std::vector<wire::Host>& hosts, Millis asked, Millis now) {
    if (book_.silent().empty() && book_.coming().empty()) return;
    std::unordered_set<std::string_view> listed;
    for (const wire::Host& h : hosts) listed.insert(h.id);
    const Millis behind = longer(seconds(kListLags * term_.settings().list_lag_s)) + kListSlack;
    std::vector<Machine*> missing;
    auto look_for = [&](Index i) {
        Machine* m = book_.machine_at(i);
        // One that only a job's record names was there before that was read, if it is there at all.
        // It went under an earlier leader, and its tasks would wait for three leases.
        const bool recorded = m->state == workers::MachineState::booting && !m->attempts.empty();
        const bool long_ago = (m->listed_at != 0 && m->listed_at + behind < asked) ||
                              (recorded && m->hired_at + behind < asked);
        if (long_ago && listed.count(m->name) == 0) missing.push_back(m);
    };
    std::for_each(book_.silent().begin(), book_.silent().end(), look_for);
    // A new leader's first list may show what its predecessor returned: no work is to wait for it.
    for (Index i : book_.coming()) {
        if (book_.silent().count(i) == 0) look_for(i);
    }
    for (Machine* m : missing) {
        spdlog::info("machine {} is not in the cloud's list any more", m->name);
        book_.machine_gone(*m, now);
    }
}

}  // namespace nickelramp::domains
