#include "peers/peer_connection.h"

#include <utility>

namespace nickelramp::peers {

namespace {
constexpr std::size_t kMaxUnsentBytes = std::size_t{256} * 1024;
// Lower than the limit for other messages, so that batches cannot crowd them out.
constexpr std::size_t kMaxUnsentBatchBytes = kMaxUnsentBytes / 2;
}  // namespace

void PeerConnection::connect(const sockaddr_in& address) {
    const bool started = stream_.connect(
        weak_from_this(), address,
        [](PeerConnection& connection, int status) { connection.on_connected(status); });
    if (!started) close();
}

void PeerConnection::on_connected(int status) {
    if (state_ != State::connecting) return;
    if (status < 0)
        close();
    else
        start_reading();
}

void PeerConnection::start_reading() {
    state_ = State::open;
    stream_.read(this);
}

void PeerConnection::close() {
    state_ = State::closed;
    stream_.close();
}

void PeerConnection::end() {
    close();
    listener_.on_ended(*this);
}

void PeerConnection::on_bytes(const char* data, ssize_t size) {
    if (size < 0) {
        end();
        return;
    }
    framer_.add({data, static_cast<std::size_t>(size)});
    while (const auto frame = framer_.next()) {
        listener_.on_frame(*frame);
        if (state_ == State::closed) return;
    }
    if (framer_.broken()) {
        listener_.on_broken_stream();
        end();
    }
}

bool PeerConnection::send_batched(const std::string& frame) {
    if (unsent_bytes_ + batch_.size() + frame.size() > kMaxUnsentBatchBytes) return false;
    if (batch_.empty()) listener_.on_batch_started(*this);
    batch_ += frame;
    return true;
}

void PeerConnection::flush() {
    if (batch_.empty() || state_ != State::open) return;
    send(std::exchange(batch_, {}));
}

void PeerConnection::send(const std::string& frame) {
    if (unsent_bytes_ + frame.size() > kMaxUnsentBytes) {
        close();
        return;
    }
    unsent_bytes_ += frame.size();
    const bool started = stream_.write(
        weak_from_this(), frame, [](PeerConnection& connection, int status, std::size_t size) {
            connection.on_written(status, size);
        });
    if (!started) close();
}

void PeerConnection::on_written(int status, std::size_t size) {
    unsent_bytes_ -= size;
    if (status < 0) close();
}

}  // namespace nickelramp::peers
