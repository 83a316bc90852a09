/// @file
/// A TCP connection on libuv, used by the HTTP client, the HTTP server and the peer network.
#pragma once
#include <uv.h>

#include <memory>
#include <string>
#include <utility>

#include "net/uv_handle.h"

namespace nickelramp::net {

/// A TCP connection whose owner is managed by a std::shared_ptr. Pending operations hold a weak
/// reference to the owner, which may therefore be destroyed before they end. Must be used on the
/// loop's thread only. Closed by close() or by the destructor.
class Stream {
  public:
    explicit Stream(uv_loop_t* loop) : tcp_(loop, uv_tcp_init) {}
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    /// Returns the handle for uv_accept, or nullptr once the stream is closed.
    uv_stream_t* handle() const { return reinterpret_cast<uv_stream_t*>(tcp_.get()); }

    /// Returns the local IPv4 address, or an empty string if the stream is not connected.
    std::string local_ip() const {
        sockaddr_in address{};
        int size = sizeof address;
        char text[INET_ADDRSTRLEN] = "";
        if (uv_tcp_getsockname(tcp_.get(), reinterpret_cast<sockaddr*>(&address), &size) == 0)
            uv_ip4_name(&address, text, sizeof text);
        return text;
    }

    /// Stops reading and lets pending writes fail. May be called repeatedly.
    void close() {
        if (tcp_.is_closed()) return;
        tcp_.get()->data = nullptr;
        tcp_.close();
    }

    /// Starts reading and calls owner->on_bytes(data, size) for received data. A negative size is a
    /// libuv error and means that the connection has ended. The owner is kept alive during the call
    /// and must close the stream before it is destroyed.
    template <typename Owner>
    void read(Owner* owner) {
        tcp_.get()->data = owner;
        uv_tcp_nodelay(tcp_.get(), 1);
        uv_read_start(
            handle(),
            [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
                // All streams share one buffer, because the owner consumes the data in on_bytes.
                static char shared[64 * 1024];
                *buffer = uv_buf_init(shared, sizeof shared);
            },
            [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
                auto* owner = static_cast<Owner*>(stream->data);
                if (owner == nullptr || size == 0) return;
                auto keep_alive = owner->shared_from_this();
                owner->on_bytes(buffer->base, size);
            });
    }

    /// Sends the data and then calls done(owner, status, size) if the owner still exists. A
    /// negative status is a libuv error. Returns false if nothing was sent and `done` will not be
    /// called.
    template <typename Owner, typename Done>
    [[nodiscard]] bool write(std::weak_ptr<Owner> owner, std::string data, Done done) {
        struct WriteRequest {
            uv_write_t request;
            std::string data;
            std::weak_ptr<Owner> owner;
            Done done;
        };
        if (tcp_.is_closed()) return false;
        auto write = std::make_unique<WriteRequest>(
            WriteRequest{{}, std::move(data), std::move(owner), std::move(done)});
        write->request.data = write.get();
        const uv_buf_t buffer =
            uv_buf_init(write->data.data(), static_cast<unsigned>(write->data.size()));
        const int error =
            uv_write(&write->request, handle(), &buffer, 1, [](uv_write_t* request, int status) {
                const std::unique_ptr<WriteRequest> ended(
                    static_cast<WriteRequest*>(request->data));
                if (auto alive = ended->owner.lock())
                    ended->done(*alive, status, ended->data.size());
            });
        if (error < 0) return false;
        static_cast<void>(write.release());  // its callback deletes it
        return true;
    }

    /// Connects and then calls done(owner, status) if the owner still exists. A negative status is
    /// a libuv error. Returns false if connecting failed immediately and `done` will not be called.
    template <typename Owner, typename Done>
    [[nodiscard]] bool connect(std::weak_ptr<Owner> owner, const sockaddr_in& address, Done done) {
        struct ConnectRequest {
            uv_connect_t request;
            std::weak_ptr<Owner> owner;
            Done done;
        };
        if (tcp_.is_closed()) return false;
        auto connect =
            std::make_unique<ConnectRequest>(ConnectRequest{{}, std::move(owner), std::move(done)});
        connect->request.data = connect.get();
        const int error = uv_tcp_connect(&connect->request, tcp_.get(),
                                         reinterpret_cast<const sockaddr*>(&address),
                                         [](uv_connect_t* request, int status) {
                                             const std::unique_ptr<ConnectRequest> ended(
                                                 static_cast<ConnectRequest*>(request->data));
                                             if (auto alive = ended->owner.lock())
                                                 ended->done(*alive, status);
                                         });
        if (error < 0) return false;
        static_cast<void>(connect.release());  // its callback deletes it
        return true;
    }

  private:
    UvHandle<uv_tcp_t> tcp_;
};

}  // namespace nickelramp::net
