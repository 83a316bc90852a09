// Reports: what a machine says, and what follows for what may be on it.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/dispatcher.h"

namespace nickelramp::dispatch {

using wire::TaskPhase;

void Dispatcher::absorb(Machine& m, const wire::Report& r, Millis now) {
    if (std::tie(r.session, r.seq) <= std::tie(m.session, m.seq)) return;  // an older message
    book_.identify(m, r.address, r.type, r.zone, r.spot);
    bool new_session = m.session != 0 && r.session > m.session;
    m.session = r.session;
    m.seq = r.seq;
    m.seen_token = r.token;
    m.heard_at = now;
    if (m.up_at == 0) m.up_at = now;
    if (m.silent || m.shaded) m.retry_direct_at = now;  // it can be reached again
    book_.set_silent(m, false);
    book_.set_shaded(m, false);
    if (new_session) spdlog::info("machine {} lost its lease and its tasks", m.name);

    std::vector<Attempt*> unseen = m.attempts;
    for (const wire::TaskReport& t : r.tasks) {
        auto it = std::find_if(unseen.begin(), unseen.end(), [&](const Attempt* a) {
            return a->number == t.attempt && a->task == t.task && book_.job_of(*a).spec.id == t.job;
        });
        if (it == unseen.end()) continue;
        Attempt* a = *it;
        unseen.erase(it);
        // What ends here may take other attempts out of the lists.
        if (std::find(m.attempts.begin(), m.attempts.end(), a) == m.attempts.end()) continue;
        book_.see(*a, t, m, now);
    }
    for (Attempt* a : unseen) {
        if (std::find(m.attempts.begin(), m.attempts.end(), a) == m.attempts.end()) continue;
        if (a->state == AttemptState::recording || a->state == AttemptState::recorded) continue;
        if (!book::Book::settled(*a, m) || r.seq <= a->answered_seq) continue;
        book_.proven_gone(*a, now);
    }
    if (r.notice_s) {
        m.warned_until = now + seconds(*r.notice_s);
        if (m.state == MachineState::ready || m.state == MachineState::joining) {
            spdlog::info("machine {} is taken back in {} s", m.name, *r.notice_s);
            book_.set_machine_state(m, MachineState::draining);
            // Whoever can save does so in time; replicas and the rest go on until the end.
            std::vector<Attempt*> list = m.attempts;
            for (Attempt* a : list) {
                if (std::find(m.attempts.begin(), m.attempts.end(), a) == m.attempts.end())
                    continue;
                book_.drain_attempt(*a, now);
            }
        }
    }
    join(m, now);
    courier_.poke(m);  // what waited for its token or for a place to come free
}

// A machine may be given tasks once its grant is recorded and it has confirmed the token.
void Dispatcher::join(Machine& m, Millis now) {
    if (m.state == MachineState::booting && m.up_at != 0) {
        book_.set_machine_state(m, MachineState::joining);
        m.idle_since = now;
        spdlog::info("machine {} ({}) is up after {:.1f} s", m.name, book_.kind_of(m),
                     static_cast<double>(now - m.hired_at) / 1000.0);
    }
    if (m.state == MachineState::joining && m.type != kNone && !m.granted) {
        grants_.ledger().add(
            {m.name, m.address, book_.types()[m.type].name, book_.zones().name(m.zone), m.spot});
        m.token = std::max(m.token, grants_.ledger().token_of(m.name));
    }
    if (m.state == MachineState::joining && m.granted && !m.unread) {
        if (m.confirmed()) {
            book_.set_machine_state(m, MachineState::ready);
        } else {
            m.wants_confirm = true;
            courier_.poke(m);
        }
    }
}

CheckinAnswer Dispatcher::on_checkin(const wire::Report& r, Millis now) {
    if (term_.outranked(r)) return {421, "", 0, {}};
    if (term_.over() || !started_ || book_.buried(r.machine)) return {503, "", 0, {}};
    if (term_.holder() && book_.machine(r.machine) == nullptr) return {421, "", 0, {}};
    Machine* m = book_.adopt(r.machine, now);
    if (m->state == MachineState::lent) {
        std::string holder = lender_.holder_of(m->index);
        if (!holder.empty()) return {421, holder, 0, {}};
        return {503, "", 0, {}};  // nobody's for a moment
    }
    absorb(*m, r, now);
    CheckinAnswer out;
    if (m->token == 0) {
        // Not granted yet: it may hold an earlier term's token, so it gets one of this term's.
        m->token = blocks::term_token(term_.info().number);
    }
    if (m->token < r.token) return {term_.holder() ? 421 : 503, "", 0, {}};
    m->lease_until =
        std::max(m->lease_until, now + longer(seconds(term_.settings().lease_s)) + 500);
    out.token = m->token;
    out.commands = courier_.commands_for(*m, r);
    courier_.flush(now);
    settle(now);
    return out;
}

}  // namespace nickelramp::dispatch
