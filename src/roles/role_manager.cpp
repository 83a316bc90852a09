#include "roles/role_manager.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "readiness/peer_health.h"

namespace nickelramp::roles {

namespace {
constexpr Millis kRetry = 500;
constexpr Millis kCharge = 4'000;      // a charge lasts so long, by the helper's clock
constexpr Millis kUncharged = 30'000;  // then the helper lets its hold go
std::size_t at(lease::Role role) { return static_cast<std::size_t>(role); }
}  // namespace

RoleManager::RoleManager(std::string node, std::uint64_t incarnation, std::size_t most_writes,
                         Hooks hooks)
    : node_(std::move(node)),
      incarnation_(incarnation),
      hooks_(std::move(hooks)),
      assigner_(
          node_, incarnation,
          {[this](kvstore::Transaction transaction, CommitDone done) {
               hooks_.commit(std::move(transaction), std::move(done));
           },
           [this](ListDone done) { hooks_.list(lease::kRoleKeyPrefix, std::move(done)); },
           [this](lease::Role role, std::uint64_t fence) { hooks_.fence_changed(role, fence); }}),
      garbage_collector_(
          most_writes,
          {[this](const std::string& prefix, const std::string& after, std::size_t most,
                  ListDone done) { hooks_.list_page(prefix, after, most, std::move(done)); },
           [this](const lease::LeaseProof<lease::GarbageCollection>& permit,
                  kvstore::Transaction transaction, CommitDone done) {
               hooks_.commit_garbage_collection(permit, std::move(transaction), std::move(done));
           },
           [this] { return hooks_.has_spare_budget(); }}),
      scale_out_guard_([this] { return hooks_.clock(); },
                       [this] { return lease_for(lease::Role::scale_out); }),
      scale_in_guard_([this] { return hooks_.clock(); },
                      [this] { return lease_for(lease::Role::scale_in); }),
      garbage_collection_guard_([this] { return hooks_.clock(); },
                                [this] { return lease_for(lease::Role::garbage_collection); }),
      helper_lease_validity_(lease::kLeaseDuration) {}

lease::Lease RoleManager::lease_for(lease::Role role) const {
    const std::uint64_t fence = assigner_.acting_fence(role);
    if (fence == 0) return {};
    if (assigner_.is_leading()) return {fence, hooks_.leader_lease().expires_at};
    return {fence, std::min(helper_lease_validity_.valid_until(), assigned_until_[at(role)])};
}

wire::Json RoleManager::overview() const {
    wire::Json out = wire::Json::object();
    for (lease::Role role : lease::kAllRoles) {
        out[lease::name(role)] = {{"state", name(assigner_.state(role))},
                                  {"holder", assigner_.record(role).holder},
                                  {"fence", assigner_.fence(role)}};
    }
    out["swept"] = {{"rounds", garbage_collector_.rounds()},
                    {"dropped", garbage_collector_.deleted_records()},
                    {"requests", garbage_collector_.requests()}};
    return out;
}

// --- the leader's side

void RoleManager::start_leading(std::uint64_t number, kvstore::Condition term, std::uint64_t hold,
                                Millis now) {
    if (helper_lease_state_ == HelperLeaseState::held)
        hooks_.revoke_lease(helper_lease_id_);  // what hung on it falls vacant
    drop_helper_lease("this node leads");
    term_ = number;
    leading_since_ = now;
    helper_.clear();
    std::fill(std::begin(assignment_sent_at_), std::end(assignment_sent_at_), now);
    assigner_.start_leading(std::move(term), hold, now);
}

void RoleManager::stop_leading() {
    assigner_.stop_leading();
    term_ = 0;
}

void RoleManager::on_status(const peers::Status& status, Millis now) {
    peers_[status.from] = {status.incarnation, status.clock_ms, status.lease_id,
                           status.state_age_ms < readiness::kRecentAnswerMs, now};
}

const RoleManager::Peer* RoleManager::fresh_peer(const std::string& name, Millis now) const {
    auto it = peers_.find(name);
    if (it == peers_.end() || !it->second.state_service_answers) return nullptr;
    return now - it->second.last_status_at > readiness::kPeerStatusLifetime ? nullptr : &it->second;
}

// One at a time, and no change without need; whoever has a duty already is the first choice.
void RoleManager::choose_helper(Millis now) {
    if (fresh_peer(helper_, now) != nullptr) return;
    helper_.clear();
    for (lease::Role role : lease::kAllRoles) {
        if (assigner_.state(role) != RoleState::held_elsewhere) continue;
        if (fresh_peer(assigner_.record(role).holder, now) != nullptr)
            helper_ = assigner_.record(role).holder;
    }
    for (const auto& [name, p] : peers_) {
        if (helper_.empty() && fresh_peer(name, now) != nullptr) helper_ = name;
    }
    if (!helper_.empty()) spdlog::info("duties: {} helps", helper_);
}

// Cleaning needs nothing of the leader's memory. The cloud is asked by a helper while the leader
// itself gets no answer: the way there is another, or nothing is lost by trying. What takes blocks
// back is the leader's own book.
bool RoleManager::better_held_by_helper(lease::Role role, Millis now) const {
    if (role == lease::Role::garbage_collection) return true;
    if (role == lease::Role::shard_reclaim) return false;
    return hooks_.cloud_unreachable(now);
}

void RoleManager::assign_roles(Millis now) {
    choose_helper(now);
    const Peer* peer = fresh_peer(helper_, now);
    for (lease::Role role : lease::kAllRoles) {
        const bool out = better_held_by_helper(role, now) && peer != nullptr;
        if (assigner_.state(role) == RoleState::held_here && out && peer->lease_id != 0) {
            assignment_sent_at_[at(role)] = now;
            assigner_.transfer(role, {helper_, peer->incarnation, peer->lease_id});
        } else if (assigner_.state(role) == RoleState::held_elsewhere) {
            const lease::RoleRecord& record = assigner_.record(role);
            const bool theirs = peer != nullptr && record.holder == helper_ &&
                                record.incarnation == peer->incarnation &&
                                record.lease_id == peer->lease_id;
            // Charges end by themselves, this leader's and those of the ones before it: then nobody
            // acts under the duty, whether its holder can be asked or not.
            const Millis over =
                with_clock_drift(kCharge) + std::max(assignment_sent_at_[at(role)], leading_since_);
            if (!(out && theirs && assigner_.may_assign(role)) && now > over)
                assigner_.take_back(role);
        }
    }
}

void RoleManager::send_assignment(Millis now) {
    const Peer* peer = assigner_.is_leading() ? fresh_peer(helper_, now) : nullptr;
    if (peer == nullptr) return;
    peers::RoleAssignment assignment;
    assignment.from = node_;
    assignment.term = term_;
    assignment.incarnation = peer->incarnation;
    assignment.status_clock_ms = peer->clock_ms;
    assignment.lease_ms = static_cast<std::uint64_t>(kCharge);
    for (lease::Role role : lease::kAllRoles) {
        if (!assigner_.may_assign(role) || !better_held_by_helper(role, now)) continue;
        const lease::RoleRecord& record = assigner_.record(role);
        if (record != lease::RoleRecord{helper_, peer->incarnation, peer->lease_id}) continue;
        assignment_sent_at_[at(role)] = now;
        assignment.roles.push_back({at(role), assigner_.fence(role), record.lease_id});
    }
    hooks_.send_assignment(helper_, assignment);
}

// --- the helper's side

void RoleManager::fill_status(peers::Status& status, Millis now) const {
    status.lease_id =
        helper_lease_state_ == HelperLeaseState::held && helper_lease_validity_.valid(now)
            ? helper_lease_id_
            : 0;
}

// The lease runs from when this node sent the status that the charge answers.
void RoleManager::on_assignment(const peers::RoleAssignment& assignment, Millis now) {
    const Millis asked = static_cast<Millis>(assignment.status_clock_ms);
    if (assigner_.is_leading() || assignment.incarnation != incarnation_ ||
        assignment.term < assigning_term_ || asked > now) {
        return;
    }
    const Millis until = asked + without_clock_drift(static_cast<Millis>(assignment.lease_ms));
    if (until <= now) return;  // held up on its way
    assigning_term_ = assignment.term;
    keep_helper_lease_until_ = now + kUncharged;
    for (lease::Role role : lease::kAllRoles) {
        auto it = std::find_if(assignment.roles.begin(), assignment.roles.end(),
                               [&](const auto& c) { return c.number == at(role); });
        if (it == assignment.roles.end() || it->lease_id != helper_lease_id_ ||
            helper_lease_state_ != HelperLeaseState::held) {
            assigner_.on_unassigned(role);
            continue;
        }
        const bool known = assigner_.acting_fence(role) == it->fence;
        assigner_.on_assigned(role, it->fence, it->lease_id);
        assigned_until_[at(role)] = known ? std::max(assigned_until_[at(role)], until) : until;
    }
}

void RoleManager::drop_helper_lease(const char* why) {
    if (helper_lease_state_ == HelperLeaseState::none) return;
    spdlog::info("duties: this helper's hold is over: {}", why);
    helper_lease_validity_.reset();
    helper_lease_id_ = 0;
    set_helper_lease_state(HelperLeaseState::none);
    assigner_.on_lease_lost();
}

void RoleManager::maintain_helper_lease(Millis now) {
    if (assigner_.is_leading()) return;
    if (helper_lease_state_ == HelperLeaseState::held && now >= keep_helper_lease_until_) {
        hooks_.revoke_lease(helper_lease_id_);
        drop_helper_lease("nobody asks for help");
    }
    if (now < renew_at_) return;
    if (helper_lease_state_ == HelperLeaseState::none && now < keep_helper_lease_until_) {
        set_helper_lease_state(HelperLeaseState::acquiring);
        renew_at_ = now + lease::kLeaseRenewInterval;
        hooks_.grant_lease(lease::kLeaseDuration,
                           [this, now](Millis t, const kvstore::LeaseReply& reply) {
                               if (helper_lease_state_ != HelperLeaseState::acquiring) {
                                   if (reply.status == kvstore::Status::ok)
                                       hooks_.revoke_lease(reply.lease_id);
                                   return;
                               }
                               if (reply.status != kvstore::Status::ok) {
                                   set_helper_lease_state(HelperLeaseState::none);
                                   renew_at_ = t + kRetry;
                                   return;
                               }
                               helper_lease_id_ = reply.lease_id;
                               helper_lease_validity_.reset();
                               helper_lease_validity_.extend(now);
                               set_helper_lease_state(HelperLeaseState::held);
                           });
    } else if (helper_lease_state_ == HelperLeaseState::held) {
        renew_at_ = now + lease::kLeaseRenewInterval;
        hooks_.renew_lease(helper_lease_id_, [this, now, hold = helper_lease_id_](
                                                 Millis, const kvstore::LeaseReply& reply) {
            if (hold != helper_lease_id_ || helper_lease_state_ != HelperLeaseState::held) return;
            if (reply.status == kvstore::Status::ok)
                helper_lease_validity_.extend(now);
            else if (reply.status == kvstore::Status::missing)
                drop_helper_lease("it ended");
        });
    }
}

// --- both

void RoleManager::run_due_work(Millis now) {
    auto answers = std::move(deferred_answers_);
    deferred_answers_.clear();
    for (auto& [done, reply] : answers) done(now, reply);
    delegated_requests_.expire(now);
    assigner_.run_due_work(now);
    if (assigner_.is_leading() && now < hooks_.leader_lease().expires_at) assign_roles(now);
    maintain_helper_lease(now);
    garbage_collector_.run_due_work(garbage_collection_guard_.prove(), now);
}

template <typename Send>
void RoleManager::dispatch_request(lease::Role role, peers::DelegatedRequest request,
                                   ProvisionDone done, Millis now, Send&& send) {
    if (assigner_.state(role) == RoleState::held_here) {
        if (send(done)) return;
    } else if (assigner_.state(role) == RoleState::held_elsewhere) {
        const lease::RoleRecord& record = assigner_.record(role);
        request.from = node_;
        request.incarnation = record.incarnation;
        request.role = at(role);
        request.fence = assigner_.fence(role);
        request.sequence = delegated_requests_.add(now, done);
        if (hooks_.send_request(record.holder, request)) return;
        // Answered at the next turn, like everything that is not sent.
        done = [this, n = request.sequence](Millis t, const cloud::ProvisionReply&) {
            delegated_requests_.on_not_sent(n, t);
        };
    }
    answer_next_turn(std::move(done), {cloud::ProvisionReply::Result::not_sent, {}});
}

void RoleManager::provision(const autoscaling::ProvisioningIntent& rental, ProvisionDone done,
                            Millis now) {
    peers::DelegatedRequest e;
    e.request = rental.name;
    e.type = rental.type;
    e.zone = rental.zone;
    e.spot = rental.spot ? 1 : 0;
    e.count = rental.count;
    dispatch_request(lease::Role::scale_out, std::move(e), std::move(done), now,
                     [&](ProvisionDone& answer) {
                         auto permit = scale_out_guard_.prove();
                         if (permit) hooks_.provision(*permit, rental, std::move(answer));
                         return permit.has_value();
                     });
}

void RoleManager::release(const std::vector<std::string>& machines, ProvisionDone done,
                          Millis now) {
    peers::DelegatedRequest e;
    e.machines = machines;
    dispatch_request(lease::Role::scale_in, std::move(e), std::move(done), now,
                     [&](ProvisionDone& answer) {
                         auto permit = scale_in_guard_.prove();
                         if (permit) hooks_.release(*permit, machines, std::move(answer));
                         return permit.has_value();
                     });
}

void RoleManager::on_delegated_request(const peers::DelegatedRequest& request, Millis) {
    auto answer = [this, from = request.from, number = request.sequence](
                      Millis, const cloud::ProvisionReply& reply) {
        hooks_.send_result(
            from, {node_, number, static_cast<std::uint64_t>(reply.result), reply.machines});
    };
    const bool mine = request.incarnation == incarnation_;
    auto renting = scale_out_guard_.prove();
    auto returning = scale_in_guard_.prove();
    if (mine && request.role == at(lease::Role::scale_out) && renting &&
        renting->fence() == request.fence && request.count > 0 && request.count <= UINT32_MAX) {
        hooks_.provision(*renting,
                         {request.request, request.type, request.zone, request.spot != 0,
                          static_cast<std::uint32_t>(request.count)},
                         answer);
    } else if (mine && request.role == at(lease::Role::scale_in) && returning &&
               returning->fence() == request.fence && !request.machines.empty()) {
        hooks_.release(*returning, request.machines, answer);
    } else {
        answer(0, {cloud::ProvisionReply::Result::not_sent, {}});
    }
}

}  // namespace nickelramp::roles
