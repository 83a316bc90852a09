#include "dispatch/holding.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::dispatch {

namespace {
constexpr Millis kTend = 10'000;
}

Holding::Holding(const wire::Settings& settings, std::string term_key, Outbox& outbox,
                 std::uint64_t incarnation)
    : settings_(settings),
      term_key_(std::move(term_key)),
      outbox_(outbox),
      incarnation_(incarnation) {}

// The lease runs from when this node sent the status that the grant answers.
void Holding::on_grant(const peers::Grant& g, const std::vector<wire::MachineType>& types,
                       std::int64_t wall_ms, Millis now) {
    Millis asked = static_cast<Millis>(g.asked_ms);
    bool older = g.term < grant_.term || (g.term == grant_.term && g.token < grant_.token);
    // Not for the process before this one, and not for a block that was let go: commands under its
    // token may still be under way.
    if (asked > now || older || g.incarnation != incarnation_ || g.token == ended_token_) return;
    Millis until = asked + shorter(static_cast<Millis>(g.lease_ms));
    if (until <= now || types.empty()) return;
    if (state_ == HoldingState::empty || g.token != grant_.token) {
        end("another block is granted");
        spdlog::info("holding block {} of {} machines for {}", g.block, g.machines.size(), g.from);
        grant_ = g;
        book_ = std::make_unique<Dispatcher>(settings_, TermInfo{g.term, term_key_, g.term_version},
                                             outbox_, now, Role::holder);
        book_->load_types(types);
        book_->hold(g, now);
        lease_until_ = view_fresh_ = 0;
    }
    lease_until_ = std::max(lease_until_, until);
    view_fresh_ = std::max(view_fresh_, asked - static_cast<Millis>(g.view_age_ms));
    set_state(HoldingState::placing);
    book_->confirm_until(lease_until_);
    for (const auto& job : g.jobs) {
        if (job.cancelled != 0) book_->cancel_lent(job.id, now);
        if (jobs_.emplace(job.id, false).second) fetch(job.id, wall_ms);
    }
}

// A lent job comes with its id only; its records are read from the state service.
void Holding::fetch(const std::string& id, std::int64_t wall_ms) {
    auto mine = [this, alive = std::weak_ptr<char>(alive_), token = grant_.token, id] {
        return alive.lock() && book_ && grant_.token == token && jobs_.count(id) != 0;
    };
    outbox_.read(
        jobs::open_key(id), [this, id, mine, wall_ms](Millis, const state::GetReply& open) {
            if (!mine()) return;
            if (open.outcome == state::Outcome::missing) {
                jobs_[id] = true;  // over already
                return;
            }
            auto record = open.outcome == state::Outcome::ok ? jobs::read_open(open.item.value)
                                                             : std::nullopt;
            if (!record) {
                jobs_.erase(id);  // the next grant names it again
                return;
            }
            outbox_.list("run/" + id + "/",
                         [this, id, mine, record, wall_ms, version = open.item.version](
                             Millis t, const state::ListReply& runs) {
                             if (!mine()) return;
                             if (runs.outcome != state::Outcome::ok) {
                                 jobs_.erase(id);
                                 return;
                             }
                             jobs_[id] = true;
                             book_->lent_job(*record, version, runs, wall_ms, t);
                         });
        });
}

void Holding::tick(Millis now) {
    if (state_ == HoldingState::empty) return;
    if (now >= lease_until_) {
        set_state(HoldingState::tending);
        if (now - lease_until_ > kTend) {
            end("the lease has ended");
            return;
        }
    }
    book_->tick(now);
}

void Holding::end(const std::string& why) {
    if (state_ == HoldingState::empty) return;
    spdlog::info("block {} is not held any more: {}", grant_.block, why);
    set_state(HoldingState::empty);
    ended_token_ = grant_.token;
    book_->confirm_until(0);
    ended_.push_back(std::move(book_));
    jobs_.clear();
    grant_.machines.clear();
}

bool Holding::holds(const std::string& machine) const {
    return state_ != HoldingState::empty &&
           std::any_of(grant_.machines.begin(), grant_.machines.end(),
                       [&](const blocks::Member& m) { return m.name == machine; });
}

CheckinAnswer Holding::on_checkin(const wire::Report& report, bool follows, Millis now) {
    // Whoever cannot know of a cancellation must let the leases run out in time.
    if (now > answer_until()) return {503, "", 0, {}};
    return book_->on_checkin(report, follows, now);
}

std::optional<peers::News> Holding::news() const {
    if (state_ == HoldingState::empty) return std::nullopt;
    peers::News n;
    n.from = settings_.name;
    n.term = grant_.term;
    n.token = grant_.token;
    for (const auto& [id, loaded] : jobs_) {
        if (!loaded) continue;
        auto p = book_->progress(id);
        n.jobs.push_back({id, p.done, p.running, p.known ? 0u : 1u});
    }
    n.troubled = book_->troubled();
    return n;
}

}  // namespace nickelramp::dispatch
