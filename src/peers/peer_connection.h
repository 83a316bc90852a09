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
/// shared_ptr. Reports events to a Listener, which must outlive the connection or close it first.
/// Must be used on the loop thread only.
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
        /// Called when a batch is started. flush() must be called in this iteration of the loop.
        virtual void on_batch_started(PeerConnection& connection) = 0;
        /// Called when the data from the peer cannot be split into frames. Followed by on_ended().
        virtual void on_broken_stream() = 0;
        /// Called after the connection was closed because the peer closed it or sent a broken
        /// stream. Not called after close().
        virtual void on_ended(PeerConnection& connection) = 0;

      protected:
        ~Listener() = default;
    };

    PeerConnection(uv_loop_t* loop, Listener& listener) : stream_(loop), listener_(listener) {}

    State state() const { return state_; }
    /// Returns the handle to pass to uv_accept.
    uv_stream_t* handle() const { return stream_.handle(); }

    /// Starts to connect. The state becomes open when the peer accepts, and closed on failure.
    void connect(const sockaddr_in& address);
    /// Starts to read from an accepted connection.
    void start_reading();
    void close();

    /// Sends the frame now. Closes the connection if too much data is unsent, because the peer does
    /// not keep up. A new connection starts without a backlog.
    void send(const std::string& frame);
    /// Buffers the frame until flush(). Returns false and drops the frame if the peer does not keep
    /// up, because dropping a batched message is better than sending it late.
    [[nodiscard]] bool send_batched(const std::string& frame);
    /// Sends the batch in one write.
    void flush();

    /// Called by Stream. A negative size means that the connection has ended.
    void on_bytes(const char* data, ssize_t size);

  private:
    void on_connected(int status);
    void on_written(int status, std::size_t size);
    void end();

    net::Stream stream_;
    Listener& listener_;
    State state_ = State::connecting;
    Framer framer_;
    std::size_t unsent_bytes_ = 0;  // passed to the stream, but not sent yet
    std::string batch_;
};

}  // namespace nickelramp::peers
