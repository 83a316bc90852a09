/// @file
/// What all parts of one term share: its number and settings, the conditions of its transactions,
/// how long its lease is confirmed, and whether it is over.
#pragma once
#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "admin/options.h"
#include "cluster/service_gateway.h"
#include "lease/role.h"
#include "shards/shard_lease_table.h"
#include "wire/settings.h"

namespace nickelramp::cluster {

/// Identity of a term.
struct TermInfo {
    std::uint64_t number = 0;
    std::string key;            // its record; transactions of the term name it as a condition
    std::uint64_t version = 0;  // of that record for as long as the term lasts
};

/// The leader acts for the whole cluster; a shard holder for the machines of one shard and the jobs
/// that were delegated with it.
enum class TermScope { whole_cluster, single_shard };

/// Created by the controller when a term begins, and destroyed after all parts that refer to it.
/// Settings and gateway must live longer. Used on the loop thread only.
class TermContext {
  public:
    TermContext(const wire::Settings& settings, TermInfo info, TermScope scope,
                ServiceGateway& gateway)
        : settings_(settings), info_(std::move(info)), scope_(scope), gateway_(gateway) {}

    [[nodiscard]] const wire::Settings& settings() const { return settings_; }
    [[nodiscard]] const TermInfo& info() const { return info_; }
    [[nodiscard]] bool is_shard_holder() const { return scope_ == TermScope::single_shard; }
    [[nodiscard]] ServiceGateway& gateway() { return gateway_; }
    [[nodiscard]] const admin::Options& options() const { return options_; }
    void set_options(const admin::Options& options) { options_ = options; }

    // --- the lease

    /// Nothing new is started unless the term certainly still has its lease. A date and not a flag:
    /// after a freeze of the process, events that waited are handled before the timer that would
    /// clear a flag.
    [[nodiscard]] bool lease_confirmed(Millis now) const { return now < lease_confirmed_until_; }
    void confirm_lease_until(Millis until) { lease_confirmed_until_ = until; }

    // --- roles

    /// The fence of whoever has the role; 0: nobody is known to have it.
    [[nodiscard]] std::uint64_t role_fence(lease::Role role) const {
        return role_fences_[static_cast<std::size_t>(role)];
    }
    void set_role_fence(lease::Role role, std::uint64_t fence) {
        role_fences_[static_cast<std::size_t>(role)] = fence;
    }

    // --- the end of the term

    /// Another process acts in its place: nothing is done any more.
    [[nodiscard]] bool is_over() const { return over_; }
    /// Ends the term and tells the gateway, the first time.
    void end(const std::string& why);
    /// Has the machine seen a later term's token? Then the term ends. While a leader certainly has
    /// its lease there can be no later term: such a heartbeat contradicts itself and ends nothing.
    bool superseded_by_token(const wire::Heartbeat& heartbeat, Millis now);
    /// Did the transaction fail because the record of the term, or of the shard that it holds, has
    /// changed? Then the term ends.
    bool check_superseded(const kvstore::CommitReply& reply);
    /// Wraps a callback so that it does nothing once this object is destroyed.
    template <typename Callback>
    [[nodiscard]] auto guarded(Callback callback) {
        return [alive = std::weak_ptr<char>(alive_),
                callback = std::move(callback)](auto&&... arguments) {
            if (alive.lock()) callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    // --- conditions of transactions

    /// The record of the shard that a shard holder has; its transactions name it too.
    void set_shard_condition(kvstore::Condition shard) { shard_condition_ = std::move(shard); }
    /// Of every transaction of the term.
    [[nodiscard]] std::vector<kvstore::Condition> conditions() const;
    /// Of transactions for what is done under a role.
    [[nodiscard]] std::vector<kvstore::Condition> conditions(lease::Role role) const;
    /// Forgets the fences of roles that made the transaction fail, and tells the gateway.
    void note_rejected_role_fences(const kvstore::CommitReply& reply);

  private:
    const wire::Settings& settings_;
    TermInfo info_;
    TermScope scope_;
    ServiceGateway& gateway_;
    admin::Options options_;
    kvstore::Condition shard_condition_;
    Millis lease_confirmed_until_ = kNever;
    std::array<std::uint64_t, lease::kRoleCount> role_fences_{};
    bool over_ = false;
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace nickelramp::cluster
