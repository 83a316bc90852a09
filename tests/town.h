// Whole controllers as far as leadership and duties go: election, office and what they say to each
// other, three to five of them around a state service with holds and watches and a cloud, in
// simulated time. They crash, stand still while their clocks run on, are cut off from the state
// service, the cloud or their peers with messages lost or held, and come back as another process.
// At every act the plain model asks who else could act at that moment.
#pragma once
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "duties/office.h"
#include "leadership/term.h"
#include "tests/trace.h"

namespace nickelramp::test {

class Town {
  public:
    Town(std::uint64_t seed, std::size_t controllers);
    ~Town();

    enum class Road { state, cloud, peers };
    void run_until(Millis t);
    Millis now() const { return now_; }
    void crash(std::size_t i, Millis back_after);
    void freeze(std::size_t i, Millis length);
    void cut(std::size_t i, Road road, Millis length, bool held);
    void state_down(Millis length);
    double lost = 0;  // messages, of any kind
    // Transactions and releases of holds that get no answer and are carried out 2 to 12 s later.
    double late_writes = 0;
    // Transactions, grants, renewals and releases of holds that are carried out at once and of
    // which only the answer is lost.
    double at_once = 0;
    // Keys so written or dropped; "hold": holds.
    std::size_t at_once_of(const std::string& prefix) const;
    std::size_t late_applied() const { return late_applied_; }

    std::size_t size() const { return all_.size(); }
    std::size_t leader() const;  // that certainly leads now; size() if none does
    std::size_t holder(duties::Duty d) const;
    duties::Office& office(std::size_t i);
    // The longest that nobody could act under the duty since the last call.
    Millis longest_gap(duties::Duty d);
    std::size_t acts(duties::Duty d) const { return acts_[static_cast<std::size_t>(d)]; }
    std::size_t acts_by_helpers() const { return by_helpers_; }
    std::size_t refused_at_the_act() const { return refused_; }
    void put(const std::string& key, const wire::Json& value);
    std::size_t count(const std::string& prefix) const;

  private:
    struct Controller;
    struct Stored {
        wire::Json value;
        std::uint64_t version = 0, hold = 0;
    };
    struct Change {
        std::uint64_t revision;
        std::string key;
        bool deleted;
    };
    struct Watch {
        std::string prefix;
        std::uint64_t after;
        std::function<void(const state::ListReply&)> reply;
    };

    void at(Millis t, std::function<void()> f) { queue_.emplace(t, std::move(f)); }
    Millis delay(Millis most) {
        return 1 + static_cast<Millis>(random_() % static_cast<unsigned>(most));
    }
    bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
    // In the process that the controller is now, when it does not stand still. `late`: like a
    // timer, after the messages that wait.
    void inside(Controller& c, Millis t, std::function<void()> f, bool late = false);
    // Sent if `may` still says so when its turn comes; executed there, answered here.
    template <typename Reply>
    void call(Controller& c, Road road, std::function<bool()> may, std::function<Reply()> executed,
              Reply refused, Reply unknown, std::function<void(Millis, const Reply&)> done,
              std::function<void()> sent = {});
    void start(std::size_t i);
    void tick(Controller& c);
    void tell(Controller& c);
    duties::Office::Hooks hooks(Controller& c);
    void say(Controller& from, const std::string& to, std::function<void(Controller&)> hear);
    Controller* named(const std::string& name);
    bool is_cut(const Controller& c, Road road) const;
    void acted(Controller& c, duties::Duty d, std::uint64_t fence);
    bool may_act(const Controller& c, duties::Duty d) const;

    // The state service.
    state::CommitReply apply(const state::Txn& txn);
    state::ListReply list(const std::string& prefix, const std::string& after, std::size_t most);
    void changed(const std::string& key, bool deleted);
    void end_hold(std::uint64_t hold);
    void look_at_holds();

    Trace trace_;
    std::mt19937_64 random_;
    Millis now_ = 0;
    std::multimap<Millis, std::function<void()>> queue_;
    std::vector<std::unique_ptr<Controller>> all_;
    std::vector<std::unique_ptr<Controller>> ended_;
    std::uint64_t incarnations_ = 0;

    std::map<std::string, Stored> keys_;
    std::map<std::uint64_t, std::pair<Millis, Millis>> holds_;  // life, end
    std::vector<Change> log_;
    std::vector<Watch> watches_;
    std::uint64_t revision_ = 10, last_hold_ = 0;
    Millis down_until_ = 0;

    std::uint64_t last_fence_[duties::kDuties] = {};
    std::size_t acts_[duties::kDuties] = {};
    std::size_t by_helpers_ = 0, refused_ = 0, rentals_ = 0, late_applied_ = 0;
    std::map<std::string, std::size_t> at_once_;
    Millis free_since_[duties::kDuties] = {}, gap_[duties::kDuties] = {};
};

}  // namespace nickelramp::test
