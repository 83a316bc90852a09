#include "controller/worker_connections.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "net/address.h"

namespace nickelramp::controller {

namespace {
constexpr Millis kCommandWait = 2'000;
constexpr std::size_t kQueued = 4;  // commands to one machine
constexpr int kOk = 200, kConflict = 409;

cluster::CommandReply read_reply(const net::ClientReply& reply) {
    cluster::CommandReply out;
    if (reply.outcome == net::ClientReply::Outcome::refused) {
        out.delivery = cluster::DeliveryStatus::refused;
        return out;
    }
    const bool answered = reply.outcome == net::ClientReply::Outcome::answered;
    if (!answered || (reply.status != kOk && reply.status != kConflict)) return out;
    const auto body = wire::decode_map(reply.body);
    out.heartbeat = body ? wire::decode_heartbeat(*body) : std::nullopt;
    if (out.heartbeat) out.delivery = cluster::DeliveryStatus::delivered;
    out.executed = reply.status == kOk;
    return out;
}
}  // namespace

void WorkerConnections::send_command(const std::string& machine, const std::string& address,
                                     std::string body, Done done, net::HttpClient::MaySend may) {
    Entry& entry = clients_[machine];
    entry.used_at = now();
    if (!entry.client) {
        const auto parsed = net::parse_address(address);
        if (!parsed) {
            spdlog::error("machine {} has no usable address: {}", machine, address);
            clients_.erase(machine);
            return;  // stays in flight: nothing can be sent to it
        }
        entry.client = std::make_unique<net::HttpClient>(loop_, *parsed, address, 1, kQueued);
    }
    entry.client->request(
        "POST", "/commands", std::move(body), kCommandWait,
        [this, done = std::move(done)](const net::ClientReply& reply) {
            done(now(), read_reply(reply));
        },
        std::move(may));
}

// Without this a controller of 1,300 machines has two sockets for each and none left for users.
void WorkerConnections::prune(const std::function<bool(const std::string& machine)>& needed) {
    std::erase_if(clients_,
                  [&](const auto& c) { return c.second.client->idle() && !needed(c.first); });
    if (clients_.size() <= max_idle_connections_) return;
    std::vector<std::pair<Millis, std::string>> idle;
    for (const auto& [machine, entry] : clients_) {
        if (entry.client->idle()) idle.emplace_back(entry.used_at, machine);
    }
    std::sort(idle.begin(), idle.end());
    for (const auto& [used_at, machine] : idle) {
        if (clients_.size() <= max_idle_connections_) return;
        clients_.erase(machine);
    }
}

}  // namespace nickelramp::controller
