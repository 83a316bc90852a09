// Reports: what a machine says, and what follows for what may be on it.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/dispatcher.h"

namespace nickelramp::dispatch {

using wire::TaskPhase;

void Dispatcher::set_machine_state(Machine& m, MachineState s) {
    if (m.state == s) return;
    spdlog::debug("machine {}: {} -> {}", m.name, workers::name(m.state), workers::name(s));
    m.set_state(s);
    if (s == MachineState::booting || s == MachineState::joining)
        coming_.insert(m.index);
    else
        coming_.erase(m.index);
    if (s == MachineState::returning)
        returning_.insert(m.index);
    else
        returning_.erase(m.index);
    refresh(m);
    dirty_ = true;
}

// A machine that the book did not have: a late hire, another term's, or one named by a record.
Dispatcher::Machine* Dispatcher::adopt(const std::string& name, Millis now) {
    if (Machine* known = roster_.find(name)) return known;
    Machine* m = roster_.add(name);
    m->hired_at = now;
    m->heard_at = now;
    m->idle_since = now;
    coming_.insert(m->index);
    machine_agenda_.by(m->index, now);
    return m;
}

void Dispatcher::identify(Machine& m, const std::string& address, const std::string& type,
                          const std::string& zone, bool spot) {
    if (!address.empty()) m.address = address;
    if (m.type != kNone || type.empty()) return;
    m.type = type_names_.add(type);
    if (m.type >= types_.size()) {
        types_.resize(m.type + 1);
        types_[m.type].name = type;
    }
    m.zone = zone_names_.add(zone);
    m.spot = spot;
    // Attempts that a record put here may have been counted before the type was known.
    m.cpus_free += types_[m.type].cpus;
    m.gpus_free += types_[m.type].gpus;
    m.memory_free += types_[m.type].memory_gb;
    if (machines_in_.size() <= m.zone) machines_in_.resize(m.zone + 1);
    ++machines_in_[m.zone];
    refresh(m);
}

std::string Dispatcher::kind_of(const Machine& m) const {
    if (m.type == kNone) return "of unknown type";
    return fmt::format("{} {} in {}", m.spot ? "spot" : "ordinary", types_[m.type].name,
                       zone_names_.name(m.zone));
}

// Can a report without the attempt be believed? Not while a start of it may still arrive.
bool Dispatcher::settled(const Attempt& a, const Machine& m) const {
    return m.seen_token > a.token || a.answered_seq != 0 || m.session > a.session;
}

bool Dispatcher::newer_leader(const wire::Report& r) {
    if (blocks::term_of(r.token) <= term_.number) return false;
    if (!deposed_) {
        deposed_ = true;
        outbox_.deposed("machine " + r.machine + " has seen a later term's token");
    }
    return true;
}

void Dispatcher::absorb(Machine& m, const wire::Report& r, Millis now) {
    if (std::tie(r.session, r.seq) <= std::tie(m.session, m.seq)) return;  // an older message
    identify(m, r.address, r.type, r.zone, r.spot);
    bool new_session = m.session != 0 && r.session > m.session;
    m.session = r.session;
    m.seq = r.seq;
    m.seen_token = r.token;
    m.heard_at = now;
    if (m.up_at == 0) m.up_at = now;
    if (m.silent || m.shaded) m.retry_direct_at = now;  // it can be reached again
    set_silent(m, false);
    set_shaded(m, false);
    if (new_session) spdlog::info("machine {} lost its lease and its tasks", m.name);

    std::vector<Attempt*> unseen = m.attempts;
    for (const wire::TaskReport& t : r.tasks) {
        auto it = std::find_if(unseen.begin(), unseen.end(), [&](const Attempt* a) {
            return a->number == t.attempt && a->task == t.task && job_of(*a).spec.id == t.job;
        });
        if (it == unseen.end()) continue;
        Attempt* a = *it;
        unseen.erase(it);
        // What ends here may take other attempts out of the lists.
        if (std::find(m.attempts.begin(), m.attempts.end(), a) == m.attempts.end()) continue;
        see(*a, t, m, now);
    }
    for (Attempt* a : unseen) {
        if (std::find(m.attempts.begin(), m.attempts.end(), a) == m.attempts.end()) continue;
        if (a->state == AttemptState::recording || a->state == AttemptState::recorded) continue;
        if (!settled(*a, m) || r.seq <= a->answered_seq) continue;
        proven_gone(*a, now);
    }
    if (r.notice_s) {
        m.warned_until = now + seconds(*r.notice_s);
        if (m.state == MachineState::ready || m.state == MachineState::joining) {
            spdlog::info("machine {} is taken back in {} s", m.name, *r.notice_s);
            set_machine_state(m, MachineState::draining);
            // Whoever can save does so in time; replicas and the rest go on until the end.
            std::vector<Attempt*> list = m.attempts;
            for (Attempt* a : list) {
                if (std::find(m.attempts.begin(), m.attempts.end(), a) == m.attempts.end())
                    continue;
                drain_attempt(*a, now);
            }
        }
    }
    join(m, now);
    poke(m);  // what waited for its token or for a place to come free
}

void Dispatcher::see(Attempt& a, const wire::TaskReport& t, Machine& m, Millis now) {
    Job& j = job_of(a);
    if (t.phase == TaskPhase::exited) {
        exited(a, t.cause, now);
        return;
    }
    if (!a.live()) return;
    switch (t.phase) {
        case TaskPhase::fetching:
            set_attempt_state(a, AttemptState::fetching, now);
            break;
        case TaskPhase::waiting:
            set_attempt_state(a, AttemptState::waiting, now);
            break;
        case TaskPhase::running:
            set_attempt_state(a, AttemptState::running, now);
            break;
        case TaskPhase::saving:
            set_attempt_state(a, AttemptState::saving, now);
            break;
        case TaskPhase::exited:
            break;
    }
    if (m.type != kNone) {
        placing::touch_image(m, types_[m.type], j.image, j.spec.image_gb,
                             t.phase != TaskPhase::fetching, now);
    }
    if (a.running_since != 0 && now - a.running_since > 5000 && !m.failed_jobs.empty() &&
        j.failed_on.empty()) {
        m.failed_jobs.clear();  // it runs tasks after all
        m.probation_until = 0;
    }
}

// A machine may be given tasks once its grant is recorded and it has confirmed the token.
void Dispatcher::join(Machine& m, Millis now) {
    if (m.state == MachineState::booting && m.up_at != 0) {
        set_machine_state(m, MachineState::joining);
        m.idle_since = now;
        spdlog::info("machine {} ({}) is up after {:.1f} s", m.name, kind_of(m),
                     static_cast<double>(now - m.hired_at) / 1000.0);
    }
    if (m.state == MachineState::joining && m.type != kNone && !m.granted) {
        ledger_.add({m.name, m.address, types_[m.type].name, zone_names_.name(m.zone), m.spot});
        m.token = std::max(m.token, ledger_.token_of(m.name));
    }
    if (m.state == MachineState::joining && m.granted && !m.unread) {
        if (m.confirmed()) {
            set_machine_state(m, MachineState::ready);
        } else {
            m.wants_confirm = true;
            poke(m);
        }
    }
}

CheckinAnswer Dispatcher::on_checkin(const wire::Report& r, Millis now) {
    if (newer_leader(r)) return {421, "", 0, {}};
    if (deposed_ || !started_ || roster_.buried(r.machine)) return {503, "", 0, {}};
    if (role_ == Role::holder && roster_.find(r.machine) == nullptr) return {421, "", 0, {}};
    Machine* m = adopt(r.machine, now);
    if (m->state == MachineState::lent) {
        auto lease = std::find_if(leases_.begin(), leases_.end(), [&](const auto& l) {
            return std::any_of(l.second.room.begin(), l.second.room.end(),
                               [&](const Room& x) { return x.machine == m->index; });
        });
        if (lease != leases_.end() && lease->second.state == LeaseState::granted) {
            return {421, lease->second.holder, 0, {}};
        }
        return {503, "", 0, {}};  // nobody's for a moment
    }
    absorb(*m, r, now);
    CheckinAnswer out;
    if (m->token == 0) {
        // Not granted yet: it may hold an earlier term's token, so it gets one of this term's.
        m->token = blocks::term_token(term_.number);
    }
    if (m->token < r.token) return {role_ == Role::holder ? 421 : 503, "", 0, {}};
    m->lease_until = std::max(m->lease_until, now + longer(seconds(settings_.lease_s)) + 500);
    out.token = m->token;
    out.commands = standing_commands(*m);
    stray_commands(*m, r, out.commands);
    flush_poked(now);
    if (dirty_ && now >= next_pass_) schedule(now);
    return out;
}

}  // namespace nickelramp::dispatch
