/// @file
/// How a process divides its sockets.
#pragma once

namespace nickelramp::net {

/// Of the limit on open sockets: the share for connections to the HTTP server. The rest is for
/// commands to workers, peers, the key-value store and the cloud.
inline constexpr double kServerSocketShare = 0.8;

}  // namespace nickelramp::net
