#include "net/address.h"

#include <charconv>

namespace nickelramp::net {

namespace {
constexpr int kMinPort = 1, kMaxPort = 65535;
}

std::optional<sockaddr_in> parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    int port = 0;
    const char* end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc() || parsed != end || port < kMinPort || port > kMaxPort)
        return std::nullopt;
    sockaddr_in address{};
    if (uv_ip4_addr(text.substr(0, colon).c_str(), port, &address) != 0) return std::nullopt;
    return address;
}

}  // namespace nickelramp::net
