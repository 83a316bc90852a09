#include "roles/role_manager.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace nickelramp::roles {

namespace {
constexpr Millis kAssignmentDuration = 4'000;  // by the helper's clock
// Time after the last assignment at which the helper gives up its lease.
constexpr Millis kHelperLeaseIdle = 30'000;

std::size_t index_of(lease::Role role) { return static_cast<std::size_t>(role); }

const cloud::ProvisionReply& not_sent_reply() {
    static const cloud::ProvisionReply reply{cloud::ProvisionReply::Result::not_sent, {}};
    return reply;
}
}  // namespace

RoleManager::RoleManager(std::string name, std::uint64_t incarnation, std::size_t max_operations,
                         RoleServices services)
    : name_(std::move(name)),
      incarnation_(incarnation),
      services_(services),
      assigner_(name_, incarnation, services.store, services.leadership),
      garbage_collector_(max_operations, services.store),
      scale_out_guard_([this] { return services_.leadership.clock(); },
                       [this] { return lease_for(lease::Role::scale_out); }),
      scale_in_guard_([this] { return services_.leadership.clock(); },
                      [this] { return lease_for(lease::Role::scale_in); }),
      garbage_collection_guard_([this] { return services_.leadership.clock(); },
                                [this] { return lease_for(lease::Role::garbage_collection); }),
      helper_lease_(services.store, [this] { assigner_.on_lease_lost(); }) {}

lease::Lease RoleManager::lease_for(lease::Role role) const {
    const std::uint64_t fence = assigner_.acting_fence(role);
    if (fence == 0) return {};
    if (assigner_.is_leading()) return {fence, services_.leadership.leader_lease().expires_at};
    return {fence, std::min(helper_lease_.valid_until(), assigned_until_[index_of(role)])};
}

wire::Json RoleManager::overview() const {
    wire::Json page = wire::Json::object();
    for (lease::Role role : lease::kAllRoles) {
        page[lease::name(role)] = {{"state", name(assigner_.state(role))},
                                   {"holder", assigner_.record(role).holder},
                                   {"fence", assigner_.fence(role)}};
    }
    page["swept"] = {{"rounds", garbage_collector_.rounds()},
                     {"dropped", garbage_collector_.deleted_records()},
                     {"requests", garbage_collector_.requests()}};
    return page;
}

// --- Calls on the leader

void RoleManager::start_leading(std::uint64_t term, kvstore::Condition condition,
                                std::uint64_t lease_id, Millis now) {
    // Roles attached to the helper lease become vacant.
    helper_lease_.release(HelperLease::EndReason::became_leader);
    term_ = term;
    leading_since_ = now;
    helper_.clear();
    std::fill(std::begin(assignment_sent_at_), std::end(assignment_sent_at_), now);
    assigner_.start_leading(std::move(condition), lease_id, now);
}

void RoleManager::stop_leading() {
    assigner_.stop_leading();
    term_ = 0;
}

// There is one helper at a time, and it is kept while it is eligible. Controllers that already hold
// a role are preferred.
void RoleManager::choose_helper(Millis now) {
    if (peers_.find_eligible(helper_, now) != nullptr) return;
    helper_.clear();
    for (lease::Role role : lease::kAllRoles) {
        if (assigner_.state(role) != RoleState::held_elsewhere) continue;
        const std::string& holder = assigner_.record(role).holder;
        if (peers_.find_eligible(holder, now) != nullptr) helper_ = holder;
    }
    if (helper_.empty()) helper_ = peers_.first_eligible(now);
    if (!helper_.empty()) spdlog::info("roles: helper={}", helper_);
}

// Garbage collection needs none of the leader's in-memory state. The cloud roles move to a helper
// while the leader gets no reply from the cloud, because the helper may have a working network path
// to it. Shards are reclaimed by the leader, because this needs its cluster state.
bool RoleManager::better_held_by_helper(lease::Role role, Millis now) const {
    if (role == lease::Role::garbage_collection) return true;
    if (role == lease::Role::shard_reclaim) return false;
    return services_.cloud.is_unreachable(now);
}

lease::RoleRecord RoleManager::helper_record(const PeerDirectory::Peer& helper) const {
    return {helper_, helper.incarnation, helper.lease_id};
}

void RoleManager::assign_roles(Millis now) {
    choose_helper(now);
    const PeerDirectory::Peer* helper = peers_.find_eligible(helper_, now);
    for (lease::Role role : lease::kAllRoles) assign_role(role, helper, now);
}

void RoleManager::assign_role(lease::Role role, const PeerDirectory::Peer* helper, Millis now) {
    const bool helper_preferred = better_held_by_helper(role, now) && helper != nullptr;
    Millis& sent_at = assignment_sent_at_[index_of(role)];
    if (assigner_.state(role) == RoleState::held_here && helper_preferred &&
        helper->lease_id != 0) {
        sent_at = now;
        assigner_.transfer(role, helper_record(*helper));
    } else if (assigner_.state(role) == RoleState::held_elsewhere) {
        const bool holder_is_helper =
            helper != nullptr && assigner_.record(role) == helper_record(*helper);
        const bool keep = helper_preferred && holder_is_helper && assigner_.may_assign(role);
        // After this time all assignments of this leader and of earlier leaders have expired, so
        // that nobody acts under the role even if its holder is unreachable.
        const Millis all_expired_at =
            with_clock_drift(kAssignmentDuration) + std::max(sent_at, leading_since_);
        if (!keep && now > all_expired_at) assigner_.transfer_back(role);
    }
}

void RoleManager::send_assignment(Millis now) {
    if (!assigner_.is_leading()) return;
    const PeerDirectory::Peer* helper = peers_.find_eligible(helper_, now);
    if (helper == nullptr) return;
    peers::RoleAssignment assignment;
    assignment.from = name_;
    assignment.term = term_;
    assignment.incarnation = helper->incarnation;
    assignment.status_clock_ms = helper->clock_ms;
    assignment.lease_ms = static_cast<std::uint64_t>(kAssignmentDuration);
    for (lease::Role role : lease::kAllRoles) {
        if (!assigner_.may_assign(role) || !better_held_by_helper(role, now)) continue;
        const lease::RoleRecord& record = assigner_.record(role);
        if (record != helper_record(*helper)) continue;
        assignment_sent_at_[index_of(role)] = now;
        assignment.roles.push_back({index_of(role), assigner_.fence(role), record.lease_id});
    }
    services_.peers.send_assignment(helper_, assignment);
}

void RoleManager::provision(const cloud::ProvisioningIntent& intent, ProvisionDone done,
                            Millis now) {
    const RoleState state = assigner_.state(lease::Role::scale_out);
    if (state == RoleState::held_elsewhere) {
        peers::DelegatedRequest request;
        request.request = intent.name;
        request.type = intent.type;
        request.zone = intent.zone;
        request.spot = intent.spot ? 1 : 0;
        request.count = intent.count;
        return delegate(lease::Role::scale_out, std::move(request), std::move(done), now);
    }
    const auto proof = scale_out_guard_.prove();
    if (!proof) return answer_not_sent(std::move(done));
    services_.cloud.provision(*proof, intent, std::move(done));
}

void RoleManager::release(const std::vector<std::string>& machines, ProvisionDone done,
                          Millis now) {
    const RoleState state = assigner_.state(lease::Role::scale_in);
    if (state == RoleState::held_elsewhere) {
        peers::DelegatedRequest request;
        request.machines = machines;
        return delegate(lease::Role::scale_in, std::move(request), std::move(done), now);
    }
    const auto proof = scale_in_guard_.prove();
    if (!proof) return answer_not_sent(std::move(done));
    services_.cloud.release(*proof, machines, std::move(done));
}

void RoleManager::answer_not_sent(ProvisionDone done) {
    deferred_.emplace_back([done = std::move(done)](Millis now) { done(now, not_sent_reply()); });
}

void RoleManager::delegate(lease::Role role, peers::DelegatedRequest request, ProvisionDone done,
                           Millis now) {
    const lease::RoleRecord& record = assigner_.record(role);
    const std::uint64_t sequence = delegated_requests_.add(now, std::move(done));
    request.from = name_;
    request.incarnation = record.incarnation;
    request.role = index_of(role);
    request.fence = assigner_.fence(role);
    request.sequence = sequence;
    if (services_.peers.send_request(record.holder, request)) return;
    deferred_.emplace_back(
        [this, sequence](Millis now) { delegated_requests_.on_not_sent(sequence, now); });
}

// --- Calls on a helper

void RoleManager::fill_status(peers::Status& status, Millis now) const {
    status.lease_id = helper_lease_.valid_id(now);
}

// The assignment's duration counts from the time at which this controller sent the status that the
// assignment answers.
void RoleManager::on_assignment(const peers::RoleAssignment& assignment, Millis now) {
    const Millis status_sent_at = static_cast<Millis>(assignment.status_clock_ms);
    if (assigner_.is_leading() || assignment.incarnation != incarnation_ ||
        assignment.term < assigning_term_ || status_sent_at > now) {
        return;
    }
    const Millis valid_until =
        status_sent_at + without_clock_drift(static_cast<Millis>(assignment.lease_ms));
    if (valid_until <= now) return;  // expired in transit
    assigning_term_ = assignment.term;
    helper_lease_.keep_until(now + kHelperLeaseIdle);
    for (lease::Role role : lease::kAllRoles) assign_from(assignment, role, valid_until);
}

void RoleManager::assign_from(const peers::RoleAssignment& assignment, lease::Role role,
                              Millis valid_until) {
    const auto assigned =
        std::find_if(assignment.roles.begin(), assignment.roles.end(),
                     [&](const auto& each) { return each.number == index_of(role); });
    if (assigned == assignment.roles.end() || helper_lease_.id() == 0 ||
        assigned->lease_id != helper_lease_.id()) {
        assigner_.on_unassigned(role);
        return;
    }
    const bool known = assigner_.acting_fence(role) == assigned->fence;
    assigner_.on_assigned(role, assigned->fence, assigned->lease_id);
    Millis& until = assigned_until_[index_of(role)];
    until = known ? std::max(until, valid_until) : valid_until;
}

void RoleManager::on_delegated_request(const peers::DelegatedRequest& request) {
    auto answer = [this, from = request.from, sequence = request.sequence](
                      Millis, const cloud::ProvisionReply& reply) {
        services_.peers.send_result(
            from, {name_, sequence, static_cast<std::uint64_t>(reply.result), reply.machines});
    };
    const bool for_this_process = request.incarnation == incarnation_;
    if (for_this_process &&
        (execute_provision(request, answer) || execute_release(request, answer)))
        return;
    answer(0, not_sent_reply());
}

// Returns false if the request does not ask for machines, or if this controller may not execute it.
bool RoleManager::execute_provision(const peers::DelegatedRequest& request,
                                    const ProvisionDone& done) {
    if (request.role != index_of(lease::Role::scale_out)) return false;
    if (request.count == 0 || request.count > UINT32_MAX) return false;
    const auto proof = scale_out_guard_.prove();
    if (!proof || proof->fence() != request.fence) return false;
    const cloud::ProvisioningIntent intent{request.request, request.type, request.zone,
                                           request.spot != 0,
                                           static_cast<std::uint32_t>(request.count)};
    services_.cloud.provision(*proof, intent, done);
    return true;
}

bool RoleManager::execute_release(const peers::DelegatedRequest& request,
                                  const ProvisionDone& done) {
    if (request.role != index_of(lease::Role::scale_in) || request.machines.empty()) return false;
    const auto proof = scale_in_guard_.prove();
    if (!proof || proof->fence() != request.fence) return false;
    services_.cloud.release(*proof, request.machines, done);
    return true;
}

// --- Calls on either

void RoleManager::run_due_work(Millis now) {
    for (const auto& answer : std::exchange(deferred_, {})) answer(now);
    delegated_requests_.expire(now);
    assigner_.run_due_work(now);
    const bool leading = assigner_.is_leading();
    if (leading && now < services_.leadership.leader_lease().expires_at) assign_roles(now);
    if (!assigner_.is_leading()) helper_lease_.run_due_work(now);
    garbage_collector_.run_due_work(garbage_collection_guard_.prove(), now);
}

}  // namespace nickelramp::roles
