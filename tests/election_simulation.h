/// @file
/// Simulates leader election and role assignment among three to five controllers that share a
/// key-value store and a cloud, in simulated time.
///
/// Controllers crash and restart as a new process, freeze while their clocks advance, and are
/// partitioned from the state service, the cloud or their peers, with messages lost or delayed.
/// Whenever a controller acts under a role, the simulation asserts that no other controller may act
/// under that role at the same time.
#pragma once
#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lease/role.h"
#include "roles/role_manager.h"
#include "tests/leased_key_value_store.h"
#include "tests/trace.h"

namespace nickelramp::test {

class ElectionSimulation {
  public:
    ElectionSimulation(std::uint64_t seed, std::size_t controllers);
    ~ElectionSimulation();

    /// What a controller can be partitioned from.
    enum class Link { state, cloud, peers };

    void run_until(Millis until);
    Millis now() const { return now_; }

    /// Ends the process. Another process of the same name starts after `restart_after`.
    void crash(std::size_t index, Millis restart_after);
    /// Suspends the process while its clock advances.
    void freeze(std::size_t index, Millis duration);
    /// Loses messages on the link or, if `held`, delivers them after the partition has ended.
    void partition(std::size_t index, Link link, Millis duration, bool held);
    void take_state_service_down(Millis duration);
    /// Probability that a message of any kind is lost.
    double message_loss = 0;
    /// Probability that a transaction, or the revocation of a lease, gets no reply and is executed
    /// 2 to 12 s later.
    double late_writes = 0;
    /// Probability that a transaction, or a request for a lease, is executed at once and only its
    /// reply is lost.
    double lost_write_replies = 0;
    /// Probability that a request that changes something and was answered arrives again, between a
    /// moment and a minute later. Nobody receives the reply to the copy.
    double repeated_requests = 0;
    /// Returns the number of copies that were executed.
    std::size_t copies() const { return copies_; }
    /// Returns the number of writes with a lost reply that changed keys with the prefix. The prefix
    /// "hold" stands for lease requests.
    std::size_t lost_write_replies_of(const std::string& prefix) const;
    std::size_t late_applied() const { return late_applied_; }

    std::size_t size() const { return controllers_.size(); }
    /// Returns the index of the controller whose leader lease is valid now, or size() if there is
    /// none.
    std::size_t leader() const;
    /// Returns the index of a controller that may act under the role now, or size() if there is
    /// none.
    std::size_t role_holder(lease::Role role) const;
    roles::RoleManager& role_manager(std::size_t index);
    /// Returns the longest time since the last call during which no controller could act under the
    /// role.
    Millis longest_vacancy(lease::Role role);
    std::size_t act_count(lease::Role role) const {
        return act_counts_[static_cast<std::size_t>(role)];
    }
    std::size_t acts_by_helper() const { return acts_by_helper_; }
    /// Returns the number of requests that were not sent because the lease had expired before they
    /// were due.
    std::size_t acts_refused() const { return acts_refused_; }
    void set_key(const std::string& key, const wire::Json& value) { store_.set_key(key, value); }
    std::size_t count_keys(const std::string& prefix) const { return store_.count_keys(prefix); }

  private:
    struct Controller;  // defined in tests/election_simulation_controller.h

    /// One request to the state service or the cloud.
    template <typename Reply>
    struct Request {
        Link link = Link::state;
        std::function<Reply()> execute;
        std::function<void(Millis now, const Reply&)> done;
        Reply refused{};                 ///< the reply if the request is not sent
        Reply unknown{};                 ///< the reply if none arrives
        std::function<bool()> may_send;  ///< checked before sending; empty: always sent
        std::function<void()> on_sent;
    };
    enum class RequestKind { read, lease, transaction, cloud };
    /// The fate of a request and of its reply in the network.
    struct Delivery {
        Millis delay = 0;
        bool arrives = true;
        bool reply_arrives = true;
        bool executed_late = false;
        bool only_reply_lost = false;
    };

    void at(Millis time, std::function<void()> event) { queue_.emplace(time, std::move(event)); }
    Millis delay(Millis max) {
        return 1 + static_cast<Millis>(random_() % static_cast<unsigned>(max));
    }
    bool chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    /// Runs the event at the given time, or once the process is no longer frozen. Drops it if the
    /// process has ended. After a freeze, timers run after the pending messages.
    void run_in_process(Controller& controller, Millis time, std::function<void()> event,
                        bool is_timer = false);
    template <typename Reply>
    void send_request(Controller& controller, Request<Reply> request);
    Delivery draw_delivery(const Controller& controller, Link link, RequestKind kind);
    void repeat_request(Link link, const std::function<void()>& execute);
    void count_lost_replies(RequestKind kind, std::size_t first_change);

    void start(std::size_t index);
    void tick(Controller& controller);
    void request_cloud_changes(Controller& controller);
    void send_status(Controller& controller);
    void send_message(Controller& from, const std::string& to,
                      std::function<void(Controller&)> deliver);
    Controller* controller_named(const std::string& name);
    bool is_partitioned(const Controller& controller, Link link) const;
    void run_due_events();
    void check_role(lease::Role role);
    void on_act(Controller& controller, lease::Role role, std::uint64_t fence);
    bool may_act(const Controller& controller, lease::Role role) const;

    Trace trace_;
    std::mt19937_64 random_;
    Millis now_ = 0;
    std::multimap<Millis, std::function<void()>> queue_;
    std::vector<std::unique_ptr<Controller>> controllers_;
    std::vector<std::unique_ptr<Controller>> ended_controllers_;  ///< events still refer to them
    std::uint64_t incarnations_ = 0;
    LeasedKeyValueStore store_{[this] { return now_; }};

    std::uint64_t last_fence_[lease::kRoleCount] = {};
    std::size_t act_counts_[lease::kRoleCount] = {};
    std::size_t acts_by_helper_ = 0;
    std::size_t acts_refused_ = 0;
    std::size_t requests_ = 0;
    std::size_t late_applied_ = 0;
    std::size_t copies_ = 0;
    std::map<std::string, std::size_t> lost_write_replies_by_key_;
    Millis vacant_since_[lease::kRoleCount] = {};
    Millis longest_vacancy_[lease::kRoleCount] = {};
};

}  // namespace nickelramp::test
