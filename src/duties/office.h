// One controller's part in the duties: which it has, and its acts under them. As leader it
// appoints, itself at first; cleaning goes to a helper, and so does the talk with the cloud while
// only the helper's road to it is open. As helper it acts under what the leader charged it with,
// each charge a lease by its own clock. Handed messages and the time; the clock is read at acts
// only.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "duties/errands.h"
#include "duties/intents.h"
#include "duties/keeper.h"
#include "duties/sweep.h"
#include "peers/messages.h"

namespace nickelramp::duties {

class Office {
  public:
    using CommitDone = std::function<void(Millis, const state::CommitReply&)>;
    using ListDone = std::function<void(Millis, const state::ListReply&)>;
    using LeaseDone = std::function<void(Millis, const state::LeaseReply&)>;
    using HireDone = std::function<void(Millis, const fleet::HireReply&)>;
    struct Hooks {
        std::function<Millis()> clock;
        std::function<Right()> leading;  // this node's right to decide; its fence is the term
        // The state service.
        std::function<void(state::Txn, CommitDone)> commit;
        std::function<void(const Permit<Cleaning>&, state::Txn, CommitDone)> clean;
        std::function<void(const std::string& prefix, ListDone)> list;
        std::function<void(const std::string& prefix, const std::string& after, std::size_t most,
                           ListDone)>
            page;
        std::function<bool()> spare;
        std::function<void(Millis life, LeaseDone)> take_hold;
        std::function<void(std::uint64_t hold, LeaseDone)> renew_hold;
        std::function<void(std::uint64_t hold)> end_hold;
        // Peers; false: it could not be sent.
        std::function<void(const std::string& peer, const peers::Charge&)> charge;
        std::function<bool(const std::string& peer, const peers::Errand&)> errand;
        std::function<void(const std::string& peer, const peers::Outcome&)> outcome;
        // The cloud.
        std::function<void(const Permit<Renting>&, const Intent&, HireDone)> hire;
        std::function<void(const Permit<Returning>&, const std::vector<std::string>&, HireDone)>
            give_back;
        std::function<bool(Millis now)> cloud_lost;  // it has not answered for long
        // The leader's book.
        std::function<void(Duty, std::uint64_t fence)> fenced;
    };
    Office(std::string node, std::uint64_t incarnation, std::size_t most_writes, Hooks hooks);

    // The term begins; `term` is the condition of its transactions, `hold` the leader's.
    void lead(std::uint64_t number, state::Condition term, std::uint64_t hold, Millis now);
    void follow();
    void refuted(Duty d) { keeper_.refuted(d); }

    void heard(const peers::Status& s, Millis now);
    void tell(peers::Status& s, Millis now) const;
    void on_charge(const peers::Charge& m, Millis now);
    void on_errand(const peers::Errand& m, Millis now);
    void on_outcome(const peers::Outcome& m, Millis now) { errands_.on_outcome(m, now); }
    void tend(Millis now);
    // Charges, every second.
    void tell_helper(Millis now);

    // What the leader's book asks of the cloud, by whoever has the duty.
    void hire(const Intent& rental, HireDone done, Millis now);
    void give_back(const std::vector<std::string>& machines, HireDone done, Millis now);

    const Keeper& keeper() const { return keeper_; }
    const Sweep& sweep() const { return sweep_; }
    wire::Json overview() const;
    // Until when this controller may act under the duty, and by which fence.
    Right right(Duty d) const;

  private:
    // The helper's own hold.
    enum class HoldState { none, taking, held };
    void set_hold_state(HoldState s) { hold_state_ = s; }
    struct Peer {
        std::uint64_t incarnation = 0, clock_ms = 0, hold = 0;
        bool served = false;  // by the state service
        Millis heard_at = 0;
    };
    const Peer* fresh(const std::string& name, Millis now) const;
    void choose_helper(Millis now);
    void appoint(Millis now);
    bool wanted_elsewhere(Duty d, Millis now) const;
    void tend_hold(Millis now);
    void lose_hold(const char* why);
    void later(HireDone done, fleet::HireReply reply) {
        later_.emplace_back(std::move(done), std::move(reply));
    }
    template <typename Send>
    void ask(Duty d, peers::Errand errand, HireDone done, Millis now, Send&& send);

    std::string node_;
    std::uint64_t incarnation_;
    Hooks hooks_;
    Keeper keeper_;
    Sweep sweep_;
    Errands errands_;
    Gate<Renting> renting_;
    Gate<Returning> returning_;
    Gate<Cleaning> cleaning_;
    std::vector<std::pair<HireDone, fleet::HireReply>> later_;  // answered at the next turn

    // As leader.
    std::uint64_t term_ = 0;
    Millis led_since_ = 0;
    std::map<std::string, Peer> peers_;
    std::string helper_;
    Millis charged_at_[kDuties] = {};  // the last charge with it that this leader sent

    // As helper.
    HoldState hold_state_ = HoldState::none;
    std::uint64_t hold_ = 0;
    Validity hold_validity_;
    Millis renew_at_ = 0;
    Millis kept_until_ = 0;  // nobody has charged this controller since long: its hold ends
    Millis charge_until_[kDuties] = {};
    std::uint64_t charged_term_ = 0;
};

}  // namespace nickelramp::duties
