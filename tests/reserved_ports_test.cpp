// Tests that tests get ports that nobody else uses.
#include "tests/reserved_ports.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <set>
#include <system_error>

#include "net/address.h"
#include "tests/event_loop.h"

namespace {

using namespace nickelramp;

struct Socket {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    ~Socket() { close(descriptor); }
    // Each returns 0 or an error number.
    int bind(const std::string& address) const {
        const sockaddr_in to = *net::parse_address(address);
        return ::bind(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0 ? 0
                                                                                          : errno;
    }
    int connect(const std::string& address) const {
        const sockaddr_in to = *net::parse_address(address);
        return ::connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0
                   ? 0
                   : errno;
    }
};

// Guards against fixed ports, which outgoing connections of other tests and programs may have as
// their local ports. A server could then not listen for as long as such a connection was open or in
// TIME_WAIT, and the test was aborted.
TEST(ReservedPorts, ServersListenThereAndNobodyElseGetsThem) {
    const test::ReservedPorts ports;
    EXPECT_EQ(Socket().connect(ports.address()), ECONNREFUSED);
    EXPECT_EQ(Socket().bind(ports.address()), EADDRINUSE);
    test::EventLoop events;
    const test::StateServiceEmulator server(&events.loop, ports.address());
    EXPECT_EQ(Socket().connect(ports.address()), 0);
}

TEST(ReservedPorts, AreConsecutiveAndDifferBetweenOwners) {
    const test::ReservedPorts ports(3), others(3);
    std::set<std::string> addresses;
    for (std::size_t n = 0; n < 3; ++n) {
        EXPECT_EQ(ports.address(n), "127.0.0.1:" + std::to_string(ports.first() + n));
        addresses.insert(ports.address(n));
        addresses.insert(others.address(n));
    }
    EXPECT_EQ(addresses.size(), 6u);
}

// A server that cannot listen says so, instead of ending the process without a message.
TEST(ReservedPorts, AServerThatCannotListenNamesTheAddress) {
    const test::ReservedPorts ports;
    test::EventLoop events;
    const test::StateServiceEmulator first(&events.loop, ports.address());
    try {
        const test::StateServiceEmulator second(&events.loop, ports.address());
        ADD_FAILURE() << "two servers listen on one port";
    } catch (const std::system_error& error) {
        EXPECT_EQ(error.code(), std::errc::address_in_use);
        EXPECT_NE(std::string(error.what()).find(ports.address()), std::string::npos);
    }
}

}  // namespace
