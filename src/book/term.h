// What all parts of one term share: under which term and settings they act, on which conditions
// their transactions stand, and whether it is over.
#pragma once
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "admin/options.h"
#include "blocks/ledger.h"
#include "book/outbox.h"
#include "duties/duty.h"
#include "wire/settings.h"

namespace nickelramp::book {

struct TermInfo {
    std::uint64_t number = 0;
    std::string key;            // conditional transactions name it
    std::uint64_t version = 0;  // its stamp while this term lasts
};

// The leader's book has everything; a holder's only a block of machines and the jobs lent with it.
enum class Role { leader, holder };

class Term {
  public:
    Term(const wire::Settings& settings, TermInfo info, Role role, Outbox& outbox)
        : settings_(settings), info_(std::move(info)), role_(role), outbox_(outbox) {}

    const wire::Settings& settings() const { return settings_; }
    const TermInfo& info() const { return info_; }
    bool holder() const { return role_ == Role::holder; }
    Outbox& outbox() { return outbox_; }
    const admin::Options& options() const { return options_; }
    void set_options(const admin::Options& options) { options_ = options; }

    // While not certain to lead (or to hold its block), nothing new is started. A date and not a
    // flag: after a freeze, what waited is handled before the timer that would lower a flag.
    bool confirmed(Millis now) const { return now < confirmed_until_; }
    void confirm_until(Millis until) { confirmed_until_ = until; }

    // The duty's fence, whoever has it; 0: nobody is known to.
    std::uint64_t fence(duties::Duty d) const { return fences_[static_cast<std::size_t>(d)]; }
    void set_fence(duties::Duty d, std::uint64_t fence) {
        fences_[static_cast<std::size_t>(d)] = fence;
    }

    // Somebody else acts in its place: nothing is done any more.
    bool over() const { return over_; }
    void end(const std::string& why) {
        if (over_) return;
        over_ = true;
        outbox_.deposed(why);
    }

    // Has the machine seen a later term's token? While a leader's hold certainly lasts there is no
    // later term: then the report contradicts itself, and ends nothing.
    bool outranked(const wire::Report& r, Millis now) {
        if (blocks::term_of(r.token) <= info_.number) return false;
        if (!holder() && confirmed(now)) return false;
        end("machine " + r.machine + " has seen a later term's token");
        return true;
    }

    // A holder's transactions name its grant's record too.
    void set_grant(state::Condition grant) { grant_ = std::move(grant); }
    std::vector<state::Condition> conditions() const {
        std::vector<state::Condition> out{{info_.key, info_.version}};
        if (holder()) out.push_back(grant_);
        return out;
    }
    // Those of what is done under a duty.
    std::vector<state::Condition> conditions(duties::Duty d) const {
        auto out = conditions();
        out.push_back({duties::duty_key(d), fence(d)});
        return out;
    }
    // The transaction may have failed because a duty is another's, or nobody's, by now.
    void refuted(const state::CommitReply& reply) {
        for (const std::string& key : reply.failed) {
            auto d = duties::duty_of_key(key);
            if (!d) continue;
            set_fence(*d, 0);
            outbox_.refuted(*d);
        }
    }
    // Did the transaction fail because the term, or this holder's grant, is over?
    bool superseded(const state::CommitReply& reply) {
        for (const std::string& key : reply.failed) {
            if (key != info_.key && (!holder() || key != grant_.key)) continue;
            end(key + " has changed");
            return true;
        }
        return false;
    }

    // Wraps a callback so that it does nothing once the term is over.
    template <typename F>
    auto guarded(F f) {
        return [alive = std::weak_ptr<char>(alive_), f = std::move(f)](auto&&... args) {
            if (alive.lock()) f(std::forward<decltype(args)>(args)...);
        };
    }

  private:
    const wire::Settings& settings_;
    TermInfo info_;
    Role role_;
    Outbox& outbox_;
    admin::Options options_;
    state::Condition grant_;
    Millis confirmed_until_ = kNever;
    std::uint64_t fences_[duties::kDuties] = {};
    bool over_ = false;
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace nickelramp::book
