#include "cluster/term_context.h"

namespace nickelramp::cluster {

void TermContext::end(const std::string& why) {
    if (over_) return;
    over_ = true;
    gateway_.on_deposed(why);
}

bool TermContext::superseded_by_token(const wire::Heartbeat& heartbeat, Millis now) {
    if (shards::term_of(heartbeat.token) <= info_.number) return false;
    if (!is_shard_holder() && lease_confirmed(now)) return false;
    end("machine " + heartbeat.machine + " has seen a later term's token");
    return true;
}

bool TermContext::check_superseded(const kvstore::CommitReply& reply) {
    for (const std::string& key : reply.failed_conditions) {
        const bool of_shard = is_shard_holder() && key == shard_condition_.key;
        if (key != info_.key && !of_shard) continue;
        end(key + " has changed");
        return true;
    }
    return false;
}

std::vector<kvstore::Condition> TermContext::conditions() const {
    std::vector<kvstore::Condition> conditions{{info_.key, info_.version}};
    if (is_shard_holder()) conditions.push_back(shard_condition_);
    return conditions;
}

std::vector<kvstore::Condition> TermContext::conditions(lease::Role role) const {
    std::vector<kvstore::Condition> with_role = conditions();
    with_role.push_back({lease::role_key(role), role_fence(role)});
    return with_role;
}

void TermContext::clear_rejected_role_fences(const kvstore::CommitReply& reply) {
    for (const std::string& key : reply.failed_conditions) {
        const auto role = lease::role_of_key(key);
        if (!role) continue;
        set_role_fence(*role, 0);
        gateway_.on_role_fence_rejected(*role);
    }
}

}  // namespace nickelramp::cluster
