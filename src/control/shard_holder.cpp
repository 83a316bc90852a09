#include "control/shard_holder.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::control {

namespace {
// How long running tasks are managed after the lease has expired.
constexpr Millis kWindDownTime = 10'000;
}  // namespace

ShardHolder::ShardHolder(const wire::Settings& settings, std::string term_key,
                         ServiceGateway& gateway, std::uint64_t incarnation)
    : settings_(settings),
      term_key_(std::move(term_key)),
      gateway_(gateway),
      incarnation_(incarnation) {}

bool ShardHolder::is_acceptable(const peers::ShardGrant& grant, Millis now) const {
    const bool older =
        grant.term < grant_.term || (grant.term == grant_.term && grant.token < grant_.token);
    const bool for_earlier_process = grant.incarnation != incarnation_;
    // The shard was released, but commands under its token may still be in flight.
    const bool of_ended_shard = grant.token == ended_token_;
    return static_cast<Millis>(grant.status_clock_ms) <= now && !older && !for_earlier_process &&
           !of_ended_shard;
}

void ShardHolder::on_grant(const peers::ShardGrant& grant,
                           const std::vector<wire::MachineType>& types, std::int64_t wall_ms,
                           Millis now) {
    if (!is_acceptable(grant, now)) return;
    // The lease runs from when this controller sent the status that the grant replies to.
    const auto status_sent_at = static_cast<Millis>(grant.status_clock_ms);
    const Millis until = status_sent_at + without_clock_drift(static_cast<Millis>(grant.lease_ms));
    if (until <= now || types.empty()) return;
    if (state_ == ShardHolderState::empty || grant.token != grant_.token)
        take_shard(grant, types, now);
    lease_until_ = std::max(lease_until_, until);
    cancellations_known_until_ = std::max(cancellations_known_until_,
                                          status_sent_at - static_cast<Millis>(grant.view_age_ms));
    set_state(ShardHolderState::active);
    control_loop_->confirm_lease_until(lease_until_);
    for (const auto& job : grant.jobs) {
        if (job.cancelled != 0) control_loop_->cancel_delegated_job(job.id, now);
        if (jobs_.emplace(job.id, LoadState::loading).second) load_job(job.id, wall_ms);
    }
}

void ShardHolder::take_shard(const peers::ShardGrant& grant,
                             const std::vector<wire::MachineType>& types, Millis now) {
    end("another shard was granted");
    spdlog::info("shard {}: leased from {}, machines={}", grant.shard, grant.from,
                 grant.machines.size());
    grant_ = grant;
    control_loop_ = std::make_unique<ControlLoop>(
        settings_, TermInfo{grant.term, term_key_, grant.term_version}, gateway_, now,
        TermScope::single_shard);
    control_loop_->set_machine_types(types);
    control_loop_->take_shard(grant, now);
    lease_until_ = cancellations_known_until_ = 0;
}

// Returns whether the job still has to be loaded, because the shard with `token` is still held and
// the job has not been dropped.
bool ShardHolder::load_still_needed(const std::string& id, std::uint64_t token) const {
    return control_loop_ && grant_.token == token && jobs_.count(id) != 0;
}

// Reads the job's records from the key-value store, because a grant contains only the job's id.
void ShardHolder::load_job(const std::string& id, std::int64_t wall_ms) {
    gateway_.read(jobs::open_key(id),
                  [this, alive = std::weak_ptr<char>(alive_), token = grant_.token, id, wall_ms](
                      Millis, const kvstore::GetReply& open) {
                      if (!alive.lock() || !load_still_needed(id, token)) return;
                      if (open.status == kvstore::Status::missing) {
                          jobs_[id] = LoadState::loaded;  // already over, as status() reports
                          return;
                      }
                      const auto record = open.status == kvstore::Status::ok
                                              ? jobs::decode_open_record(open.entry.value)
                                              : std::nullopt;
                      if (record)
                          load_checkpoints(id, *record, open.entry.version, wall_ms);
                      else
                          jobs_.erase(id);  // loaded again when the next grant lists it
                  });
}

void ShardHolder::load_checkpoints(const std::string& id, const jobs::OpenRecord& record,
                                   std::uint64_t version, std::int64_t wall_ms) {
    gateway_.list("run/" + id + "/",
                  [this, alive = std::weak_ptr<char>(alive_), token = grant_.token, id, record,
                   version, wall_ms](Millis listed_at, const kvstore::ListReply& runs) {
                      if (!alive.lock() || !load_still_needed(id, token)) return;
                      if (runs.status != kvstore::Status::ok) {
                          jobs_.erase(id);  // loaded again when the next grant lists it
                          return;
                      }
                      jobs_[id] = LoadState::loaded;
                      control_loop_->add_delegated_job(record, version, runs, wall_ms, listed_at);
                  });
}

void ShardHolder::tick(Millis now) {
    if (state_ == ShardHolderState::empty) return;
    if (now >= lease_until_) {
        set_state(ShardHolderState::winding_down);
        if (now - lease_until_ > kWindDownTime) {
            end("the lease has expired");
            return;
        }
    }
    control_loop_->tick(now);
}

void ShardHolder::end(const std::string& why) {
    if (state_ == ShardHolderState::empty) return;
    spdlog::info("shard {}: released, {}", grant_.shard, why);
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

machines::HeartbeatReply ShardHolder::on_heartbeat(const wire::Heartbeat& heartbeat,
                                                   bool follows_reply, Millis now) {
    // Cancellations may have been missed, so the workers' leases must expire in time.
    if (now > may_respond_until()) return machines::HeartbeatReply::unavailable();
    return control_loop_->on_heartbeat(heartbeat, follows_reply, now);
}

std::optional<peers::ShardStatus> ShardHolder::status() const {
    if (state_ == ShardHolderState::empty) return std::nullopt;
    peers::ShardStatus status;
    status.from = settings_.name;
    status.term = grant_.term;
    status.token = grant_.token;
    for (const auto& [id, load_state] : jobs_) {
        if (load_state == LoadState::loading) continue;
        const ControlLoop::Progress progress = control_loop_->progress(id);
        status.jobs.push_back({id, progress.done, progress.running, progress.known ? 0u : 1u});
    }
    status.unhealthy_machines = control_loop_->unhealthy_machines();
    return status;
}

}  // namespace nickelramp::control
