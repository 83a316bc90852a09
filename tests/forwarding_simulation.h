// Controllers that forward workers' reports to the leader, in simulated time: messages between them
// are lost, repeated and held back, they stand still and begin anew. Wraps the real forwarder and
// admission, and asserts at every step what the leader's book relies on.
#pragma once
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "relay/forward_admission.h"
#include "relay/heartbeat_forwarder.h"
#include "tests/trace.h"

namespace nickelramp::test {

struct ForwardingFaults {
    double lost = 0;            // of messages between controllers
    double repeated = 0;        // arrive once more, up to a minute later
    double delayed = 0;         // arrive up to a minute late
    double freezes_per_s = 0;   // a second, for one forwarder: for up to 12 s
    double restarts_per_s = 0;  // a second, for one forwarder
};

class ForwardingSimulation {
  public:
    struct Leader {
        std::size_t node = 0;
        std::uint64_t term = 0, incarnation = 0;
    };
    struct Environment {
        std::function<void(Millis after, std::function<void()>)> after;
        std::function<Millis()> now;
        std::function<std::vector<Leader>()> leaders;  // all that take themselves for it
        // The node's book answers.
        std::function<machines::HeartbeatReply(std::size_t node, const wire::Heartbeat&,
                                               const machines::HeartbeatArrival&)>
            deliver_heartbeat;
    };
    ForwardingSimulation(std::size_t forwarders, ForwardingFaults faults, std::mt19937_64& random,
                         Environment around, Trace& trace);

    // `follows_term`: of the last answer 200 that the worker has received there; `answered` gets
    // the leader's answer and its term, or is never called.
    void send_heartbeat(std::size_t forwarder, const wire::Heartbeat& heartbeat,
                        std::uint64_t follows_term, relay::HeartbeatForwarder::Respond answered);
    std::size_t size() const { return controllers_.size(); }
    void set_faults(ForwardingFaults faults) { faults_ = faults; }

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
        double drift = 0;                            // of its steady clock
        std::vector<std::function<void()>> waiting;  // messages that came while it stood still
    };
    bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
    Millis up_to(Millis most) {
        return 1 + static_cast<Millis>(random_() % static_cast<unsigned>(most));
    }
    void start_process(Controller& controller);
    void broadcast_status();
    // Carries it out once or more, sooner or later, or never.
    void send(const std::function<void()>& arrive);
    // In the process that the controller is by then, once it does not stand still.
    void run_in_process(Controller& controller, std::function<void()> act);
    Millis clock(const Controller& controller) const;
    void deliver_to_leader(const peers::ForwardedHeartbeat& message);

    ForwardingFaults faults_;
    std::mt19937_64& random_;
    Environment environment_;
    Trace& trace_;
    std::vector<std::unique_ptr<Controller>> controllers_;
    std::uint64_t incarnations_ = 100;
    relay::ForwardAdmission admission_;
    // The truth, by machine and report: when it reached a forwarder, and the term it follows.
    struct SentHeartbeat {
        Millis at = 0;
        std::uint64_t follows_term = 0;
    };
    std::map<std::pair<std::string, machines::MessagePosition>, SentHeartbeat> sent_heartbeats_;
    Coverage coverage_;
};

}  // namespace nickelramp::test
