/// @file
/// Manages the connections on which this controller sends commands to workers.
#pragma once
#include <uv.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "cluster/service_gateway.h"
#include "net/http_client.h"
#include "wire/messages.h"

namespace nickelramp::controller {

/// Keeps one HTTP connection to each worker, opened when the first command is sent. If there are
/// more than the maximum, those that have been idle longest are closed. Shared by the gateways of
/// the leader and of the shard holder. Runs on the loop's thread.
class WorkerConnections {
  public:
    /// Called once per command with the loop's time, unless the connections are closed before.
    using Done = std::function<void(Millis, const cluster::CommandReply&)>;
    /// Keeps up to `max_connections` open between commands. The loop must outlive this object.
    WorkerConnections(uv_loop_t* loop, std::size_t max_connections)
        : loop_(loop), max_connections_(max_connections) {}

    /// Sends a command as a POST request. `may_send` is called right before the bytes are sent. The
    /// delivery status is `unknown` after a reply other than 200 or 409, or if none arrives within
    /// two seconds. If the address cannot be parsed, nothing is sent and `done` is never called.
    void send_command(const std::string& machine, const std::string& address, std::string body,
                      Done done, net::HttpClient::MaySend may_send);
    /// Closes idle connections to machines that are no longer needed, then further idle ones until
    /// the maximum is met. Called every second while this controller leads.
    void prune(const std::function<bool(const std::string& machine)>& needed);
    /// Closes all connections.
    void clear() { clients_.clear(); }
    [[nodiscard]] std::size_t size() const { return clients_.size(); }

  private:
    struct Entry {
        std::unique_ptr<net::HttpClient> client;
        Millis used_at = 0;
    };
    [[nodiscard]] Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    const std::size_t max_connections_;
    std::unordered_map<std::string, Entry> clients_;  // by machine
};

}  // namespace nickelramp::controller
