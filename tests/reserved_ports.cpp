#include "tests/reserved_ports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>

namespace nickelramp::test {

namespace {
constexpr int kMaxAttempts = 100;  // to find consecutive free ports
constexpr int kAnyPort = 0;

sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// Returns a socket that is bound to the port, or -1 with errno set. It is bound without
// SO_REUSEADDR, so that nobody else has the port, and then allows others that set it to bind to it.
int bound_socket(int port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) return -1;
    const sockaddr_in address = loopback(port);
    const int on = 1;
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0)
        return descriptor;
    const int error = errno;
    close(descriptor);
    errno = error;
    return -1;
}

int port_of(int descriptor) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}
}  // namespace

ReservedPorts::ReservedPorts(std::size_t count) {
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
        const int descriptor = bound_socket(kAnyPort);
        if (descriptor < 0) break;
        sockets_.push_back(descriptor);
        first_ = port_of(descriptor);
        if (reserve_following(count - 1)) return;
        release();
    }
    throw std::system_error(errno, std::generic_category(), "no free ports");
}

ReservedPorts::~ReservedPorts() { release(); }

std::string ReservedPorts::address(std::size_t index) const {
    return "127.0.0.1:" + std::to_string(first_ + static_cast<int>(index));
}

bool ReservedPorts::reserve_following(std::size_t count) {
    for (std::size_t n = 1; n <= count; ++n) {
        const int descriptor = bound_socket(first_ + static_cast<int>(n));
        if (descriptor < 0) return false;
        sockets_.push_back(descriptor);
    }
    return true;
}

void ReservedPorts::release() {
    for (const int descriptor : sockets_) close(descriptor);
    sockets_.clear();
}

}  // namespace nickelramp::test
