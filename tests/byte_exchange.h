/// @file
/// A test connection that sends raw bytes and records the reply.
#pragma once
#include <uv.h>

#include <string>

namespace nickelramp::test {

/// Sends `sent` once connected and appends what the server sends to `received`. Must not be moved
/// or destroyed while its handle is open.
struct ByteExchange {
    uv_tcp_t tcp;
    uv_connect_t connect;
    uv_write_t write;
    std::string sent, received;
    bool closed = false;

    /// Starts sending and reading. Called once the connection is established.
    void start() {
        auto* stream = reinterpret_cast<uv_stream_t*>(&tcp);
        uv_buf_t buffer = uv_buf_init(sent.data(), static_cast<unsigned>(sent.size()));
        uv_write(&write, stream, &buffer, 1, [](uv_write_t*, int) {});
        uv_read_start(
            stream,
            [](uv_handle_t*, std::size_t, uv_buf_t* space) {
                static char bytes[65536];
                *space = uv_buf_init(bytes, sizeof bytes);
            },
            [](uv_stream_t* stream, ssize_t size, const uv_buf_t* read) {
                auto* exchange = static_cast<ByteExchange*>(stream->data);
                if (size > 0) exchange->received.append(read->base, static_cast<std::size_t>(size));
                if (size < 0) exchange->closed = true;
            });
    }
};

}  // namespace nickelramp::test
