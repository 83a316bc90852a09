#include "controller/live_service_gateway.h"

#include <algorithm>
#include <utility>

#include "net/timed.h"
#include "wire/messages.h"

namespace nickelramp::controller {

namespace {
constexpr Millis kCallTimeout = 2'500;
}

LiveServiceGateway::LiveServiceGateway(Services services,
                                       const lease::LeaseGuard<lease::Scheduling>& scheduling_guard,
                                       const lease::LeaseGuard<lease::Responding>& responding_guard,
                                       OnDeposed on_deposed)
    : services_(services),
      scheduling_guard_(scheduling_guard),
      responding_guard_(responding_guard),
      on_deposed_(std::move(on_deposed)) {}

void LiveServiceGateway::commit(kvstore::Transaction transaction,
                                std::function<void(Millis, const kvstore::CommitReply&)> done) {
    const kvstore::RequestClass request_class = transaction.request_class;
    services_.state.commit(transaction, request_class, kCallTimeout,
                           net::with_time(services_.loop, std::move(done)),
                           while_valid(scheduling_guard_));
}

void LiveServiceGateway::read(const std::string& key,
                              std::function<void(Millis, const kvstore::GetReply&)> done) {
    services_.state.get(key, kvstore::RequestClass::background, kCallTimeout,
                        net::with_time(services_.loop, std::move(done)));
}

void LiveServiceGateway::list(const std::string& prefix,
                              std::function<void(Millis, const kvstore::ListReply&)> done) {
    services_.state.list(prefix, kvstore::RequestClass::background,
                         net::with_time(services_.loop, std::move(done)));
}

void LiveServiceGateway::send_commands(
    const std::string& machine, const std::string& address, std::uint64_t token,
    std::uint64_t session, const std::vector<wire::Command>& commands,
    std::function<void(Millis, const cluster::CommandReply&)> done) {
    const bool starts_tasks = std::any_of(
        commands.begin(), commands.end(),
        [](const wire::Command& command) { return command.op == wire::Command::Op::start; });
    services_.worker_connections.send_command(
        machine, address, wire::encode_direct_commands(token, session, commands), std::move(done),
        starts_tasks ? while_valid(scheduling_guard_) : while_valid(responding_guard_));
}

void LiveServiceGateway::provision_machines(
    const std::string& request, const std::string& type, const std::string& zone, bool spot,
    std::uint32_t count, std::function<void(Millis, const cloud::ProvisionReply&)> done) {
    services_.role_manager.provision({request, type, zone, spot, count}, std::move(done), now());
}

void LiveServiceGateway::release_machines(const std::vector<std::string>& machines,
                                          std::function<void(Millis, bool)> done) {
    services_.role_manager.release(
        machines,
        [done = std::move(done)](Millis replied_at, const cloud::ProvisionReply& reply) {
            done(replied_at, reply.result == cloud::ProvisionReply::Result::provisioned);
        },
        now());
}

}  // namespace nickelramp::controller
