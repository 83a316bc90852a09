#include "peers/peer_network.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "net/address.h"
#include "peers/message_dispatch.h"

namespace nickelramp::peers {

namespace {
constexpr Millis kReconnectInterval = 1000;
constexpr Millis kConnectTimeout = 1500;
constexpr int kListenBacklog = 16;
// After a peer restarts, connections from its previous process may remain open for a while.
constexpr std::size_t kMaxConnectionsPerPeer = 3;
constexpr std::size_t kMinIncomingLimit = 16;
constexpr std::size_t kMaxLoggedDrops = 100;
}  // namespace

PeerNetwork::PeerNetwork(uv_loop_t* loop, const std::vector<wire::Peer>& peers,
                         PeerMessageHandler& handler)
    : loop_(loop),
      handler_(handler),
      listener_(loop, uv_tcp_init, this),
      reconnect_timer_(loop, [this] { connect_all(); }),
      flush_check_(loop, uv_check_init, this),
      flush_prepare_(loop, uv_prepare_init, this) {
    for (const wire::Peer& peer : peers)
        targets_.push_back({peer.name, *net::parse_address(peer.address), nullptr});
    uv_check_start(flush_check_.get(), [](uv_check_t* handle) {
        static_cast<PeerNetwork*>(handle->data)->flush_batches();
    });
    uv_prepare_start(flush_prepare_.get(), [](uv_prepare_t* handle) {
        static_cast<PeerNetwork*>(handle->data)->flush_batches();
    });
    flush_check_.unref();
    flush_prepare_.unref();
}

PeerNetwork::~PeerNetwork() {
    for (const Target& target : targets_) {
        if (target.connection) target.connection->close();
    }
    for (const auto& connection : incoming_) connection->close();
}

int PeerNetwork::listen(const sockaddr_in& address) {
    if (const int error =
            uv_tcp_bind(listener_.get(), reinterpret_cast<const sockaddr*>(&address), 0);
        error != 0)
        return error;
    const int error = uv_listen(reinterpret_cast<uv_stream_t*>(listener_.get()), kListenBacklog,
                                [](uv_stream_t* listener, int status) {
                                    if (status == 0)
                                        static_cast<PeerNetwork*>(listener->data)->accept();
                                });
    if (error != 0) return error;
    connect_all();
    reconnect_timer_.every(kReconnectInterval);
    return 0;
}

std::shared_ptr<PeerConnection> PeerNetwork::make_connection() {
    PeerConnection::Listener& listener = *this;
    return std::make_shared<PeerConnection>(loop_, listener);
}

void PeerNetwork::accept() {
    const auto connection = make_connection();
    const std::size_t limit = std::max(kMinIncomingLimit, kMaxConnectionsPerPeer * targets_.size());
    if (uv_accept(reinterpret_cast<uv_stream_t*>(listener_.get()), connection->handle()) < 0 ||
        incoming_.size() >= limit) {
        connection->close();
        return;
    }
    incoming_.insert(connection);
    connection->start_reading();
}

void PeerNetwork::connect_all() {
    for (Target& target : targets_) connect(target);
}

void PeerNetwork::connect(Target& target) {
    const Millis now = static_cast<Millis>(uv_now(loop_));
    if (target.connection) {
        const bool timed_out = target.connection->state() == PeerConnection::State::connecting &&
                               now >= target.connect_deadline;
        if (timed_out) target.connection->close();
        if (target.connection->state() != PeerConnection::State::closed) return;
    }
    target.connection = make_connection();
    target.connect_deadline = now + kConnectTimeout;
    target.connection->connect(target.address);
}

PeerConnection* PeerNetwork::open_connection(const std::string& peer) const {
    for (const Target& target : targets_) {
        const bool open =
            target.connection && target.connection->state() == PeerConnection::State::open;
        if (open && target.name == peer) return target.connection.get();
    }
    return nullptr;
}

void PeerNetwork::send(const std::string& peer, const PeerFrame& frame) {
    if (PeerConnection* connection = open_connection(peer)) connection->send(frame.frame);
}

bool PeerNetwork::send(const lease::LeaseProof<lease::Scheduling>& proof, const std::string& peer,
                       const LeaderFrame& frame) {
    PeerConnection* connection = open_connection(peer);
    if (connection == nullptr || !proof.is_valid()) return false;
    connection->send(frame.frame);
    return true;
}

void PeerNetwork::send_all(const PeerFrame& frame) {
    for (const Target& target : targets_) {
        if (target.connection && target.connection->state() == PeerConnection::State::open)
            target.connection->send(frame.frame);
    }
}

bool PeerNetwork::send_batched(const std::string& peer, const PeerFrame& frame) {
    PeerConnection* connection = open_connection(peer);
    return connection != nullptr && frame.frame.size() <= kMaxFrameBytes &&
           connection->send_batched(frame.frame);
}

void PeerNetwork::on_batch_started(PeerConnection& connection) {
    batched_connections_.push_back(connection.weak_from_this());
}

void PeerNetwork::flush_batches() {
    for (const auto& weak_connection : std::exchange(batched_connections_, {})) {
        if (const auto connection = weak_connection.lock()) connection->flush();
    }
}

void PeerNetwork::on_frame(const Framer::Frame& frame) {
    switch (dispatch(frame, handler_)) {
        case DispatchResult::delivered:
            return;
        case DispatchResult::unreadable:
            return log_drop_once({DropReason::unreadable, frame.kind});
        case DispatchResult::unknown_kind:
            return log_drop_once({DropReason::unknown_kind, frame.kind});
    }
}

void PeerNetwork::on_broken_stream() { log_drop_once({DropReason::broken_stream, 0}); }

void PeerNetwork::on_ended(PeerConnection& connection) {
    incoming_.erase(connection.shared_from_this());
}

void PeerNetwork::log_drop_once(const Drop& drop) {
    if (logged_drops_.size() >= kMaxLoggedDrops || !logged_drops_.insert(drop).second) return;
    switch (drop.reason) {
        case DropReason::broken_stream:
            return spdlog::warn("peer connection closed: reason=broken_stream");
        case DropReason::unreadable:
            return spdlog::warn("peer message dropped: reason=unreadable kind={}", drop.kind);
        case DropReason::unknown_kind:
            return spdlog::warn("peer message dropped: reason=unknown_kind kind={}", drop.kind);
    }
}

}  // namespace nickelramp::peers
