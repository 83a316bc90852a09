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

#include "election/election.h"
#include "roles/role_manager.h"
#include "tests/trace.h"

namespace nickelramp::test {

class ElectionSimulation {
  public:
    ElectionSimulation(std::uint64_t seed, std::size_t controllers);
    ~ElectionSimulation();

    enum class Link { state, cloud, peers };
    void run_until(Millis t);
    Millis now() const { return now_; }
    void crash(std::size_t i, Millis back_after);
    void freeze(std::size_t i, Millis length);
    void partition(std::size_t i, Link road, Millis length, bool held);
    void take_state_service_down(Millis length);
    double message_loss = 0;  // messages, of any kind
    // Transactions and releases of holds that get no answer and are carried out 2 to 12 s later.
    double late_writes = 0;
    // Transactions, grants, renewals and releases of holds that are carried out at once and of
    // which only the answer is lost.
    double lost_write_replies = 0;
    // Keys so written or dropped; "hold": holds.
    std::size_t lost_write_replies_of(const std::string& prefix) const;
    std::size_t late_applied() const { return late_applied_; }

    std::size_t size() const { return controllers_.size(); }
    std::size_t leader() const;  // that certainly leads now; size() if none does
    std::size_t role_holder(lease::Role role) const;
    roles::RoleManager& role_manager(std::size_t i);
    // The longest that nobody could act under the duty since the last call.
    Millis longest_vacancy(lease::Role role);
    std::size_t act_count(lease::Role role) const {
        return act_counts_[static_cast<std::size_t>(role)];
    }
    std::size_t acts_by_helper() const { return acts_by_helper_; }
    std::size_t acts_refused() const { return acts_refused_; }
    void set_key(const std::string& key, const wire::Json& value);
    std::size_t count_keys(const std::string& prefix) const;

  private:
    struct Controller;
    struct Stored {
        wire::Json value;
        std::uint64_t version = 0, lease_id = 0;
    };
    struct Change {
        std::uint64_t revision;
        std::string key;
        bool deleted;
    };
    struct Watch {
        std::string prefix;
        std::uint64_t after;
        std::function<void(const kvstore::ListReply&)> reply;
    };

    void at(Millis t, std::function<void()> f) { queue_.emplace(t, std::move(f)); }
    Millis delay(Millis most) {
        return 1 + static_cast<Millis>(random_() % static_cast<unsigned>(most));
    }
    bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
    // In the process that the controller is now, when it does not stand still. `late`: like a
    // timer, after the messages that wait.
    void run_in_process(Controller& controller, Millis t, std::function<void()> f,
                        bool late = false);
    // Sent if `may` still says so when its turn comes; executed there, answered here.
    template <typename Reply>
    void call(Controller& controller, Link road, std::function<bool()> may,
              std::function<Reply()> executed, Reply refused, Reply unknown,
              std::function<void(Millis, const Reply&)> done, std::function<void()> sent = {});
    void start(std::size_t i);
    void tick(Controller& controller);
    void send_status(Controller& controller);
    roles::RoleManager::Hooks role_manager_hooks(Controller& controller);
    void send_message(Controller& from, const std::string& to,
                      std::function<void(Controller&)> hear);
    Controller* controller_named(const std::string& name);
    bool is_partitioned(const Controller& controller, Link road) const;
    void on_act(Controller& controller, lease::Role role, std::uint64_t fence);
    bool may_act(const Controller& controller, lease::Role role) const;

    // The state service.
    kvstore::CommitReply apply(const kvstore::Transaction& transaction);
    kvstore::ListReply list(const std::string& prefix, const std::string& after, std::size_t most);
    void on_key_changed(const std::string& key, bool deleted);
    void expire_lease(std::uint64_t hold);
    void expire_leases();

    Trace trace_;
    std::mt19937_64 random_;
    Millis now_ = 0;
    std::multimap<Millis, std::function<void()>> queue_;
    std::vector<std::unique_ptr<Controller>> controllers_;
    std::vector<std::unique_ptr<Controller>> ended_controllers_;
    std::uint64_t incarnations_ = 0;

    std::map<std::string, Stored> keys_;
    std::map<std::uint64_t, std::pair<Millis, Millis>> leases_;  // life, end
    std::vector<Change> log_;
    std::vector<Watch> watches_;
    std::uint64_t revision_ = 10, last_lease_id_ = 0;
    Millis down_until_ = 0;

    std::uint64_t last_fence_[lease::kRoleCount] = {};
    std::size_t act_counts_[lease::kRoleCount] = {};
    std::size_t acts_by_helper_ = 0, acts_refused_ = 0, rentals_ = 0, late_applied_ = 0;
    std::map<std::string, std::size_t> lost_write_replies_by_key_;
    Millis vacant_since_[lease::kRoleCount] = {}, longest_vacancy_[lease::kRoleCount] = {};
};

}  // namespace nickelramp::test
