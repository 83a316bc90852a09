// What all parts of one term share: under which term and settings they act, on which conditions
// their transactions stand, and whether it is over.
#pragma once
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

struct TermInfo {
    std::uint64_t number = 0;
    std::string key;            // conditional transactions name it
    std::uint64_t version = 0;  // its stamp while this term lasts
};

// The leader's book has everything; a holder's only a block of machines and the jobs lent with it.
enum class TermScope { whole_cluster, single_shard };

class TermContext {
  public:
    TermContext(const wire::Settings& settings, TermInfo info, TermScope role,
                ServiceGateway& gateway)
        : settings_(settings), info_(std::move(info)), scope_(role), gateway_(gateway) {}

    const wire::Settings& settings() const { return settings_; }
    const TermInfo& info() const { return info_; }
    bool is_shard_holder() const { return scope_ == TermScope::single_shard; }
    ServiceGateway& gateway() { return gateway_; }
    const admin::Options& options() const { return options_; }
    void set_options(const admin::Options& options) { options_ = options; }

    // While not certain to lead (or to hold its block), nothing new is started. A date and not a
    // flag: after a freeze, what waited is handled before the timer that would lower a flag.
    bool lease_confirmed(Millis now) const { return now < lease_confirmed_until_; }
    void confirm_lease_until(Millis until) { lease_confirmed_until_ = until; }

    // The duty's fence, whoever has it; 0: nobody is known to.
    std::uint64_t role_fence(lease::Role role) const {
        return role_fences_[static_cast<std::size_t>(role)];
    }
    void set_role_fence(lease::Role role, std::uint64_t fence) {
        role_fences_[static_cast<std::size_t>(role)] = fence;
    }

    // Somebody else acts in its place: nothing is done any more.
    bool is_over() const { return over_; }
    void end(const std::string& why) {
        if (over_) return;
        over_ = true;
        gateway_.on_deposed(why);
    }

    // Has the machine seen a later term's token? While a leader's hold certainly lasts there is no
    // later term: then the report contradicts itself, and ends nothing.
    bool superseded_by_token(const wire::Heartbeat& heartbeat, Millis now) {
        if (shards::term_of(heartbeat.token) <= info_.number) return false;
        if (!is_shard_holder() && lease_confirmed(now)) return false;
        end("machine " + heartbeat.machine + " has seen a later term's token");
        return true;
    }

    // A holder's transactions name its grant's record too.
    void set_shard_condition(kvstore::Condition grant) { shard_condition_ = std::move(grant); }
    std::vector<kvstore::Condition> conditions() const {
        std::vector<kvstore::Condition> out{{info_.key, info_.version}};
        if (is_shard_holder()) out.push_back(shard_condition_);
        return out;
    }
    // Those of what is done under a duty.
    std::vector<kvstore::Condition> conditions(lease::Role role) const {
        auto out = conditions();
        out.push_back({lease::role_key(role), role_fence(role)});
        return out;
    }
    // The transaction may have failed because a duty is another's, or nobody's, by now.
    void note_rejected_role_fences(const kvstore::CommitReply& reply) {
        for (const std::string& key : reply.failed_conditions) {
            auto role = lease::role_of_key(key);
            if (!role) continue;
            set_role_fence(*role, 0);
            gateway_.on_role_fence_rejected(*role);
        }
    }
    // Did the transaction fail because the term, or this holder's grant, is over?
    bool check_superseded(const kvstore::CommitReply& reply) {
        for (const std::string& key : reply.failed_conditions) {
            if (key != info_.key && (!is_shard_holder() || key != shard_condition_.key)) continue;
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
    TermScope scope_;
    ServiceGateway& gateway_;
    admin::Options options_;
    kvstore::Condition shard_condition_;
    Millis lease_confirmed_until_ = kNever;
    std::uint64_t role_fences_[lease::kRoleCount] = {};
    bool over_ = false;
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace nickelramp::cluster
