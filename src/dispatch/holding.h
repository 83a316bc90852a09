// What a controller holds for the leader: nothing, or one block until its lease ends. Like the
// dispatcher it owns no sockets and is handed the time.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"
#include "peers/messages.h"

namespace nickelramp::dispatch {

// empty:   holds nothing
// placing: the lease lasts
// tending: the lease has ended; nothing new is started, what runs is looked after a little longer
enum class HoldingState { empty, placing, tending };

class Holding {
  public:
    Holding(const wire::Settings& settings, std::string term_key, Outbox& outbox,
            std::uint64_t incarnation);

    void on_grant(const peers::Grant& grant, const std::vector<wire::MachineType>& types,
                  std::int64_t wall_ms, Millis now);
    void tick(Millis now);
    void end(const std::string& why);
    // Books that ended are put away by the caller, when none of their callbacks is running.
    void bury() { ended_.clear(); }
    bool buries() const { return !ended_.empty(); }

    bool holds(const std::string& machine) const;
    CheckinAnswer on_checkin(const wire::Report& report, bool follows, Millis now);
    // For the leader, every second; nothing when nothing is held.
    std::optional<peers::News> news() const;
    const std::string& leader() const { return grant_.from; }
    const std::vector<blocks::Member>& machines() const { return grant_.machines; }
    HoldingState state() const { return state_; }
    // What it may do, by which token and until when: place, and answer its machines.
    std::uint64_t token() const { return state_ == HoldingState::empty ? 0 : grant_.token; }
    Millis lease_until() const { return lease_until_; }
    Millis answer_until() const { return view_fresh_ + deputy::answer_bound(settings_); }
    std::uint64_t incarnation() const { return incarnation_; }

  private:
    void set_state(HoldingState s) { state_ = s; }
    void fetch(const std::string& id, std::int64_t wall_ms);

    const wire::Settings& settings_;
    std::string term_key_;
    Outbox& outbox_;
    std::uint64_t incarnation_;
    HoldingState state_ = HoldingState::empty;
    std::unique_ptr<Dispatcher> book_;
    std::vector<std::unique_ptr<Dispatcher>> ended_;
    peers::Grant grant_;
    std::uint64_t ended_token_ = 0;
    Millis lease_until_ = 0;
    Millis view_fresh_ = 0;             // every cancellation up to then is known
    std::map<std::string, bool> jobs_;  // lent; loaded?
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace nickelramp::dispatch
