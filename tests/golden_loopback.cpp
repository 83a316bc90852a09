#include "tests/golden_loopback.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "tests/emulator.h"

namespace nickelramp::test::golden {

namespace {
constexpr std::size_t kReadBufferBytes = 65536;
constexpr time_t kReceiveTimeoutS = 5;  // for the next bytes of a reply

// Returns whether the request has its head and as many body bytes as Content-Length states.
bool is_complete(const std::string& request) {
    const std::string mark = "Content-Length: ";
    const auto head = request.find("\r\n\r\n");
    if (head == std::string::npos) return false;
    const auto length = request.find(mark);
    const std::size_t body =
        length < head ? std::stoul(request.substr(length + mark.size())) : std::size_t{0};
    return request.size() >= head + 4 + body;
}

// Reads until `enough` returns true for the bytes received, or until the connection closes.
template <typename Enough>
std::string read_from(int connection, Enough enough) {
    std::string in, part(kReadBufferBytes, '\0');
    while (!enough(in)) {
        const ssize_t n = recv(connection, part.data(), part.size(), 0);
        if (n <= 0) break;
        in.append(part.data(), static_cast<std::size_t>(n));
    }
    return in;
}

void write_to(int connection, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) return;
        sent += static_cast<std::size_t>(n);
    }
}
}  // namespace

Listener::Listener(const std::string& address, std::string answer) : answer_(std::move(answer)) {
    socket_ = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in own = *net::parse_address(address);
    EXPECT_EQ(bind(socket_, reinterpret_cast<const sockaddr*>(&own), sizeof own), 0);
    EXPECT_EQ(listen(socket_, 8), 0);
    thread_ = std::thread([this] { run(); });
}

Listener::~Listener() {
    shutdown(socket_, SHUT_RDWR);
    thread_.join();
    close(socket_);
}

void Listener::run() {
    while (!request_received_) {
        const int connection = accept(socket_, nullptr, nullptr);
        if (connection < 0) return;
        const std::string in = read_from(connection, is_complete);
        if (is_complete(in)) {
            write_to(connection, answer_);
            request_ = in;
            request_received_ = true;
        }
        close(connection);
    }
}

std::string exchange(uv_loop_t* loop, const std::string& server, const std::string& bytes) {
    std::string out;
    std::atomic<bool> over = false;
    std::thread client([&] {
        const int connection = socket(AF_INET, SOCK_STREAM, 0);
        const timeval receive_timeout{kReceiveTimeoutS, 0};
        setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
        const sockaddr_in address = *net::parse_address(server);
        if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
            write_to(connection, bytes);
            out = read_from(connection, [](const std::string&) { return false; });
        }
        close(connection);
        over = true;
    });
    EXPECT_TRUE(run_until(loop, [&] { return over.load(); }));
    client.join();
    return out;
}

}  // namespace nickelramp::test::golden
