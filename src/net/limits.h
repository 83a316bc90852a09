// How a process divides its sockets.
#pragma once

namespace nickelramp::net {

// For connections to the server; the rest is for commands to machines, peers, state service, cloud.
inline constexpr double kServerSocketShare = 0.8;

}  // namespace nickelramp::net
