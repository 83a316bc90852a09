#include "duties/keeper.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::duties {

namespace {
constexpr Millis kRetry = 500;
constexpr Millis kLookEvery = 2'000;  // at duties that others have
}  // namespace

const char* name(State s) {
    static const char* names[] = {"unknown", "vacant", "claiming", "held", "moving", "elsewhere"};
    return names[static_cast<std::size_t>(s)];
}

void Keeper::set_state(Duty d, State s) {
    Entry& e = entry(d);
    if (e.state != s) {
        spdlog::info("duty {}: {} -> {}{}", name(d), name(e.state), name(s),
                     s == State::elsewhere ? ", " + e.post.holder : "");
    }
    e.state = s;
    if (leads()) hooks_.fenced(d, known(d));
}

void Keeper::lead(state::Condition term, std::uint64_t hold, Millis now) {
    ++generation_;
    asking_ = false;
    term_ = std::move(term);
    hold_ = hold;
    for (Duty d : kAll) {
        entry(d).taken_from = 0;
        set_state(d, State::unknown);
    }
    tend(now);
}

void Keeper::follow() {
    if (!leads()) return;
    ++generation_;
    asking_ = false;
    for (Duty d : kAll) set_state(d, State::unknown);
    hold_ = 0;
}

void Keeper::tend(Millis now) {
    if (!leads() || asking_) return;
    bool unread = false, free = false;
    for (Duty d : kAll) {
        const Entry& e = entry(d);
        // A holder elsewhere may have ended: the record says so, and only the record.
        unread |= (e.state == State::unknown || e.state == State::elsewhere) && now >= e.retry_at;
        free |= e.state == State::vacant;
    }
    if (unread)
        read(now);
    else if (free)
        claim();
}

void Keeper::read(Millis now) {
    asking_ = true;
    for (Duty d : kAll) entry(d).retry_at = now + kRetry;
    hooks_.list([this, g = generation_](Millis t, const state::ListReply& r) {
        if (g != generation_) return;
        asking_ = false;
        if (r.outcome != state::Outcome::ok) return;  // asked again at its date
        for (Duty d : kAll) absorb(d, r, t);
        tend(t);
    });
}

void Keeper::absorb(Duty d, const state::ListReply& r, Millis now) {
    Entry& e = entry(d);
    // This leader's own transactions are answered by themselves, and the list may be from before
    // the last of them.
    if (e.state == State::claiming || e.state == State::moving || r.revision < e.fence) return;
    auto it = std::find_if(r.items.begin(), r.items.end(),
                           [&](const state::Item& i) { return i.key == duty_key(d); });
    if (it == r.items.end()) {
        set_state(d, State::vacant);
        return;
    }
    e.retry_at = now + kLookEvery;
    if (auto post = read_post(it->value)) {
        if (it->version > e.fence || e.state == State::unknown) found(d, *post, it->version);
        return;
    }
    // Left alone: it goes with the hold that it is attached to, or an operator drops it.
    if (it->version != e.unreadable) spdlog::error("record {} cannot be read", it->key);
    e.unreadable = it->version;
    set_state(d, State::unknown);
}

void Keeper::found(Duty d, const Post& post, std::uint64_t fence) {
    Entry& e = entry(d);
    e.post = post;
    e.fence = fence;
    // Also what this process had on an earlier hold is another's: it ends with that hold.
    set_state(d, post == mine() ? State::held : State::elsewhere);
}

void Keeper::claim() {
    state::Txn txn;
    txn.conditions = {term_};
    std::vector<Duty> asked;
    for (Duty d : kAll) {
        if (state(d) != State::vacant) continue;
        asked.push_back(d);
        txn.conditions.push_back({duty_key(d), 0});
        txn.writes.push_back({duty_key(d), post_record(mine()), hold_});
        set_state(d, State::claiming);
    }
    asking_ = true;
    hooks_.commit(std::move(txn),
                  [this, asked, g = generation_](Millis t, const state::CommitReply& r) {
                      if (g != generation_) return;
                      asking_ = false;
                      for (Duty d : asked) {
                          if (state(d) != State::claiming) continue;
                          if (r.outcome == state::Outcome::ok) {
                              found(d, mine(), r.revision);
                              continue;
                          }
                          // It may have been applied after all: the record tells.
                          entry(d).retry_at = t + kRetry;
                          set_state(d, State::unknown);
                      }
                  });
}

// One transaction: the record changes hands on condition that it is as known and the term lasts.
void Keeper::move(Duty d, const Post& to) {
    Entry& e = entry(d);
    state::Txn txn;
    txn.conditions = {term_, {duty_key(d), e.fence}};
    txn.writes = {{duty_key(d), post_record(to), to.hold}};
    set_state(d, State::moving);
    hooks_.commit(std::move(txn),
                  [this, d, to, g = generation_](Millis t, const state::CommitReply& r) {
                      if (g != generation_ || state(d) != State::moving) return;
                      if (r.outcome == state::Outcome::ok) {
                          found(d, to, r.revision);
                          return;
                      }
                      // Whoever has it now, or may have it soon, is found in the record. A late
                      // transaction fails once the record has changed; until then it is asked for.
                      entry(d).retry_at = t + kRetry;
                      set_state(d, State::unknown);
                  });
}

void Keeper::give(Duty d, const Post& to) {
    if (leads() && state(d) == State::held) move(d, to);
}

void Keeper::take(Duty d) {
    if (!leads() || state(d) != State::elsewhere) return;
    entry(d).taken_from = fence(d);
    move(d, mine());
}

void Keeper::refuted(Duty d) {
    if (!leads() || (state(d) != State::held && state(d) != State::elsewhere)) return;
    entry(d).retry_at = 0;
    set_state(d, State::unknown);
}

void Keeper::charged(Duty d, std::uint64_t fence, std::uint64_t hold) {
    Entry& e = entry(d);
    if (leads() || fence < e.fence) return;
    e.fence = fence;
    e.post = {node_, incarnation_, hold};
    set_state(d, State::held);
}

void Keeper::released(Duty d) {
    if (!leads() && state(d) == State::held) set_state(d, State::unknown);
}

void Keeper::hold_lost() {
    for (Duty d : kAll) released(d);
}

}  // namespace nickelramp::duties
