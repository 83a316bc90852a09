/// @file
/// The connections between controllers.
#pragma once
#include <uv.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "lease/lease_guard.h"
#include "net/timer.h"
#include "net/uv_handle.h"
#include "peers/codec.h"
#include "peers/messages.h"
#include "peers/peer_connection.h"
#include "peers/peer_message_handler.h"
#include "wire/settings.h"

namespace nickelramp::peers {

/// Keeps one outgoing connection to every peer, on which this controller sends, and accepts the
/// connections on which the peers send. Lost connections are reopened every second. Messages in
/// flight on a lost connection are lost. Owned by the controller. Must be used on the loop thread
/// only.
class PeerNetwork : private PeerConnection::Listener {
  public:
    /// The handler must outlive the network. It is called from the loop after listen() succeeded.
    PeerNetwork(uv_loop_t* loop, const std::vector<wire::Peer>& peers, PeerMessageHandler& handler);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork&) = delete;
    PeerNetwork& operator=(const PeerNetwork&) = delete;

    /// Accepts connections at the address and connects to the peers. Returns 0 or a libuv error.
    [[nodiscard]] int listen(const sockaddr_in& address);

    /// Sends the frame if the peer is connected, and drops it otherwise.
    void send(const std::string& peer, const PeerFrame& frame);
    void send_all(const PeerFrame& frame);
    /// Sends the frame in one write together with all others of the same iteration of the loop.
    /// Used for heartbeats, which are numerous. Returns false and drops the frame if the peer is
    /// not connected or does not keep up, or if the frame is too large.
    [[nodiscard]] bool send_batched(const std::string& peer, const PeerFrame& frame);
    /// Sends the frame. Returns false and drops the frame if the lease has expired or the peer is
    /// not connected.
    bool send(const lease::LeaseProof<lease::Scheduling>& proof, const std::string& peer,
              const LeaderFrame& frame);

  private:
    /// A peer that this controller connects to.
    struct Target {
        std::string name;
        sockaddr_in address;
        std::shared_ptr<PeerConnection> connection;
        Millis connect_deadline = 0;
    };
    enum class DropReason { broken_stream, unreadable, unknown_kind };
    struct Drop {
        DropReason reason;
        std::uint64_t kind;  // 0 if there is none
        auto operator<=>(const Drop&) const = default;
    };

    void on_frame(const Framer::Frame& frame) override;
    void on_batch_started(PeerConnection& connection) override;
    void on_broken_stream() override;
    void on_ended(PeerConnection& connection) override;

    std::shared_ptr<PeerConnection> make_connection();
    void accept();
    void connect_all();
    void connect(Target& target);
    PeerConnection* open_connection(const std::string& peer) const;
    void flush_batches();
    void log_drop_once(const Drop& drop);

    uv_loop_t* loop_;
    PeerMessageHandler& handler_;
    net::UvHandle<uv_tcp_t> listener_;
    std::vector<Target> targets_;
    std::set<std::shared_ptr<PeerConnection>> incoming_;
    std::set<Drop> logged_drops_;
    net::Timer reconnect_timer_;
    // Flush the batches after the loop has polled for I/O, and before it polls again.
    net::UvHandle<uv_check_t> flush_check_;
    net::UvHandle<uv_prepare_t> flush_prepare_;
    std::vector<std::weak_ptr<PeerConnection>> batched_connections_;
};

}  // namespace nickelramp::peers
