#include "duties/sweep.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/job.h"

namespace nickelramp::duties {

namespace {
constexpr std::size_t kPage = 100;
constexpr Millis kPageGap = 2'000;    // a page of runs and the open records beside it
constexpr Millis kRoundGap = 60'000;  // nothing is in a hurry
constexpr Millis kBusy = 1'000;       // others want the state service
constexpr std::uint32_t kNoteEvery = 16;
}  // namespace

// Answers that were asked for under another fence are dropped.
template <typename F>
auto Sweep::current(F f) {
    return [this, fence = fence_, f = std::move(f)](Millis t, const auto& reply) {
        if (fence_ == fence && state_ != State::off) f(t, reply);
    };
}

void Sweep::rest(Millis until) {
    next_at_ = until;
    set_state(State::resting);
}

void Sweep::tend(const std::optional<Permit<Cleaning>>& permit, Millis now) {
    const std::uint64_t fence = permit ? permit->fence() : 0;
    if (fence != fence_) {
        fence_ = fence;
        permit_ = permit;
        next_at_ = 0;
        set_state(State::off);
    }
    if (!permit || now < next_at_) return;
    if (state_ != State::off && state_ != State::resting) return;
    if (!hooks_.spare()) {
        next_at_ = now + kBusy;
        return;
    }
    if (state_ == State::off)
        find();
    else
        read();
}

void Sweep::find() {
    set_state(State::finding);
    ++requests_;
    hooks_.page(kCursorKey, "", 1, current([this](Millis t, const state::ListReply& r) {
                    if (r.outcome != state::Outcome::ok) {
                        set_state(State::off);
                        next_at_ = t + kBusy;
                        return;
                    }
                    after_.clear();
                    cursor_version_ = 0;
                    if (!r.items.empty()) {
                        const state::Item& i = r.items.front();
                        cursor_version_ = i.version;
                        after_ = wire::text(i.value, "after").value_or("");
                        rounds_ = wire::count(i.value, "rounds").value_or(0);
                    }
                    rest(t + kPageGap);
                }));
}

void Sweep::read() {
    set_state(State::reading);
    ++requests_;
    hooks_.page("run/", after_, kPage, current([this](Millis t, const state::ListReply& r) {
                    if (r.outcome != state::Outcome::ok) return rest(t + kBusy);
                    page_.clear();
                    open_.clear();
                    for (const state::Item& i : r.items) {
                        std::string id;
                        std::uint32_t chunk = 0;
                        // What is no run record stays as it is.
                        if (jobs::parse_run_key(i.key, id, chunk))
                            page_.push_back({i.key, id, i.version});
                    }
                    round_over_ = !r.more || r.items.empty();
                    if (!r.items.empty()) after_ = r.items.back().key;
                    if (page_.empty()) {
                        note(t);
                        return;
                    }
                    auto [first, last] = std::minmax_element(
                        page_.begin(), page_.end(),
                        [](const Found& a, const Found& b) { return a.job < b.job; });
                    // Lists begin after a key: one that is before the first job's.
                    open_after_ = jobs::open_key(first->job);
                    open_after_.pop_back();
                    open_last_ = jobs::open_key(last->job);
                    match();
                }));
}

void Sweep::match() {
    set_state(State::matching);
    ++requests_;
    hooks_.page("open/", open_after_, kPage, current([this](Millis t, const state::ListReply& r) {
                    // From the beginning: nothing was dropped of this page.
                    if (r.outcome != state::Outcome::ok) {
                        after_.clear();
                        return rest(t + kBusy);
                    }
                    for (const state::Item& i : r.items) open_.insert(jobs::id_of_open_key(i.key));
                    if (r.more && !r.items.empty() && r.items.back().key < open_last_) {
                        open_after_ = r.items.back().key;
                        match();
                        return;
                    }
                    std::erase_if(page_, [&](const Found& f) { return open_.count(f.job) != 0; });
                    drop(t);
                }));
}

void Sweep::drop(Millis now) {
    if (page_.empty()) {
        note(now);
        return;
    }
    set_state(State::dropping);
    state::Txn txn;
    txn.conditions = {{duty_key(Duty::cleaning), fence_}};
    while (!page_.empty() && txn.writes.size() < std::max<std::size_t>(1, most_writes_ / 2)) {
        txn.conditions.push_back({page_.back().key, page_.back().version});
        txn.writes.push_back({page_.back().key, std::nullopt});
        page_.pop_back();
    }
    const std::size_t n = txn.writes.size();
    ++requests_;
    hooks_.commit(*permit_, std::move(txn),
                  current([this, n](Millis t, const state::CommitReply& r) {
                      if (r.outcome == state::Outcome::ok) {
                          dropped_ += n;
                          spdlog::info("cleaning: {} records of jobs that are over dropped", n);
                      } else if (r.outcome != state::Outcome::conflict) {
                          return rest(t + kBusy);  // the next round finds them
                      }
                      drop(t);
                  }));
}

// How far it is, now and then and at the end of a round that found something to do.
void Sweep::note(Millis now) {
    ++unnoted_;
    const bool worth = unnoted_ >= kNoteEvery;
    if (round_over_) {
        after_.clear();
        ++rounds_;
    }
    const Millis gap = round_over_ ? kRoundGap : kPageGap;
    if (!worth) {
        rest(now + gap);
        return;
    }
    unnoted_ = 0;
    set_state(State::noting);
    state::Txn txn;
    txn.conditions = {{duty_key(Duty::cleaning), fence_}, {kCursorKey, cursor_version_}};
    txn.writes = {{kCursorKey, wire::Json{{"after", after_}, {"rounds", rounds_}}}};
    ++requests_;
    hooks_.commit(*permit_, std::move(txn),
                  current([this, gap](Millis t, const state::CommitReply& r) {
                      if (r.outcome == state::Outcome::ok)
                          cursor_version_ = r.revision;
                      else if (r.outcome != state::Outcome::refused) {
                          // Applied after all, or another's: read it again.
                          set_state(State::off);
                          next_at_ = t + kBusy;
                          return;
                      }
                      rest(t + gap);
                  }));
}

}  // namespace nickelramp::duties
