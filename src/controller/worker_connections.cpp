#include "controller/worker_connections.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "net/address.h"

namespace nickelramp::controller {

namespace {
constexpr Millis kCommandTimeout = 2'000;
constexpr std::size_t kConnectionsPerWorker = 1;
constexpr std::size_t kMaxQueuedCommands = 4;  // to one worker
constexpr int kOk = 200;
constexpr int kConflict = 409;

struct IdleConnection {
    Millis used_at = 0;
    std::string machine;
};

// Orders the connection that has been idle longest first.
bool idle_longer(const IdleConnection& left, const IdleConnection& right) {
    return std::tie(left.used_at, left.machine) < std::tie(right.used_at, right.machine);
}

cluster::CommandReply decode_reply(const net::ClientReply& reply) {
    cluster::CommandReply command_reply;
    if (reply.outcome == net::ClientReply::Outcome::refused) {
        command_reply.delivery = cluster::DeliveryStatus::refused;
        return command_reply;
    }
    const bool answered = reply.outcome == net::ClientReply::Outcome::answered;
    if (!answered || (reply.status != kOk && reply.status != kConflict)) return command_reply;
    const auto body = wire::decode_reply_map(reply.body);
    command_reply.heartbeat = body ? wire::decode_heartbeat(*body) : std::nullopt;
    if (command_reply.heartbeat) command_reply.delivery = cluster::DeliveryStatus::delivered;
    command_reply.executed = reply.status == kOk;
    return command_reply;
}
}  // namespace

void WorkerConnections::send_command(const std::string& machine, const std::string& address,
                                     std::string body, Done done,
                                     net::HttpClient::MaySend may_send) {
    Entry& entry = clients_[machine];
    entry.used_at = now();
    if (!entry.client) {
        const auto parsed = net::parse_address(address);
        if (!parsed) {
            spdlog::error("worker address cannot be parsed: machine={} address={}", machine,
                          address);
            clients_.erase(machine);
            return;  // the command stays in flight, as nothing can be sent to the worker
        }
        entry.client = std::make_unique<net::HttpClient>(loop_, *parsed, address,
                                                         kConnectionsPerWorker, kMaxQueuedCommands);
    }
    entry.client->request(
        "POST", "/commands", std::move(body), kCommandTimeout,
        [this, done = std::move(done)](const net::ClientReply& reply) {
            done(now(), decode_reply(reply));
        },
        std::move(may_send));
}

// Without pruning, a leader of 1,300 machines uses two sockets for each and has none left for
// users.
void WorkerConnections::prune(const std::function<bool(const std::string& machine)>& needed) {
    std::erase_if(clients_, [&needed](const auto& connection) {
        return connection.second.client->idle() && !needed(connection.first);
    });
    if (clients_.size() <= max_connections_) return;
    std::vector<IdleConnection> idle;
    for (const auto& [machine, entry] : clients_) {
        if (entry.client->idle()) idle.push_back({entry.used_at, machine});
    }
    std::sort(idle.begin(), idle.end(), idle_longer);
    for (const IdleConnection& connection : idle) {
        if (clients_.size() <= max_connections_) return;
        clients_.erase(connection.machine);
    }
}

}  // namespace nickelramp::controller
