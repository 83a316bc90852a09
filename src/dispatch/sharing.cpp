// Blocks lent to other controllers, from both sides.
//
// A lent machine is empty when it goes, and its block's record, with the holder's own token, is
// committed before the first grant is sent. The holder counts its lease from the moment that it
// sent the status which the grant answers, so it stops before the leader thinks so. A block is
// taken back by rewriting its record under a new token, which fences the holder's transactions;
// then the records of its jobs are read, and the machines are asked what is on them, as after a
// change of leader.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/dispatcher.h"
#include "peers/standing.h"

namespace nickelramp::dispatch {

using jobs::JobState;
using placing::Need;

namespace {
constexpr Millis kLease = 4'000;
constexpr std::uint64_t kServed = 8'000;  // by the state service, so lately
constexpr Millis kIdleLease = 8'000;
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

void Dispatcher::peer_heard(const peers::Status& s, Millis now) {
    deputies_.heard(s, term_.number, now);
    peers_[s.from] = {s.incarnation, s.clock_ms, s.state_age_ms < kServed, now};
}

void Dispatcher::set_lease_state(std::uint32_t block, Lease& l, LeaseState s) {
    static const char* names[] = {"wanted", "granted", "ending", "reclaimed", "reading"};
    spdlog::info("block {} of {}: {} -> {}", block, l.holder, names[static_cast<int>(l.state)],
                 names[static_cast<int>(s)]);
    l.state = s;
}

// Lends each healthy peer a block of empty machines of one zone.
void Dispatcher::share_machines(Millis now) {
    const auto share = static_cast<std::size_t>(options_.lent_machines);
    if (share == 0 || !confirmed_ || blocks_in_flight_ || starving_ || now < next_share_) return;
    next_share_ = now + kShareEvery;
    for (const auto& [name, peer] : peers_) {
        if (!peer.healthy || now - peer.heard_at > peers::kPeerFresh) continue;
        bool has = std::any_of(leases_.begin(), leases_.end(),
                               [&](const auto& l) { return l.second.holder == name; });
        if (has) continue;
        std::map<Index, std::vector<Machine*>> by_zone;
        for (const wire::MachineType& t : types_) {
            const Index type = type_names_.find(t.name);
            const bool enough = demand_of(type).spare > spare_wanted(type, now) + share;
            openings_.each(
                {t.cpus, t.gpus, t.memory_gb}, [&](const auto& kind) { return kind.type == type; },
                [&](Index i) {
                    Machine* m = roster_.at(i);
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
            std::uint32_t block = ledger_.lend(names, name);
            Lease& l = leases_[block];
            l.holder = name;
            l.incarnation = peer.incarnation;
            l.idle_since = now;
            for (Machine* m : list) {
                const wire::MachineType& t = types_[m->type];
                l.room.push_back({m->index, t.cpus, t.gpus, t.memory_gb});
                m->token = ledger_.block(block).token;
                m->granted = false;
                set_machine_state(*m, MachineState::lent);
            }
            spdlog::info("lending {} machines to {} as block {}", list.size(), name, block);
            commit_blocks(now);
            return;
        }
    }
}

void Dispatcher::block_committed(std::uint32_t block, Millis now) {
    auto it = leases_.find(block);
    if (it == leases_.end()) return;
    Lease& l = it->second;
    if (l.state == LeaseState::wanted) {
        set_lease_state(block, l, LeaseState::granted);
        l.over_at = now;
        return;
    }
    if (l.state != LeaseState::reclaimed) return;
    // The holder's transactions fail from here on: what its records say now is what can be.
    // Its machines seem empty until then: they were once returned as idle, or lent again.
    set_lease_state(block, l, LeaseState::reading);
    std::erase_if(l.jobs, [this](const std::string& id) { return find_job(id) == nullptr; });
    for (const std::string& id : l.jobs) take_job_back(*find_job(id));
    finish_reading(block);
}

void Dispatcher::finish_reading(std::uint32_t block) {
    auto it = leases_.find(block);
    if (it == leases_.end() || it->second.state != LeaseState::reading) return;
    if (!it->second.jobs.empty()) return;
    for (const Room& r : it->second.room) {
        Machine* m = roster_.at(r.machine);
        if (m == nullptr) continue;
        m->unread = false;
        m->wants_confirm = true;  // its answer makes it ready
        poke(*m);
    }
    leases_.erase(it);
}

// Gives a job whole to a holder that has room for all of it.
bool Dispatcher::lend_job(Job& j, Millis now) {
    if (role_ == Role::holder || leases_.empty() || !j.attempts.empty() || j.commit_in_flight)
        return false;
    if (j.unstarted() != j.spec.tasks || !within_limit(j, j.spec.tasks)) return false;
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
            Machine* m = roster_.at(r.machine);
            if (m != nullptr && allowed(j, *m)) take_room(r, need, left);
        }
        if (left > 0) continue;
        l.room = room;
        l.jobs.push_back(j.spec.id);
        j.lent_to = block;
        // All of it counts against the team until the job is over or back.
        teams_[j.team].cpus += need.cpus * j.spec.tasks;
        teams_[j.team].gpus += need.gpus * j.spec.tasks;
        spdlog::debug("job {} goes to {} with block {}", j.spec.id, l.holder, block);
        return true;
    }
    return false;
}

// The holder has it no more: what was set aside for it is free.
void Dispatcher::job_left(Job& j) {
    teams_[j.team].cpus -= j.spec.cpus * j.spec.tasks;
    teams_[j.team].gpus -= j.spec.gpus * j.spec.tasks;
    auto it = leases_.find(j.lent_to);
    j.lent_to = kNone;
    dirty_ = true;
    if (it == leases_.end()) return;
    Lease& l = it->second;
    std::erase(l.jobs, j.spec.id);
    // Packs the rest anew; what holders do within is theirs.
    for (Room& r : l.room) {
        Machine* m = roster_.at(r.machine);
        if (m == nullptr) continue;
        const wire::MachineType& t = types_[m->type];
        r = {r.machine, t.cpus, t.gpus, t.memory_gb};
    }
    for (const std::string& id : l.jobs) {
        Job* other = find_job(id);
        if (other == nullptr) continue;
        Need need = placing::need_of(*other);
        std::uint32_t left = other->spec.tasks;
        for (Room& r : l.room) take_room(r, need, left);
    }
}

void Dispatcher::on_open_dropped(const std::string& id) {
    Job* j = find_job(id);
    if (j == nullptr || j->lent_to == kNone) return;
    const std::uint32_t block = j->lent_to;
    job_left(*j);
    finish_reading(block);
    set_job_state(*j, JobState::finished);
    maybe_drop(id);
}

std::vector<std::pair<std::string, peers::Grant>> Dispatcher::grants(Millis view_fresh,
                                                                     Millis now) {
    std::vector<std::pair<std::string, peers::Grant>> out;
    if (!confirmed_) return out;
    for (auto& [block, l] : leases_) {
        auto peer = peers_.find(l.holder);
        if (l.state != LeaseState::granted || peer == peers_.end()) continue;
        if (now - peer->second.heard_at > peers::kPeerFresh) continue;
        if (peer->second.incarnation != l.incarnation) continue;
        const blocks::Block& b = ledger_.block(block);
        if (b.dirty || b.uncertain) continue;
        peers::Grant g;
        g.from = settings_.name;
        g.term = term_.number;
        g.term_version = term_.version;
        g.block = block;
        g.block_version = b.version;
        g.token = b.token;
        g.incarnation = l.incarnation;
        g.asked_ms = peer->second.clock_ms;
        g.lease_ms = static_cast<std::uint64_t>(kLease);
        g.view_age_ms = static_cast<std::uint64_t>(now - view_fresh);
        g.machines = b.members;
        for (const std::string& id : l.jobs) {
            Job* j = find_job(id);
            if (j != nullptr) g.jobs.push_back({id, j->state == JobState::cancelled ? 1u : 0u});
        }
        l.over_at = now + longer(kLease);
        out.emplace_back(l.holder, std::move(g));
    }
    return out;
}

std::vector<std::pair<std::string, peers::Leave>> Dispatcher::leaves(Millis view_fresh,
                                                                     Millis now) {
    if (!confirmed_) return {};
    std::vector<std::uint64_t> lent;
    for (const auto& [block, l] : leases_) lent.push_back(ledger_.block(block).token);
    return deputies_.leaves(term_.number, ledger_.highest(), lent, view_fresh, now);
}

void Dispatcher::on_news(const peers::News& news) {
    for (auto& [block, l] : leases_) {
        if (l.holder != news.from || ledger_.block(block).token != news.token) continue;
        for (const peers::News::Job& n : news.jobs) {
            Job* j = find_job(n.id);
            if (j == nullptr || j->lent_to != block) continue;
            j->lent_done = n.done;
            j->lent_running = n.running;
        }
        if (!news.troubled.empty() && l.state == LeaseState::granted) {
            set_lease_state(block, l, LeaseState::ending);  // the leader looks after them itself
        }
    }
}

// Ends leases that are idle, wanted elsewhere or no longer renewed, and takes their blocks back.
void Dispatcher::check_leases(Millis now) {
    for (auto& [block, l] : leases_) {
        if (l.state == LeaseState::granted) {
            auto peer = peers_.find(l.holder);
            bool lost = peer == peers_.end() ||
                        (now > l.over_at && now - peer->second.heard_at > peers::kPeerFresh);
            if (!l.jobs.empty()) l.idle_since = now;
            bool idle = now - l.idle_since > kIdleLease;
            bool unhealthy = peer != peers_.end() &&
                             (!peer->second.healthy || peer->second.incarnation != l.incarnation);
            if (lost || idle || unhealthy || options_.lent_machines == 0 ||
                (starving_ && l.jobs.empty())) {
                set_lease_state(block, l, LeaseState::ending);
            }
        }
        if (l.state != LeaseState::ending || now < l.over_at || !confirmed_) continue;
        set_lease_state(block, l, LeaseState::reclaimed);
        ledger_.take_back(block);
        for (const Room& r : l.room) {
            Machine* m = roster_.at(r.machine);
            if (m == nullptr) continue;
            m->token = ledger_.block(block).token;
            m->heard_at = now;
            m->session = m->seq = 0;  // the holder has heard more than this book
            m->lease_until = deputy::last_lease(settings_, now);
            m->wants_confirm = true;
            m->unread = true;
            set_machine_state(*m, MachineState::joining);
            poke(*m);
        }
    }
}

void Dispatcher::take_job_back(Job& j) {
    std::uint64_t theirs = ledger_.block(j.lent_to).token - 1;  // at most: grants follow each other
    outbox_.list("run/" + j.spec.id + "/",
                 guarded([this, id = j.spec.id, theirs](Millis t, const state::ListReply& reply) {
                     Job* job = find_job(id);
                     if (job == nullptr || job->lent_to == kNone) return;
                     if (reply.outcome != state::Outcome::ok) {
                         take_job_back(*job);
                         return;
                     }
                     const std::uint32_t block = job->lent_to;
                     job_left(*job);
                     job->chunks.clear();
                     job->waiting.clear();
                     job->done = 0;
                     inherited_token_ = theirs;
                     for (const state::Item& i : reply.items) {
                         std::string run_id;
                         std::uint32_t chunk = 0;
                         auto r = jobs::read_run(i.value);
                         if (r && jobs::parse_run_key(i.key, run_id, chunk)) {
                             load_run(id, chunk, *r, i.version, t);
                         }
                     }
                     complete_load(*job, t);
                     finish_reading(block);
                     flush_poked(t);
                 }));
}

// --- the holder's side

void Dispatcher::hold(const peers::Grant& grant, Millis now) {
    held_ = {blocks::block_key(static_cast<std::uint32_t>(grant.block)), grant.block_version};
    inherited_token_ = grant.token - 1;
    for (const blocks::Member& b : grant.machines) {
        Machine* m = adopt(b.name, now);
        identify(*m, b.address, b.type, b.zone, b.spot);
        m->up_at = now;
        m->heard_at = now;
        m->token = grant.token;
        m->granted = true;
        m->lease_until = inherited_lease_until_;
        m->wants_confirm = true;
        set_machine_state(*m, MachineState::joining);
        poke(*m);
    }
    start(now);
}

void Dispatcher::lent_job(const jobs::OpenRecord& record, std::uint64_t version,
                          const state::ListReply& runs, std::int64_t wall_ms, Millis now) {
    if (find_job(record.spec.id) != nullptr) return;
    Job* j = add_job(record, version, wall_ms, now);
    for (const state::Item& i : runs.items) {
        std::string id;
        std::uint32_t chunk = 0;
        auto r = jobs::read_run(i.value);
        if (r && jobs::parse_run_key(i.key, id, chunk)) load_run(id, chunk, *r, i.version, now);
    }
    complete_load(*j, now);
    if (dirty_) schedule(now);
}

void Dispatcher::cancel_lent(const std::string& id, Millis now) {
    Job* j = find_job(id);
    if (j == nullptr || j->state == JobState::cancelled) return;
    // Its version is needed to finish it: the record is read again.
    outbox_.read(jobs::open_key(id), guarded([this](Millis t, const state::GetReply& r) {
                     auto record = r.outcome == state::Outcome::ok ? jobs::read_open(r.item.value)
                                                                   : std::nullopt;
                     if (record && find_job(record->spec.id) != nullptr)
                         on_open_record(*record, r.item.version, 0, t);
                     flush_poked(t);
                 }));
    // What runs is stopped at once.
    cancel(*j, now);
    flush_poked(now);
}

}  // namespace nickelramp::dispatch
