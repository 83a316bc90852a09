// Calls of controllers to the cloud, and their commands to workers.
#include <algorithm>

#include "tests/cluster_simulation_controller.h"

namespace nickelramp::test {

using wire::Command;

namespace {
constexpr Millis kMaxCloudCallDelay = 300, kCloudTimeout = 4'000;
constexpr Millis kMaxCommandDelay = 10, kCommandTimeout = 2'000, kMaxLateCommandDelay = 60'000;
}  // namespace

ClusterSimulation::CloudDelivery ClusterSimulation::cloud_delivery() {
    const Faults& faults = context_.faults;
    if (faults.cloud_down) return {now() + kBeyondSimulationEnd, true};
    const Millis held = send_fault();
    const bool late = held > 0 || context_.chance(faults.late_cloud_calls);
    const bool lost = late || context_.chance(faults.lost_cloud_replies);
    if (held > 0) return {now() + held, lost};
    if (late) return {now() + kCloudTimeout + context_.delay(56'000), lost};
    return {now() + context_.delay(kMaxCloudCallDelay), lost};
}

void ClusterSimulation::Controller::provision_machines(
    const std::string& request, const std::string& type, const std::string& zone, bool spot,
    std::uint32_t count, std::function<void(Millis, const cloud::ProvisionReply&)> done) {
    trace("rent", request, type, zone, spot, count);
    ClusterSimulation& owner = simulation;
    owner.provisioned_types_.push_back(type);
    const CloudDelivery delivery = owner.cloud_delivery();
    const ProvisionRequest provision_request{request, type, zone, spot, count};
    owner.context_.at(delivery.arrive_at, [&owner, provision_request, done, lost = delivery.lost] {
        const cloud::ProvisionReply reply = owner.cloud_.provision(provision_request);
        if (lost) return;
        owner.repeater_.on_answered("provisioning", [&owner, provision_request] {
            static_cast<void>(owner.cloud_.provision(provision_request));
        });
        for (const std::string& name : reply.machines)
            owner.workers_.machine(name).named_in_provision_reply = true;
        done(owner.now(), reply);
    });
    if (!delivery.lost) return;
    owner.context_.after(kCloudTimeout,
                         [&owner, done] { done(owner.now(), cloud::ProvisionReply{}); });
}

void ClusterSimulation::Controller::release_machines(const std::vector<std::string>& names,
                                                     std::function<void(Millis, bool)> done) {
    trace("return", names);
    ClusterSimulation& owner = simulation;
    const CloudDelivery delivery = owner.cloud_delivery();
    owner.context_.at(delivery.arrive_at,
                      [&owner, names, done, lost = delivery.lost, releasing_term = term] {
                          owner.cloud_.release(names, releasing_term);
                          if (lost) return;
                          owner.repeater_.on_answered("releases", [&owner, names, releasing_term] {
                              owner.cloud_.release(names, releasing_term);
                          });
                          done(owner.now(), true);
                      });
    if (delivery.lost)
        owner.context_.after(kCloudTimeout, [&owner, done] { done(owner.now(), false); });
}

ClusterSimulation::CommandDelivery ClusterSimulation::command_delivery(const std::string& machine) {
    CommandDelivery delivery;
    delivery.delayed = context_.chance(context_.faults.delayed_commands);
    delivery.lost = delivery.delayed || context_.chance(context_.faults.lost_command_replies);
    delivery.arrive_at =
        now() + context_.delay(delivery.delayed ? kMaxLateCommandDelay : kMaxCommandDelay);
    const SimulatedMachine* receiver = workers_.find(machine);
    const Partition* partition = receiver == nullptr ? nullptr : network_.partition_of(*receiver);
    if (partition == nullptr) return delivery;
    delivery.lost = true;
    delivery.arrive_at = partition->delays_commands ? partition->until + context_.delay(500)
                                                    : now() + kBeyondSimulationEnd;
    return delivery;
}

// Returns the worker's reply, or nothing if the commands do not reach the worker.
std::optional<cluster::CommandReply> ClusterSimulation::execute_commands(
    const std::string& name, std::uint64_t token, std::uint64_t incarnation,
    const std::vector<Command>& commands, bool delayed) {
    SimulatedMachine* machine = workers_.find(name);
    if (machine == nullptr || !machine->running() || now() < machine->inbound_blocked_until ||
        now() < machine->commands_blocked_until)
        return std::nullopt;
    workers_.advance(*machine);  // its incarnation may have ended meanwhile
    cluster::CommandReply reply;
    reply.delivery = cluster::DeliveryStatus::delivered;
    reply.executed = token >= machine->token && incarnation == machine->incarnation;
    Coverage& coverage = context_.coverage;
    if (delayed)
        ++(reply.executed ? coverage.delayed_commands_executed : coverage.delayed_commands_refused);
    if (reply.executed) {
        machine->token = token;
        workers_.execute(*machine, commands);
    }
    reply.heartbeat = workers_.make_heartbeat(*machine);
    return reply;
}

// Delivers copies of a message that the worker has answered.
void ClusterSimulation::repeat_commands(const std::string& machine, std::uint64_t token,
                                        std::uint64_t incarnation,
                                        const std::vector<Command>& commands) {
    const std::size_t generation = workers_.machine(machine).process_generation;
    repeater_.on_answered("commands", [=, this] {
        deliver_command_copy(machine, token, incarnation, commands, generation);
    });
}

// Asserts that the copy starts nothing. Only a worker that has restarted since the original cannot
// know that it executed the command before.
void ClusterSimulation::deliver_command_copy(const std::string& machine, std::uint64_t token,
                                             std::uint64_t incarnation,
                                             const std::vector<Command>& commands,
                                             std::size_t process_generation) {
    const std::size_t started_before = workers_.started_attempts();
    const auto reply = execute_commands(machine, token, incarnation, commands, false);
    if (!reply) return;
    Coverage& coverage = context_.coverage;
    ++(reply->executed ? coverage.repeated_commands_executed : coverage.repeated_commands_rejected);
    if (!reply->executed) return;
    coverage.repeated_starts +=
        static_cast<std::size_t>(std::count_if(commands.begin(), commands.end(), [](const auto& c) {
            return c.op == Command::Op::start;
        }));
    const std::size_t started = workers_.started_attempts() - started_before;
    if (workers_.machine(machine).process_generation != process_generation)
        coverage.forgotten_by_restart += started;
    else
        EXPECT_EQ(started, 0u) << "the copy of a start command that " << machine
                               << " had answered started an ended attempt again at " << now();
}

void ClusterSimulation::Controller::send_commands(
    const std::string& machine, const std::string& address, std::uint64_t token,
    std::uint64_t incarnation, const std::vector<Command>& commands,
    std::function<void(Millis, const cluster::CommandReply&)> done) {
    trace("direct", machine, address, token, incarnation, traced(commands));
    ClusterSimulation& owner = simulation;
    SimulationContext& context = owner.context_;
    auto refuse_after = [&context, &done](Millis wait) {
        context.after(wait, [&context, done] {
            cluster::CommandReply reply;
            reply.delivery = cluster::DeliveryStatus::refused;
            done(context.now(), reply);
        });
    };
    // The same decision as that of the lease guard of controller::Controller.
    const bool starts = std::any_of(commands.begin(), commands.end(), [](const Command& command) {
        return command.op == Command::Op::start;
    });
    const bool leads_by_lease = owner.leader_leases_ && control_loop;
    if (leads_by_lease && (starts ? context.now() >= leads_until : !owner.may_respond(*this)))
        return refuse_after(1);
    if (context.faults.refused_commands > 0 && context.chance(context.faults.refused_commands))
        return refuse_after(context.delay(kMaxCommandDelay));
    const CommandDelivery delivery = owner.command_delivery(machine);
    auto replied = std::make_shared<bool>(false);
    context.at(delivery.arrive_at, [=, &owner] {
        const auto reply =
            owner.execute_commands(machine, token, incarnation, commands, delivery.delayed);
        if (!reply || delivery.lost) return;
        *replied = true;
        owner.repeat_commands(machine, token, incarnation, commands);
        SimulationContext& shared = owner.context_;
        shared.after(shared.delay(kMaxCommandDelay),
                     [&owner, reply = *reply, done] { done(owner.now(), reply); });
    });
    context.after(kCommandTimeout, [&context, done, replied] {
        if (!*replied) done(context.now(), cluster::CommandReply{});
    });
}

}  // namespace nickelramp::test
