/// @file
/// Addresses as the settings file, workers and the command line write them.
#pragma once
#include <uv.h>

#include <optional>
#include <string>

namespace nickelramp::net {

/// Reads an IPv4 address with a port, such as "10.0.0.1:8080". Nothing if it is no such address or
/// the port is not from 1 to 65535.
std::optional<sockaddr_in> parse_address(const std::string& text);

}  // namespace nickelramp::net
