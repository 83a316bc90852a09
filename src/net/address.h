// IPv4 addresses as the settings and workers write them: "10.0.0.1:8080".
#pragma once
#include <uv.h>

#include <optional>
#include <string>

namespace nickelramp::net {

std::optional<sockaddr_in> parse_address(const std::string& text);

}  // namespace nickelramp::net
