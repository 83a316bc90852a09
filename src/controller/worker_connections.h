// Connections from this controller to machines, for direct commands: one each, opened at need. Of
// more than their share of the sockets those that were idle longest are closed.
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

class WorkerConnections {
  public:
    using Done = std::function<void(Millis, const cluster::CommandReply&)>;
    // `most`: connections that stay open between commands.
    WorkerConnections(uv_loop_t* loop, std::size_t most)
        : loop_(loop), max_idle_connections_(most) {}

    // `may` is asked as the bytes go out. Without a usable address nothing is sent, and `done` is
    // never called.
    void send_command(const std::string& machine, const std::string& address, std::string body,
                      Done done, net::HttpClient::MaySend may);
    // Closes what is of no use any more; `needed` says whether a machine is still there.
    void prune(const std::function<bool(const std::string& machine)>& needed);
    void clear() { clients_.clear(); }
    std::size_t size() const { return clients_.size(); }

  private:
    struct Entry {
        std::unique_ptr<net::HttpClient> client;
        Millis used_at = 0;
    };
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    const std::size_t max_idle_connections_;
    std::unordered_map<std::string, Entry> clients_;  // by machine
};

}  // namespace nickelramp::controller
