#include "sharing/lender.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "peers/standing.h"

namespace nickelramp::sharing {

using jobs::Job;
using jobs::JobState;
using placing::Need;
using workers::Machine;
using workers::MachineState;

namespace {
constexpr Millis kLease = 4'000;
constexpr Millis kIdleLease = 8'000;
// A block is taken back when its holder has not named a job that it was given for so long (no grant
// comes to it), or when others found no place meanwhile. That is done within as long again.
constexpr Millis kTakenWithin = jobs::kMostHeld / 2;
constexpr Millis kShareEvery = 500;
constexpr std::size_t kMostJobs = 40;  // lent with one block

// Sets room aside for as many of the tasks left as fit.
template <typename Room>
void take_room(Room& r, const Need& need, std::uint32_t& left) {
    while (left > 0 && placing::covers(r.cpus, r.gpus, r.memory_gb, need)) {
        r.cpus -= need.cpus;
        r.gpus -= need.gpus;
        r.memory_gb -= need.memory_gb;
        --left;
    }
}
}  // namespace

void Lender::peer_heard(const peers::Status& s, Millis now) {
    peers_[s.from] = {s.incarnation, s.clock_ms, s.state_age_ms < peers::kServedLately, now};
}

const char* name(LeaseState s) {
    static const char* names[] = {"wanted", "granted", "ending", "reclaimed", "reading"};
    return names[static_cast<int>(s)];
}

void Lender::set_lease_state(std::uint32_t block, Lease& l, LeaseState s) {
    spdlog::info("block {} of {}: {} -> {}", block, l.holder, name(l.state), name(s));
    l.state = s;
}

// Lends each healthy peer a block of empty machines of one zone.
void Lender::share_machines(Millis now) {
    const auto share = static_cast<std::size_t>(term_.options().lent_machines);
    if (share == 0 || !term_.confirmed(now) || grants_.in_flight() || starving_ ||
        now < next_share_)
        return;
    next_share_ = now + kShareEvery;
    for (const auto& [name, peer] : peers_) {
        if (!peer.healthy || now - peer.heard_at > peers::kPeerFresh) continue;
        bool has = std::any_of(leases_.begin(), leases_.end(),
                               [&](const auto& l) { return l.second.holder == name; });
        if (has) continue;
        std::map<Index, std::vector<Machine*>> by_zone;
        for (const wire::MachineType& t : book_.types()) {
            const Index type = book_.type_names().find(t.name);
            const bool enough =
                outlook_.demand_of(type).spare > outlook_.spare_wanted(type, now) + share;
            book_.openings().each(
                {t.cpus, t.gpus, t.memory_gb}, [&](const auto& kind) { return kind.type == type; },
                [&](Index i) {
                    Machine* m = book_.machine_at(i);
                    if (m->attempts.empty() && m->granted && m->reserved_for == kNone &&
                        !m->direct_in_flight && (m->spot || enough) && now >= m->probation_until &&
                        m->confirmed()) {
                        by_zone[m->zone].push_back(m);
                    }
                    return by_zone[m->zone].size() < share;
                });
        }
        for (auto& [zone, list] : by_zone) {
            if (list.size() < share) continue;
            list.resize(share);
            std::vector<std::string> names;
            for (Machine* m : list) names.push_back(m->name);
            std::uint32_t block = grants_.ledger().lend(names, name);
            Lease& l = leases_[block];
            l.holder = name;
            l.incarnation = peer.incarnation;
            l.idle_since = now;
            for (Machine* m : list) {
                const wire::MachineType& t = book_.types()[m->type];
                l.room.push_back({m->index, t.cpus, t.gpus, t.memory_gb});
                m->token = grants_.ledger().block(block).token;
                m->granted = false;
                book_.set_machine_state(*m, MachineState::lent);
            }
            spdlog::info("lending {} machines to {} as block {}", list.size(), name, block);
            grants_.commit(now);
            return;
        }
    }
}

void Lender::block_recorded(std::uint32_t block, Millis now) {
    auto it = leases_.find(block);
    if (it == leases_.end()) return;
    Lease& l = it->second;
    if (l.state == LeaseState::wanted) {
        set_lease_state(block, l, LeaseState::granted);
        l.over_at = l.said_at = now;
        return;
    }
    if (l.state != LeaseState::reclaimed) return;
    // The holder's transactions fail from here on: what its records say now is what can be.
    // Its machines seem empty until then: they were once returned as idle, or lent again.
    set_lease_state(block, l, LeaseState::reading);
    std::erase_if(l.jobs, [this](const std::string& id) { return book_.job(id) == nullptr; });
    for (const std::string& id : l.jobs) take_job_back(*book_.job(id));
    finish_reading(block);
}

void Lender::finish_reading(std::uint32_t block) {
    auto it = leases_.find(block);
    if (it == leases_.end() || it->second.state != LeaseState::reading) return;
    if (!it->second.jobs.empty()) return;
    for (const Room& r : it->second.room) {
        Machine* m = book_.machine_at(r.machine);
        if (m == nullptr) continue;
        m->unread = false;
        m->wants_confirm = true;  // its answer makes it ready
        turn_.has_commands(*m);
    }
    leases_.erase(it);
}

// Gives a job whole to a holder that has room for all of it.
bool Lender::lend_job(Job& j, Millis now) {
    if (term_.holder() || leases_.empty() || !j.attempts.empty() || j.commit_in_flight)
        return false;
    if (j.unstarted() != j.spec.tasks || !rules_.within_limit(j, j.spec.tasks)) return false;
    // Replicas stay: they would keep a block from ever being empty.
    if (j.service()) return false;
    if (j.spec.spread && j.spec.tasks > 1) return false;  // a block is of one zone
    // Records of earlier attempts may name machines that the holder does not have.
    if (!j.chunks.empty() || j.gang_attempt != 0) return false;
    for (auto& [block, l] : leases_) {
        auto peer = peers_.find(l.holder);
        if (l.state != LeaseState::granted || l.jobs.size() >= kMostJobs) continue;
        if (peer == peers_.end() || now - peer->second.heard_at > peers::kPeerFresh) continue;
        Need need = placing::need_of(j);
        auto room = l.room;
        std::uint32_t left = j.spec.tasks;
        for (Room& r : room) {
            Machine* m = book_.machine_at(r.machine);
            if (m != nullptr && rules_.allowed(j, *m)) take_room(r, need, left);
        }
        if (left > 0) continue;
        l.room = room;
        l.jobs.push_back(j.spec.id);
        book_.lend(j, block);
        j.lent_named_at = now;
        spdlog::debug("job {} goes to {} with block {}", j.spec.id, l.holder, block);
        return true;
    }
    return false;
}

// The holder has it no more: what was set aside for it is free.
void Lender::job_left(Job& j) {
    auto it = leases_.find(j.lent_to);
    book_.unlend(j);
    if (it == leases_.end()) return;
    Lease& l = it->second;
    std::erase(l.jobs, j.spec.id);
    // Packs the rest anew; what holders do within is theirs.
    for (Room& r : l.room) {
        Machine* m = book_.machine_at(r.machine);
        if (m == nullptr) continue;
        const wire::MachineType& t = book_.types()[m->type];
        r = {r.machine, t.cpus, t.gpus, t.memory_gb};
    }
    for (const std::string& id : l.jobs) {
        Job* other = book_.job(id);
        if (other == nullptr) continue;
        Need need = placing::need_of(*other);
        std::uint32_t left = other->spec.tasks;
        for (Room& r : l.room) take_room(r, need, left);
    }
}

void Lender::on_open_dropped(const std::string& id) {
    Job* j = book_.job(id);
    if (j == nullptr || j->lent_to == kNone) return;
    const std::uint32_t block = j->lent_to;
    job_left(*j);
    finish_reading(block);
    book_.set_job_state(*j, JobState::finished);
    book_.drop(id);
}

std::vector<std::pair<std::string, peers::Grant>> Lender::grants(Millis view_fresh, Millis now) {
    std::vector<std::pair<std::string, peers::Grant>> out;
    if (!term_.confirmed(now)) return out;
    for (auto& [block, l] : leases_) {
        auto peer = peers_.find(l.holder);
        if (l.state != LeaseState::granted || peer == peers_.end()) continue;
        if (now - peer->second.heard_at > peers::kPeerFresh) continue;
        if (peer->second.incarnation != l.incarnation) continue;
        const blocks::Block& b = grants_.ledger().block(block);
        if (b.dirty || b.uncertain) continue;
        peers::Grant g;
        g.from = term_.settings().name;
        g.term = term_.info().number;
        g.term_version = term_.info().version;
        g.block = block;
        g.block_version = b.version;
        g.token = b.token;
        g.incarnation = l.incarnation;
        g.asked_ms = peer->second.clock_ms;
        g.lease_ms = static_cast<std::uint64_t>(kLease);
        g.view_age_ms = static_cast<std::uint64_t>(now - view_fresh);
        g.machines = b.members;
        for (const std::string& id : l.jobs) {
            Job* j = book_.job(id);
            if (j != nullptr) g.jobs.push_back({id, j->state == JobState::cancelled ? 1u : 0u});
        }
        l.over_at = now + longer(kLease);
        out.emplace_back(l.holder, std::move(g));
    }
    return out;
}

void Lender::on_news(const peers::News& news, Millis now) {
    for (auto& [block, l] : leases_) {
        if (l.holder != news.from || grants_.ledger().block(block).token != news.token) continue;
        l.said_at = now;
        for (const peers::News::Job& n : news.jobs) {
            Job* j = book_.job(n.id);
            if (j == nullptr || j->lent_to != block) continue;
            j->lent_named_at = now;
            j->lent_done = n.done;
            j->lent_running = n.running;
        }
        if (!news.troubled.empty() && l.state == LeaseState::granted) {
            set_lease_state(block, l, LeaseState::ending);  // the leader looks after them itself
        }
    }
}

// Ends leases that are idle, wanted elsewhere or no longer renewed, and takes their blocks back.
void Lender::check_leases(Millis now) {
    for (auto& [block, l] : leases_) {
        if (l.state == LeaseState::granted) {
            auto peer = peers_.find(l.holder);
            bool lost = peer == peers_.end() ||
                        (now > l.over_at && now - peer->second.heard_at > peers::kPeerFresh);
            if (!l.jobs.empty()) l.idle_since = now;
            bool idle = now - l.idle_since > kIdleLease;
            bool unhealthy = peer != peers_.end() &&
                             (!peer->second.healthy || peer->second.incarnation != l.incarnation);
            // It has let the block go and does not take it up again, or has never heard of it.
            const bool silent = now - l.said_at > kIdleLease;
            const bool dropped = std::any_of(l.jobs.begin(), l.jobs.end(), [&](const auto& id) {
                const Job* j = book_.job(id);
                return j != nullptr && now - j->lent_named_at > kTakenWithin;
            });
            if (lost || idle || unhealthy || silent || dropped ||
                term_.options().lent_machines == 0 ||
                (starving_ && (l.jobs.empty() || now - starving_since_ > kTakenWithin))) {
                set_lease_state(block, l, LeaseState::ending);
            }
        }
        if (l.state != LeaseState::ending || now < l.over_at || !term_.confirmed(now)) continue;
        if (term_.fence(duties::Duty::reclaiming) == 0) continue;
        set_lease_state(block, l, LeaseState::reclaimed);
        grants_.ledger().take_back(block);
        for (const Room& r : l.room) {
            Machine* m = book_.machine_at(r.machine);
            if (m == nullptr) continue;
            // The holder has heard more than this book.
            book_.charge(*m, grants_.ledger().block(block).token, now);
            m->lease_until = deputy::last_lease(term_.settings(), now);
            m->unread = true;
            book_.set_machine_state(*m, MachineState::joining);
            turn_.has_commands(*m);
        }
    }
}

void Lender::take_job_back(Job& j) {
    std::uint64_t theirs =
        grants_.ledger().block(j.lent_to).token - 1;  // at most: grants follow each other
    term_.outbox().list(
        "run/" + j.spec.id + "/",
        term_.guarded([this, id = j.spec.id, theirs](Millis t, const state::ListReply& reply) {
            Job* job = book_.job(id);
            if (job == nullptr || job->lent_to == kNone) return;
            if (reply.outcome != state::Outcome::ok) {
                take_job_back(*job);
                return;
            }
            const std::uint32_t block = job->lent_to;
            job_left(*job);
            book_.reread(*job);
            intake_.load_runs(reply, theirs, t);
            intake_.complete_load(*job, t);
            finish_reading(block);
            turn_.flush(t);
        }));
}

std::string Lender::holder_of(Index machine) const {
    for (const auto& [block, l] : leases_) {
        if (l.state != LeaseState::granted) continue;
        for (const Room& r : l.room) {
            if (r.machine == machine) return l.holder;
        }
    }
    return "";
}

std::vector<std::uint64_t> Lender::tokens() const {
    std::vector<std::uint64_t> out;
    for (const auto& [block, l] : leases_) out.push_back(grants_.ledger().block(block).token);
    return out;
}

}  // namespace nickelramp::sharing
