/// @file
/// Division of a process's sockets among their uses.
#pragma once

namespace nickelramp::net {

/// Share of the sockets for connections to the HTTP server. The remaining sockets are for
/// connections to machines, peers, the key-value store and the cloud.
inline constexpr double kServerSocketShare = 0.8;

}  // namespace nickelramp::net
