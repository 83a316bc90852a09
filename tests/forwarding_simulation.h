/// @file
/// Simulates controllers that forward workers' heartbeats to the leader. Messages between
/// controllers are lost, duplicated and delayed, and controllers freeze and restart. Uses the real
/// HeartbeatForwarder and ForwardAdmission, and checks at every step the guarantees that the
/// leader's cluster state relies on. Used by ClusterSimulation.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "relay/forward_admission.h"
#include "relay/heartbeat_forwarder.h"
#include "tests/trace.h"

namespace nickelramp::test {

struct ForwardingFaults {
    double lost = 0;            ///< probability that a message between controllers is lost
    double repeated = 0;        ///< probability that it arrives a second time, within a minute
    double delayed = 0;         ///< probability that it arrives up to a minute late
    double freezes_per_s = 0;   ///< rate for each forwarder; a freeze lasts up to 12 s
    double restarts_per_s = 0;  ///< rate for each forwarder
};

class ForwardingSimulation {
  public:
    struct Leader {
        std::size_t node = 0;
        std::uint64_t term = 0, incarnation = 0;
    };
    /// Functions that the surrounding simulation provides.
    struct Environment {
        std::function<void(Millis delay, std::function<void()>)> after;
        std::function<Millis()> now;
        /// Returns all nodes that consider themselves leader.
        std::function<std::vector<Leader>()> leaders;
        /// Returns the reply of the node's control loop.
        std::function<machines::HeartbeatReply(std::size_t node, const wire::Heartbeat&,
                                               const machines::HeartbeatArrival&)>
            deliver_heartbeat;
    };
    ForwardingSimulation(std::size_t forwarders, ForwardingFaults faults, std::mt19937_64& random,
                         Environment environment, Trace& trace);

    /// Sends a worker's heartbeat to a forwarder.
    /// @param follows_term The term of the last accepting reply that the worker received from this
    /// forwarder.
    /// @param respond Called with the leader's reply and its term, or never.
    void send_heartbeat(std::size_t forwarder, const wire::Heartbeat& heartbeat,
                        std::uint64_t follows_term, relay::HeartbeatForwarder::Respond respond);
    std::size_t size() const { return controllers_.size(); }
    void set_faults(ForwardingFaults faults) { faults_ = faults; }

    /// How often each case occurred.
    struct Coverage {
        std::size_t admitted = 0, followed = 0, relayed = 0, stale = 0, other_term = 0,
                    unmatched = 0, expired = 0;
    };
    const Coverage& coverage() const { return coverage_; }

  private:
    struct Controller {
        std::string name;
        std::unique_ptr<relay::HeartbeatForwarder> forwarder;
        std::uint64_t incarnation = 0;
        Millis frozen_until = 0;
        double drift = 0;                            ///< relative drift of its steady clock
        std::vector<std::function<void()>> waiting;  ///< messages that arrived while frozen
    };
    bool chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    /// Returns a random duration from 1 ms to `limit`.
    Millis up_to(Millis limit) {
        return 1 + static_cast<Millis>(random_() % static_cast<unsigned>(limit));
    }
    void start_process(Controller& controller);
    void broadcast_status();
    void step_process(Controller& controller);
    void send_leader_statuses(Controller& controller);
    /// Simulates sending a message, which may be lost, delayed or duplicated. `arrive` is called
    /// for each arrival.
    void send(const std::function<void()>& arrive);
    /// Calls `act` once the controller is no longer frozen, in the process that it then runs.
    void run_in_process(Controller& controller, std::function<void()> act);
    Millis clock(const Controller& controller) const;
    void deliver_to_leaders(const peers::ForwardedHeartbeat& message);
    void check_arrival(const peers::ForwardedHeartbeat& message,
                       const machines::HeartbeatArrival& arrival, const Leader& leader);
    void send_reply(const std::string& forwarder, const peers::ForwardedReply& reply);

    ForwardingFaults faults_;
    std::mt19937_64& random_;
    Environment environment_;
    Trace& trace_;
    std::vector<std::unique_ptr<Controller>> controllers_;
    std::uint64_t incarnations_ = 100;
    relay::ForwardAdmission admission_;
    struct HeartbeatId {
        std::string machine;
        machines::MessagePosition position;
        friend auto operator<=>(const HeartbeatId&, const HeartbeatId&) = default;
    };
    /// The term of the reply that each heartbeat actually follows; 0 if there was none.
    std::map<HeartbeatId, std::uint64_t> followed_terms_;
    Coverage coverage_;
};

}  // namespace nickelramp::test
