// What a controller holds for the leader: nothing, or one block until its lease ends. Like the
// dispatcher it owns no sockets and is handed the time.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/control_loop.h"
#include "peers/messages.h"

namespace nickelramp::control {

// empty:   holds nothing
// placing: the lease lasts
// tending: the lease has ended; nothing new is started, what runs is looked after a little longer
enum class ShardHolderState { empty, active, winding_down };

class ShardHolder {
  public:
    ShardHolder(const wire::Settings& settings, std::string term_key, ServiceGateway& gateway,
                std::uint64_t incarnation);

    void on_grant(const peers::ShardGrant& grant, const std::vector<wire::MachineType>& types,
                  std::int64_t wall_ms, Millis now);
    void tick(Millis now);
    void end(const std::string& why);
    // Books that ended are put away by the caller, when none of their callbacks is running.
    void dispose_ended() { ended_loops_.clear(); }
    bool has_ended() const { return !ended_loops_.empty(); }

    bool holds(const std::string& machine) const;
    machines::HeartbeatReply on_heartbeat(const wire::Heartbeat& heartbeat, bool follows,
                                          Millis now);
    // For the leader, every second; nothing when nothing is held.
    std::optional<peers::ShardStatus> status() const;
    const std::string& leader() const { return grant_.from; }
    const std::vector<shards::ShardMember>& machines() const { return grant_.machines; }
    ShardHolderState state() const { return state_; }
    // What it may do, by which token and until when: place, and answer its machines.
    std::uint64_t token() const { return state_ == ShardHolderState::empty ? 0 : grant_.token; }
    Millis lease_until() const { return lease_until_; }
    Millis may_respond_until() const {
        return cancellations_known_until_ + partition::max_response_bound(settings_);
    }
    std::uint64_t incarnation() const { return incarnation_; }

  private:
    void set_state(ShardHolderState state) { state_ = state; }
    void load_job(const std::string& id, std::int64_t wall_ms);

    const wire::Settings& settings_;
    std::string term_key_;
    ServiceGateway& gateway_;
    std::uint64_t incarnation_;
    ShardHolderState state_ = ShardHolderState::empty;
    std::unique_ptr<ControlLoop> control_loop_;
    std::vector<std::unique_ptr<ControlLoop>> ended_loops_;
    peers::ShardGrant grant_;
    std::uint64_t ended_token_ = 0;
    Millis lease_until_ = 0;
    Millis cancellations_known_until_ = 0;  // every cancellation up to then is known
    std::map<std::string, bool> jobs_;      // lent; loaded?
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace nickelramp::control
