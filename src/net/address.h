/// @file
/// Parsing of IPv4 addresses with a port, as used in settings and by workers.
#pragma once
#include <uv.h>

#include <optional>
#include <string>

namespace nickelramp::net {

/// Parses an address such as "10.0.0.1:8080". Returns std::nullopt if it is invalid.
std::optional<sockaddr_in> parse_address(const std::string& text);

}  // namespace nickelramp::net
