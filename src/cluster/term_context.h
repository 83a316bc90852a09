/// @file
/// The state shared by all parts of one term: its number and settings, the conditions of its
/// transactions, the confirmed end of its lease, and whether the term has ended.
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
    std::string key;            // of the term's record, a condition of all its transactions
    std::uint64_t version = 0;  // of that record, unchanged during the term
};

/// The scope of a term: a leader controls the whole cluster; a shard holder controls the machines
/// of one shard and the jobs delegated with it.
enum class TermScope { whole_cluster, single_shard };

/// Created by the controller when a term begins, and destroyed after all parts that refer to it.
/// The settings and the gateway must outlive it. Used on the loop thread only.
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

    // --- validity of the term's lease

    /// Returns whether the term certainly still holds its lease. Nothing new is started otherwise.
    /// This compares time points instead of reading a flag that a timer clears: after a freeze of
    /// the process, queued events would be handled before that timer.
    [[nodiscard]] bool lease_confirmed(Millis now) const { return now < lease_confirmed_until_; }
    void confirm_lease_until(Millis until) { lease_confirmed_until_ = until; }

    // --- fences of roles

    /// Returns the role's fence, which is the version of its record; 0 if no holder is known.
    [[nodiscard]] std::uint64_t role_fence(lease::Role role) const {
        return role_fences_[static_cast<std::size_t>(role)];
    }
    void set_role_fence(lease::Role role, std::uint64_t fence) {
        role_fences_[static_cast<std::size_t>(role)] = fence;
    }

    // --- the end of the term

    /// Returns whether the term has ended because another process has replaced this one. No actions
    /// are taken after that.
    [[nodiscard]] bool is_over() const { return over_; }
    /// Ends the term and notifies the gateway. Has no effect if the term has already ended.
    void end(const std::string& why);
    /// Returns whether the heartbeat shows the token of a later term, and ends this term in that
    /// case. While a leader's lease is confirmed there can be no later term, so such a heartbeat is
    /// invalid and does not end the term.
    bool superseded_by_token(const wire::Heartbeat& heartbeat, Millis now);
    /// Returns whether the transaction failed because the record of the term, or of the shard that
    /// it holds, has changed, and ends the term in that case.
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

    /// Sets the condition on the record of a shard holder's shard, which is added to all its
    /// transactions.
    void set_shard_condition(kvstore::Condition shard) { shard_condition_ = std::move(shard); }
    /// Returns the conditions of every transaction of the term.
    [[nodiscard]] std::vector<kvstore::Condition> conditions() const;
    /// Returns the conditions of transactions that require a role.
    [[nodiscard]] std::vector<kvstore::Condition> conditions(lease::Role role) const;
    /// Clears the fences of the roles whose conditions failed in the transaction, and notifies the
    /// gateway.
    void clear_rejected_role_fences(const kvstore::CommitReply& reply);

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
