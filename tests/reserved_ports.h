/// @file
/// Ports of 127.0.0.1 for the servers of a test.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

namespace nickelramp::test {

/// Consecutive TCP ports of 127.0.0.1 that are kept for the owner of this object while it exists.
/// The system gives them to no other socket, and to no outgoing connection as its local port.
///
/// A server can listen on a reserved port if it sets SO_REUSEADDR, as libuv does. Connections to a
/// reserved port on which nobody listens are refused.
class ReservedPorts {
  public:
    /// Throws std::system_error if no ports are free.
    explicit ReservedPorts(std::size_t count = 1);
    ~ReservedPorts();
    ReservedPorts(const ReservedPorts&) = delete;
    ReservedPorts& operator=(const ReservedPorts&) = delete;

    int first() const { return first_; }
    /// Returns the address with the port `index` after the first.
    std::string address(std::size_t index = 0) const;

  private:
    // Returns whether the `count` ports after the one of the first socket were free.
    bool reserve_following(std::size_t count);
    void release();

    int first_ = 0;
    std::vector<int> sockets_;  // bound to one port each, not listening
};

}  // namespace nickelramp::test
