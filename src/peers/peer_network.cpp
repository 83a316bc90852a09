#include "peers/peer_network.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "net/address.h"
#include "net/stream.h"

namespace nickelramp::peers {

namespace {
constexpr Millis kRedial = 1000;
constexpr Millis kDialTimeout = 1500;
constexpr std::size_t kMostUnsent = 256 * 1024;
// A peer that came back may have a connection of its former process here for a while.
constexpr std::size_t kConnectionsAPeer = 3;
constexpr std::size_t kLeastIncoming = 16;
}  // namespace

// idle: not connected; dialing; up; closed: to be forgotten
struct PeerNetwork::Connection : std::enable_shared_from_this<PeerNetwork::Connection> {
    enum class State { dialing, up, closed };
    net::Stream stream;
    State state = State::dialing;
    Framer framer;
    std::size_t unsent = 0;
    std::string offered;  // not handed to the stream yet
    Millis deadline = 0;
    PeerNetwork* mesh = nullptr;

    explicit Connection(PeerNetwork* m) : stream(m->loop_), mesh(m) {}
    void set_state(State s) { state = s; }
    void close() {
        if (state == State::closed) return;
        set_state(State::closed);
        stream.close();
    }
    void opened() {
        set_state(State::up);
        stream.read(this);
    }
    void on_bytes(const char* data, ssize_t n) {
        auto keep = shared_from_this();
        if (n < 0) {
            close();
            mesh->incoming_.erase(keep);
            return;
        }
        framer.add({data, static_cast<std::size_t>(n)});
        while (auto f = framer.next()) {
            mesh->deliver(*f);
            if (state == State::closed) return;
        }
        if (framer.broken()) {
            mesh->reject("a stream that cannot be followed");
            close();
            mesh->incoming_.erase(keep);
        }
    }
    // Dropped rather than delivered late where the peer does not keep up.
    bool offer(const std::string& bytes) {
        if (unsent + offered.size() + bytes.size() > kMostUnsent / 2) return false;
        if (offered.empty()) mesh->to_flush_.push_back(weak_from_this());
        offered += bytes;
        return true;
    }
    void flush() {
        if (offered.empty() || state != State::up) return;
        const std::string bytes = std::exchange(offered, {});
        write(bytes);
    }
    void write(const std::string& bytes) {
        if (unsent + bytes.size() > kMostUnsent) {
            close();  // the peer does not read; the next connection starts afresh
            return;
        }
        unsent += bytes.size();
        const bool sent =
            stream.write(weak_from_this(), bytes, [](Connection& line, int status, std::size_t n) {
                line.unsent -= n;
                if (status < 0) line.close();
            });
        if (!sent) close();
    }
};

PeerNetwork::PeerNetwork(uv_loop_t* loop, const std::vector<wire::Peer>& peers, Hooks hooks)
    : loop_(loop),
      peers_(peers),
      hooks_(std::move(hooks)),
      listener_(new uv_tcp_t),
      outgoing_(peers.size()),
      reconnect_timer_(loop,
                       [this] {
                           for (std::size_t i = 0; i < peers_.size(); ++i) connect(i);
                       }),
      after_reading_(new uv_check_t),
      before_waiting_(new uv_prepare_t) {
    uv_tcp_init(loop, listener_);
    listener_->data = this;
    uv_check_init(loop, after_reading_);
    uv_prepare_init(loop, before_waiting_);
    after_reading_->data = before_waiting_->data = this;
    uv_check_start(after_reading_,
                   [](uv_check_t* h) { static_cast<PeerNetwork*>(h->data)->flush(); });
    uv_prepare_start(before_waiting_,
                     [](uv_prepare_t* h) { static_cast<PeerNetwork*>(h->data)->flush(); });
    uv_unref(reinterpret_cast<uv_handle_t*>(after_reading_));
    uv_unref(reinterpret_cast<uv_handle_t*>(before_waiting_));
}

PeerNetwork::~PeerNetwork() {
    for (auto& l : outgoing_) {
        if (l) l->close();
    }
    for (auto& l : incoming_) l->close();
    uv_close(reinterpret_cast<uv_handle_t*>(listener_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_tcp_t*>(h); });
    uv_close(reinterpret_cast<uv_handle_t*>(after_reading_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_check_t*>(h); });
    uv_close(reinterpret_cast<uv_handle_t*>(before_waiting_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_prepare_t*>(h); });
}

int PeerNetwork::listen(const sockaddr_in& address) {
    int rc = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&address), 0);
    if (rc == 0) {
        rc = uv_listen(reinterpret_cast<uv_stream_t*>(listener_), 16,
                       [](uv_stream_t* s, int status) {
                           if (status == 0) static_cast<PeerNetwork*>(s->data)->accept();
                       });
    }
    if (rc == 0) {
        for (std::size_t i = 0; i < peers_.size(); ++i) connect(i);
        reconnect_timer_.every(kRedial);
    }
    return rc;
}

void PeerNetwork::accept() {
    auto line = std::make_shared<Connection>(this);
    if (uv_accept(reinterpret_cast<uv_stream_t*>(listener_), line->stream.handle()) < 0 ||
        incoming_.size() >= std::max(kLeastIncoming, kConnectionsAPeer * peers_.size())) {
        line->close();
        return;
    }
    incoming_.insert(line);
    line->opened();
}

void PeerNetwork::connect(std::size_t i) {
    auto& slot = outgoing_[i];
    Millis now = static_cast<Millis>(uv_now(loop_));
    if (slot && slot->state == Connection::State::dialing && now >= slot->deadline) slot->close();
    if (slot && slot->state != Connection::State::closed) return;
    slot = std::make_shared<Connection>(this);
    slot->deadline = now + kDialTimeout;
    const bool dialing = slot->stream.connect(std::weak_ptr<Connection>(slot),
                                              *net::parse_address(peers_[i].address),
                                              [](Connection& line, int status) {
                                                  if (line.state != Connection::State::dialing)
                                                      return;
                                                  if (status < 0)
                                                      line.close();
                                                  else
                                                      line.opened();
                                              });
    if (!dialing) slot->close();
}

PeerNetwork::Connection* PeerNetwork::connection_to(const std::string& peer) const {
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        const bool up = outgoing_[i] && outgoing_[i]->state == Connection::State::up;
        if (up && peers_[i].name == peer) return outgoing_[i].get();
    }
    return nullptr;
}

void PeerNetwork::send(const std::string& peer, const PeerFrame& speech) {
    if (Connection* line = connection_to(peer)) line->write(speech.frame);
}

bool PeerNetwork::send(const lease::LeaseProof<lease::Scheduling>& permit, const std::string& peer,
                       const LeaderFrame& queue) {
    Connection* line = connection_to(peer);
    if (line == nullptr || !permit.is_valid()) return false;
    line->write(queue.frame);
    return true;
}

void PeerNetwork::send_all(const PeerFrame& speech) {
    for (auto& line : outgoing_) {
        if (line && line->state == Connection::State::up) line->write(speech.frame);
    }
}

bool PeerNetwork::send_batched(const std::string& peer, const PeerFrame& speech) {
    Connection* line = connection_to(peer);
    return line != nullptr && speech.frame.size() <= kMaxFrameBytes && line->offer(speech.frame);
}

void PeerNetwork::flush() {
    const auto lines = std::exchange(to_flush_, {});
    for (const auto& line : lines) {
        if (auto open = line.lock()) open->flush();
    }
}

template <typename Message>
void PeerNetwork::deliver_as(const std::optional<Message>& message,
                             const std::function<void(const Message&)>& hook, const char* what) {
    if (message)
        hook(*message);
    else
        reject(std::string(what) + " that cannot be read");
}

void PeerNetwork::deliver(const Framer::Frame& f) {
    switch (static_cast<MessageKind>(f.kind)) {
        case MessageKind::status:
            return deliver_as(decode_status(f.body), hooks_.status, "a status");
        case MessageKind::shard_grant:
            return deliver_as(decode_shard_grant(f.body), hooks_.shard_grant, "a grant");
        case MessageKind::shard_status:
            return deliver_as(decode_shard_status(f.body), hooks_.shard_status, "news");
        case MessageKind::heartbeat_delegation:
            return deliver_as(decode_heartbeat_delegation(f.body), hooks_.heartbeat_delegation,
                              "a leave");
        case MessageKind::role_assignment:
            return deliver_as(decode_role_assignment(f.body), hooks_.role_assignment, "a charge");
        case MessageKind::delegated_request:
            return deliver_as(decode_delegated_request(f.body), hooks_.delegated_request,
                              "an errand");
        case MessageKind::delegated_result:
            return deliver_as(decode_delegated_result(f.body), hooks_.delegated_result,
                              "an outcome");
        case MessageKind::forwarded_heartbeat:
            return deliver_as(decode_forwarded_heartbeat(f.body), hooks_.forwarded_heartbeat,
                              "a forwarded report");
        case MessageKind::forwarded_reply:
            return deliver_as(decode_forwarded_reply(f.body), hooks_.forwarded_reply,
                              "a forwarded answer");
    }
    reject("kind " + std::to_string(f.kind));  // of a later version
}

void PeerNetwork::reject(const std::string& cause) {
    if (logged_causes_.size() < 100 && logged_causes_.insert(cause).second) {
        spdlog::warn("back channel: {} was dropped", cause);
    }
}

}  // namespace nickelramp::peers
