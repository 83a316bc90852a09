#include "dispatch/dispatcher.h"

#include <algorithm>
#include <set>

namespace nickelramp::dispatch {

using jobs::JobState;

namespace {
constexpr Millis kPassGap = 20;     // news gathers this long
constexpr Millis kSupplyGap = 250;  // a boot takes far longer
}  // namespace

Dispatcher::Dispatcher(const wire::Settings& settings, TermInfo info, Outbox& outbox, Millis now,
                       Role role)
    : term_(settings, std::move(info), role, outbox),
      book_(term_, *this, *this, now),
      outlook_(term_, book_),
      intents_(term_, *this),
      deputies_(settings),
      silence_(term_, book_, deputies_),
      checkpoints_(term_, book_, *this),
      grants_(term_, book_, *this, *this),
      intake_(term_, book_, checkpoints_),
      rules_(term_, book_, outlook_),
      order_(term_, book_, outlook_, rules_, market_),
      schedule_(book_, outlook_, rules_),
      lender_(term_, book_, *this, grants_, intake_, outlook_, rules_),
      supply_(term_, book_, *this, outlook_, rules_, market_, intents_, silence_),
      moves_(term_, book_, rules_),
      planner_(term_, book_, outlook_, rules_, silence_),
      courier_(term_, book_, *this, silence_, *this),
      began_(now),
      inherited_token_(blocks::term_token(term_.info().number) - 1) {}

// A machine that somebody has answered before this book: it is asked what is on it.
void Dispatcher::take_over(const blocks::Member& b, std::uint64_t token) {
    Machine* m = book_.adopt(b.name, began_);
    book_.identify(*m, b.address, b.type, b.zone, b.spot);
    m->up_at = began_;
    m->lease_until = book_.inherited_lease_until();
    book_.charge(*m, token, silence_.heard_by(m->zone, began_));
    book_.set_machine_state(*m, MachineState::joining);
}

void Dispatcher::load_block(std::uint32_t n, blocks::Block block) {
    blocks::Ledger& ledger = grants_.ledger();
    ledger.load(n, std::move(block));
    for (const blocks::Member& b : ledger.block(n).members) take_over(b, ledger.block(n).token);
}

void Dispatcher::load_intents(const std::string& key, const wire::Json& value,
                              std::uint64_t version) {
    auto parsed = duties::parse_intent_key(key);
    if (!parsed || parsed->second >= term_.info().number) return;
    supply_.inherit(parsed->first, intents_.load(parsed->first, key, value, version), began_);
}

void Dispatcher::start(Millis now) {
    started_ = true;
    for (auto& [id, job] : book_.jobs()) intake_.complete_load(*job, now);
    tick(now);
}

void Dispatcher::machine_gone(const Machine& m) {
    if (m.type != kNone) market_.freed({m.type, m.zone, m.spot});
    grants_.ledger().remove(m.name);
    intents_.settled(duties::Duty::returning, m.name);
}

void Dispatcher::first_run(const Job& j, const Attempt& a, Millis now) {
    if (metrics_ == nullptr || a.number != 1) return;
    metrics_->started(j.spec.job_class, static_cast<double>(now - j.accepted_at) / 1000.0);
}

// Every job of the book was read before the list was asked for: what the list lacks is over.
void Dispatcher::on_open_list(const state::ListReply& all, std::int64_t wall_ms, Millis now) {
    std::set<std::string> over;
    for (const auto& [id, j] : book_.jobs()) over.insert(id);
    for (const state::Item& i : all.items) {
        over.erase(jobs::id_of_open_key(i.key));
        if (auto record = jobs::read_open(i.value))
            on_open_record(*record, i.version, wall_ms, now);
    }
    for (const std::string& id : over) on_open_dropped(id, now);
}

void Dispatcher::settle(Millis now) {
    if (book_.changed() && now >= next_pass_) pass(now);
}

void Dispatcher::on_hosts(const std::vector<wire::Host>& hosts, Millis asked, Millis now) {
    supply_.on_hosts(hosts, now);
    if (!term_.holder()) silence_.miss_from_list(hosts, asked, now);
}

void Dispatcher::peer_heard(const peers::Status& s, Millis now) {
    deputies_.heard(s, term_.info().number, now);
    lender_.peer_heard(s, now);
}

std::vector<std::pair<std::string, peers::Leave>> Dispatcher::leaves(Millis view_fresh,
                                                                     Millis now) {
    if (!term_.confirmed(now)) return {};
    return deputies_.leaves(term_.info().number, grants_.ledger().highest(), lender_.tokens(),
                            view_fresh, now);
}

// --- the holder's side

void Dispatcher::hold(const peers::Grant& grant, Millis now) {
    term_.set_grant(
        {blocks::block_key(static_cast<std::uint32_t>(grant.block)), grant.block_version});
    inherited_token_ = grant.token - 1;
    for (const blocks::Member& b : grant.machines) {
        take_over(b, grant.token);
        Machine& m = *book_.machine(b.name);
        m.granted = true;
        courier_.poke(m);
    }
    start(now);
}

void Dispatcher::lent_job(const jobs::OpenRecord& record, std::uint64_t version,
                          const state::ListReply& runs, std::int64_t wall_ms, Millis now) {
    if (book_.job(record.spec.id) != nullptr) return;
    Job& j = book_.add(record, version, wall_ms, now);
    intake_.load_runs(runs, inherited_token_, now);
    intake_.complete_load(j, now);
    if (book_.changed()) pass(now);
}

void Dispatcher::cancel_lent(const std::string& id, Millis now) {
    Job* j = book_.job(id);
    if (j == nullptr || j->state == JobState::cancelled) return;
    // Its version is needed to finish it: the record is read again.
    term_.outbox().read(
        jobs::open_key(id), term_.guarded([this](Millis t, const state::GetReply& r) {
            auto record =
                r.outcome == state::Outcome::ok ? jobs::read_open(r.item.value) : std::nullopt;
            if (record && book_.job(record->spec.id) != nullptr)
                on_open_record(*record, r.item.version, 0, t);
            courier_.flush(t);
        }));
    // What runs is stopped at once.
    intake_.cancel(*j, now);
    courier_.flush(now);
}

// --- what time brings

void Dispatcher::tick(Millis now) {
    if (!started_ || term_.over()) return;
    silence_.look(now);
    watch_machines(now);
    if (!term_.holder()) {
        moves_.consolidate(now);
        lender_.share_machines(now);
        lender_.check_leases(now);
        grants_.commit(now);
        supply_.tend(now);
        planner_.advance(now);
    }
    intake_.drop_leftovers(now);
    intake_.tend_jobs(now);
    courier_.flush(now);
    if (book_.changed() || now >= next_pass_ + 1000) pass(now);
}

// One look at all jobs that want places, in their order.
void Dispatcher::pass(Millis now) {
    if (!started_ || term_.over()) return;
    book_.looked_at();
    intake_.tend_jobs(now);
    // A long queue is looked through less often.
    next_pass_ = now + kPassGap + static_cast<Millis>(book_.waiting().size() / 4);
    std::vector<Job*> unplaced;
    outlook_.clear_whole_waiting();
    book_.end_gathering(now);
    const std::vector<Job*> order = order_.queue(now);
    order_.foresee(order, now);
    for (Job* j : order) {
        if (term_.confirmed(now) && !lender_.lend_job(*j, now)) {
            schedule_.try_job(*j, now);
            if (now >= checkpoints_.due(*j))
                checkpoints_.commit(*j, now);
            else
                intake_.attend(*j, now);
        }
        if (j->wanted() > 0) {
            if (j->starved_since == 0) j->starved_since = now;
            unplaced.push_back(j);
            outlook_.whole_waits(*j);
        }
    }
    if (term_.confirmed(now) && !term_.holder()) {
        lender_.set_starving(!unplaced.empty(), now);
        lender_.check_leases(now);
        if (now >= next_supply_) {
            next_supply_ = now + kSupplyGap;
            supply_.plan(unplaced, order_.lacking(), now);
        } else if (!unplaced.empty()) {
            book_.touch();
        }
    }
    courier_.flush(now);
}

Dispatcher::Progress Dispatcher::progress(const std::string& id) const {
    const Job* j = book_.job(id);
    if (j == nullptr) return {};
    if (j->lent_to != kNone) return {true, j->lent_done, j->lent_running};
    return {true, j->done, j->running};
}

Dispatcher::Summary Dispatcher::summary() const {
    Summary s;
    for (const auto& [id, j] : book_.jobs()) {
        if (j->state == JobState::open) {
            ++s.open_jobs;
            s.waiting_tasks += j->unstarted();
        }
        s.live_attempts += j->live;
    }
    for (const Machine* m : book_.machines())
        ++s.machines[static_cast<std::size_t>(m->state.get())];
    return s;
}

}  // namespace nickelramp::dispatch
