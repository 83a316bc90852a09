// Heartbeats that arrive late or more than once.
#include <algorithm>
#include <utility>

#include "tests/cluster_simulation_controller.h"

namespace nickelramp::test {

namespace {
constexpr Millis kMinCopyDelay = 500, kMaxExtraCopyDelay = 90'000;
constexpr std::size_t kMaxHeldHeartbeats = 400;
constexpr Millis kShortDelay = 3'000, kLongDelay = 40'000;
}  // namespace

// Copies arrive over separate connections, and their replies are ignored.
void ClusterSimulation::send_late_copies(const wire::Heartbeat& heartbeat) {
    while (context_.chance(context_.faults.late_heartbeat_copies)) {
        context_.after(kMinCopyDelay + context_.delay(kMaxExtraCopyDelay),
                       [this, heartbeat] { deliver_late_copy(heartbeat); });
    }
}

void ClusterSimulation::deliver_late_copy(const wire::Heartbeat& heartbeat) {
    ++heartbeat_copies_;
    const bool old_incarnation =
        workers_.machine(heartbeat.machine).incarnation > heartbeat.incarnation;
    const bool old_attempt = std::any_of(
        heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const wire::TaskReport& task) {
            return jobs_.superseded({task.job, task.task}, task.attempt);
        });
    context_.coverage.copies_of_old_incarnations += old_incarnation ? 1 : 0;
    context_.coverage.copies_of_old_attempts += old_attempt ? 1 : 0;
    deliver_heartbeat(context_.random()() % controllers_.size(), heartbeat, false);
}

void ClusterSimulation::redeliver_heartbeat(const std::string& name, bool first, Millis after) {
    const SimulatedMachine& machine = workers_.machine(name);
    context_.after(after, [this, heartbeat = first ? machine.first : machine.last] {
        ++heartbeat_copies_;
        for (std::size_t i = 0; i < controllers_.size(); ++i) {
            if (!controllers_[i]->leads) continue;
            const auto reply = deliver_heartbeat(i, heartbeat, false);
            EXPECT_TRUE(reply.commands.empty())
                << "the leader sent commands in reply to a copy of a heartbeat";
            answered_heartbeat_copies_ += reply.status == 200 ? 1 : 0;
        }
    });
}

// Holds a copy for all controllers (`controller` is SIZE_MAX), or the heartbeat itself on its way
// to one of them.
void ClusterSimulation::hold_for_next_leader(const wire::Heartbeat& heartbeat,
                                             std::size_t controller, bool follows_reply) {
    if (held_heartbeats_.size() >= kMaxHeldHeartbeats) return;
    const std::size_t generation = workers_.machine(heartbeat.machine).process_generation;
    held_heartbeats_.push_back({heartbeat, controller, follows_reply, generation});
}

// Delivers copies as the next leader begins and again after a short and a long delay. Heartbeats
// that were on their way arrive only after the long delay. The newest leader also receives each of
// them once more within the long delay.
void ClusterSimulation::deliver_held_heartbeats() {
    for (const HeldHeartbeat& held : std::exchange(held_heartbeats_, {})) {
        count_held_heartbeat(held);
        auto deliver = [this, held] { deliver_held_heartbeat(held); };
        if (held.controller == SIZE_MAX) {
            deliver();
            context_.after(context_.delay(kShortDelay), deliver);
        }
        context_.after(context_.delay(kLongDelay), deliver);
        context_.after(context_.delay(kLongDelay), [this, heartbeat = held.heartbeat] {
            deliver_heartbeat(controllers_.size() - 1, heartbeat, false);
        });
    }
}

void ClusterSimulation::count_held_heartbeat(const HeldHeartbeat& held) {
    const SimulatedMachine& machine = workers_.machine(held.heartbeat.machine);
    const bool old_incarnation = machine.process_generation != held.process_generation ||
                                 machine.incarnation > held.heartbeat.incarnation;
    Coverage& coverage = context_.coverage;
    ++coverage.held_copies;
    coverage.held_copies_of_gone_machines += machine.exists() ? 0 : 1;
    coverage.held_copies_of_old_incarnations += old_incarnation ? 1 : 0;
    coverage.held_heartbeats_delivered += held.controller == SIZE_MAX ? 0 : 1;
}

void ClusterSimulation::deliver_held_heartbeat(const HeldHeartbeat& held) {
    for (std::size_t i = 0; i < controllers_.size(); ++i) {
        if (held.controller == SIZE_MAX || held.controller == i)
            deliver_heartbeat(i, held.heartbeat, held.follows_reply && held.controller == i);
    }
}

}  // namespace nickelramp::test
