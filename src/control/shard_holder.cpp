#include "control/shard_holder.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::control {

namespace {
constexpr Millis kTend = 10'000;
}

ShardHolder::ShardHolder(const wire::Settings& settings, std::string term_key,
                         ServiceGateway& gateway, std::uint64_t incarnation)
    : settings_(settings),
      term_key_(std::move(term_key)),
      gateway_(gateway),
      incarnation_(incarnation) {}

// The lease runs from when this node sent the status that the grant answers.
void ShardHolder::on_grant(const peers::ShardGrant& g, const std::vector<wire::MachineType>& types,
                           std::int64_t wall_ms, Millis now) {
    Millis asked = static_cast<Millis>(g.status_clock_ms);
    bool older = g.term < grant_.term || (g.term == grant_.term && g.token < grant_.token);
    // Not for the process before this one, and not for a block that was let go: commands under its
    // token may still be under way.
    if (asked > now || older || g.incarnation != incarnation_ || g.token == ended_token_) return;
    Millis until = asked + without_clock_drift(static_cast<Millis>(g.lease_ms));
    if (until <= now || types.empty()) return;
    if (state_ == ShardHolderState::empty || g.token != grant_.token) {
        end("another block is granted");
        spdlog::info("holding block {} of {} machines for {}", g.shard, g.machines.size(), g.from);
        grant_ = g;
        control_loop_ =
            std::make_unique<ControlLoop>(settings_, TermInfo{g.term, term_key_, g.term_version},
                                          gateway_, now, TermScope::single_shard);
        control_loop_->set_machine_types(types);
        control_loop_->take_shard(g, now);
        lease_until_ = cancellations_known_until_ = 0;
    }
    lease_until_ = std::max(lease_until_, until);
    cancellations_known_until_ =
        std::max(cancellations_known_until_, asked - static_cast<Millis>(g.view_age_ms));
    set_state(ShardHolderState::active);
    control_loop_->confirm_lease_until(lease_until_);
    for (const auto& job : g.jobs) {
        if (job.cancelled != 0) control_loop_->cancel_delegated_job(job.id, now);
        if (jobs_.emplace(job.id, false).second) load_job(job.id, wall_ms);
    }
}

// A lent job comes with its id only; its records are read from the state service.
void ShardHolder::load_job(const std::string& id, std::int64_t wall_ms) {
    auto mine = [this, alive = std::weak_ptr<char>(alive_), token = grant_.token, id] {
        return alive.lock() && control_loop_ && grant_.token == token && jobs_.count(id) != 0;
    };
    gateway_.read(
        jobs::open_key(id), [this, id, mine, wall_ms](Millis, const kvstore::GetReply& open) {
            if (!mine()) return;
            if (open.status == kvstore::Status::missing) {
                jobs_[id] = true;  // over already
                return;
            }
            auto record = open.status == kvstore::Status::ok
                              ? jobs::decode_open_record(open.entry.value)
                              : std::nullopt;
            if (!record) {
                jobs_.erase(id);  // the next grant names it again
                return;
            }
            gateway_.list("run/" + id + "/",
                          [this, id, mine, record, wall_ms, version = open.entry.version](
                              Millis t, const kvstore::ListReply& runs) {
                              if (!mine()) return;
                              if (runs.status != kvstore::Status::ok) {
                                  jobs_.erase(id);
                                  return;
                              }
                              jobs_[id] = true;
                              control_loop_->add_delegated_job(*record, version, runs, wall_ms, t);
                          });
        });
}

void ShardHolder::tick(Millis now) {
    if (state_ == ShardHolderState::empty) return;
    if (now >= lease_until_) {
        set_state(ShardHolderState::winding_down);
        if (now - lease_until_ > kTend) {
            end("the lease has ended");
            return;
        }
    }
    control_loop_->tick(now);
}

void ShardHolder::end(const std::string& why) {
    if (state_ == ShardHolderState::empty) return;
    spdlog::info("block {} is not held any more: {}", grant_.shard, why);
    set_state(ShardHolderState::empty);
    ended_token_ = grant_.token;
    control_loop_->confirm_lease_until(0);
    ended_loops_.push_back(std::move(control_loop_));
    jobs_.clear();
    grant_.machines.clear();
}

bool ShardHolder::holds(const std::string& machine) const {
    return state_ != ShardHolderState::empty &&
           std::any_of(grant_.machines.begin(), grant_.machines.end(),
                       [&](const shards::ShardMember& member) { return member.name == machine; });
}

machines::HeartbeatReply ShardHolder::on_heartbeat(const wire::Heartbeat& heartbeat, bool follows,
                                                   Millis now) {
    // Whoever cannot know of a cancellation must let the leases run out in time.
    if (now > may_respond_until()) return {503, "", 0, {}};
    return control_loop_->on_heartbeat(heartbeat, follows, now);
}

std::optional<peers::ShardStatus> ShardHolder::status() const {
    if (state_ == ShardHolderState::empty) return std::nullopt;
    peers::ShardStatus n;
    n.from = settings_.name;
    n.term = grant_.term;
    n.token = grant_.token;
    for (const auto& [id, loaded] : jobs_) {
        if (!loaded) continue;
        auto p = control_loop_->progress(id);
        n.jobs.push_back({id, p.done, p.running, p.known ? 0u : 1u});
    }
    n.unhealthy_machines = control_loop_->unhealthy_machines();
    return n;
}

}  // namespace nickelramp::control
