#include "peers/mesh.h"

#include <spdlog/spdlog.h>

#include "net/address.h"

namespace nickelramp::peers {

namespace {
constexpr Millis kRedial = 1000;
constexpr Millis kDialTimeout = 1500;
constexpr std::size_t kMostUnsent = 256 * 1024;
constexpr std::size_t kMostIncoming = 16;
}  // namespace

// idle: not connected; dialing; up; closed: to be forgotten
struct Mesh::Line : std::enable_shared_from_this<Mesh::Line> {
    enum class State { dialing, up, closed };
    uv_tcp_t* tcp = new uv_tcp_t;
    State state = State::dialing;
    Framer framer;
    std::size_t unsent = 0;
    Millis deadline = 0;
    Mesh* mesh = nullptr;

    explicit Line(Mesh* m) : mesh(m) {
        uv_tcp_init(m->loop_, tcp);
        tcp->data = this;
    }
    void set_state(State s) { state = s; }
    void close() {
        if (state == State::closed) return;
        set_state(State::closed);
        tcp->data = nullptr;
        uv_close(reinterpret_cast<uv_handle_t*>(tcp),
                 [](uv_handle_t* h) { delete reinterpret_cast<uv_tcp_t*>(h); });
    }
    void opened() {
        set_state(State::up);
        uv_tcp_nodelay(tcp, 1);
        uv_read_start(
            reinterpret_cast<uv_stream_t*>(tcp),
            [](uv_handle_t*, std::size_t, uv_buf_t* buf) {
                static char shared[64 * 1024];
                *buf = uv_buf_init(shared, sizeof shared);
            },
            [](uv_stream_t* s, ssize_t n, const uv_buf_t* buf) {
                auto* line = static_cast<Line*>(s->data);
                if (line == nullptr || n == 0) return;
                auto keep = line->shared_from_this();
                Mesh* mesh = line->mesh;
                if (n < 0) {
                    line->close();
                    mesh->in_.erase(keep);
                    return;
                }
                line->framer.add({buf->base, static_cast<std::size_t>(n)});
                while (auto f = line->framer.next()) {
                    mesh->deliver(*f);
                    if (line->state == State::closed) return;
                }
                if (line->framer.broken()) {
                    mesh->refuse("a stream that cannot be followed");
                    line->close();
                    mesh->in_.erase(keep);
                }
            });
    }
    void write(const std::string& bytes) {
        struct Write {
            uv_write_t req;
            std::string data;
            std::weak_ptr<Line> owner;
        };
        if (unsent + bytes.size() > kMostUnsent) {
            close();  // the peer does not read; the next connection starts afresh
            return;
        }
        unsent += bytes.size();
        auto* w = new Write{{}, bytes, weak_from_this()};
        w->req.data = w;
        uv_buf_t buf = uv_buf_init(w->data.data(), static_cast<unsigned>(w->data.size()));
        int rc = uv_write(&w->req, reinterpret_cast<uv_stream_t*>(tcp), &buf, 1,
                          [](uv_write_t* req, int status) {
                              std::unique_ptr<Write> w(static_cast<Write*>(req->data));
                              auto line = w->owner.lock();
                              if (!line) return;
                              line->unsent -= w->data.size();
                              if (status < 0) line->close();
                          });
        if (rc < 0) {
            delete w;
            close();
        }
    }
};

Mesh::Mesh(uv_loop_t* loop, const std::vector<wire::Peer>& peers, Hooks hooks)
    : loop_(loop),
      peers_(peers),
      hooks_(std::move(hooks)),
      listener_(new uv_tcp_t),
      out_(peers.size()),
      redial_(loop, [this] {
          for (std::size_t i = 0; i < peers_.size(); ++i) dial(i);
      }) {
    uv_tcp_init(loop, listener_);
    listener_->data = this;
}

Mesh::~Mesh() {
    for (auto& l : out_) {
        if (l) l->close();
    }
    for (auto& l : in_) l->close();
    uv_close(reinterpret_cast<uv_handle_t*>(listener_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_tcp_t*>(h); });
}

int Mesh::listen(const sockaddr_in& address) {
    int rc = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&address), 0);
    if (rc == 0) {
        rc = uv_listen(reinterpret_cast<uv_stream_t*>(listener_), 16,
                       [](uv_stream_t* s, int status) {
                           if (status == 0) static_cast<Mesh*>(s->data)->accept();
                       });
    }
    if (rc == 0) {
        for (std::size_t i = 0; i < peers_.size(); ++i) dial(i);
        redial_.every(kRedial);
    }
    return rc;
}

void Mesh::accept() {
    auto line = std::make_shared<Line>(this);
    if (uv_accept(reinterpret_cast<uv_stream_t*>(listener_),
                  reinterpret_cast<uv_stream_t*>(line->tcp)) < 0 ||
        in_.size() >= kMostIncoming) {
        line->close();
        return;
    }
    in_.insert(line);
    line->opened();
}

void Mesh::dial(std::size_t i) {
    auto& slot = out_[i];
    Millis now = static_cast<Millis>(uv_now(loop_));
    if (slot && slot->state == Line::State::dialing && now >= slot->deadline) slot->close();
    if (slot && slot->state != Line::State::closed) return;
    slot = std::make_shared<Line>(this);
    slot->deadline = now + kDialTimeout;
    struct Connect {
        uv_connect_t req;
        std::weak_ptr<Line> owner;
    };
    auto* c = new Connect{{}, slot};
    c->req.data = c;
    sockaddr_in address = *net::parse_address(peers_[i].address);
    int rc = uv_tcp_connect(&c->req, slot->tcp, reinterpret_cast<const sockaddr*>(&address),
                            [](uv_connect_t* req, int status) {
                                std::unique_ptr<Connect> c(static_cast<Connect*>(req->data));
                                auto line = c->owner.lock();
                                if (!line || line->state != Line::State::dialing) return;
                                if (status < 0)
                                    line->close();
                                else
                                    line->opened();
                            });
    if (rc < 0) {
        delete c;
        slot->close();
    }
}

void Mesh::send(const std::string& peer, const std::string& frame) {
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        if (peers_[i].name == peer && out_[i] && out_[i]->state == Line::State::up)
            out_[i]->write(frame);
    }
}

void Mesh::send_all(const std::string& frame) {
    for (auto& line : out_) {
        if (line && line->state == Line::State::up) line->write(frame);
    }
}

void Mesh::deliver(const Framer::Frame& f) {
    switch (static_cast<Kind>(f.kind)) {
        case Kind::status:
            if (auto m = read_status(f.body)) return hooks_.status(*m);
            return refuse("a status that cannot be read");
        case Kind::grant:
            if (auto m = read_grant(f.body)) return hooks_.grant(*m);
            return refuse("a grant that cannot be read");
        case Kind::news:
            if (auto m = read_news(f.body)) return hooks_.news(*m);
            return refuse("news that cannot be read");
        case Kind::leave:
            if (auto m = read_leave(f.body)) return hooks_.leave(*m);
            return refuse("a leave that cannot be read");
    }
    refuse("kind " + std::to_string(f.kind));  // of a later version
}

void Mesh::refuse(const std::string& cause) {
    if (complained_.size() < 100 && complained_.insert(cause).second) {
        spdlog::warn("back channel: {} was dropped", cause);
    }
}

}  // namespace nickelramp::peers
