/// @file
/// One TCP connection to or from another controller.
#pragma once
#include <uv.h>

#include <memory>
#include <string>

#include "net/stream.h"
#include "peers/codec.h"

namespace nickelramp::peers {

/// Sends and receives frames on one connection, with a bounded amount of unsent data. Held by
/// shared_ptr; its events go to a Listener, which must outlive it or close it before. To be used on
/// the loop's thread only.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
  public:
    enum class State { connecting, open, closed };

    /// Implemented by PeerNetwork.
    class Listener {
      public:
        Listener() = default;
        Listener(const Listener&) = delete;
        Listener& operator=(const Listener&) = delete;

        virtual void on_frame(const Framer::Frame& frame) = 0;
        /// A batch has been begun: flush() is to be called in this turn of the loop.
        virtual void on_batch_started(PeerConnection& connection) = 0;
        /// No frames can be cut from what the peer sends. Followed by on_ended().
        virtual void on_broken_stream() = 0;
        /// The peer has closed the connection, or sends a broken stream; it is closed here too.
        /// Not called after close().
        virtual void on_ended(PeerConnection& connection) = 0;

      protected:
        ~Listener() = default;
    };

    PeerConnection(uv_loop_t* loop, Listener& listener) : stream_(loop), listener_(listener) {}

    State state() const { return state_; }
    /// For uv_accept.
    uv_stream_t* handle() const { return stream_.handle(); }

    /// Becomes open when the peer accepts; closed when it does not.
    void connect(const sockaddr_in& address);
    /// Starts to read a connection that has been accepted.
    void start_reading();
    void close();

    /// Sends the frame now. Closes the connection if the peer has left too much unread: the next
    /// one starts afresh.
    void send(const std::string& frame);
    /// Keeps the frame until flush(). False, and nothing is kept, if the peer does not keep up:
    /// batched messages are better dropped than late.
    [[nodiscard]] bool send_batched(const std::string& frame);
    /// Sends the batch in one write.
    void flush();

    /// Called by Stream. A negative size says that the connection has ended.
    void on_bytes(const char* data, ssize_t size);

  private:
    void on_connected(int status);
    void on_written(int status, std::size_t size);
    void end();

    net::Stream stream_;
    Listener& listener_;
    State state_ = State::connecting;
    Framer framer_;
    std::size_t unsent_bytes_ = 0;  // given to the stream and not sent yet
    std::string batch_;
};

}  // namespace nickelramp::peers
