#include "net/address.h"

#include <charconv>

namespace nickelramp::net {

std::optional<sockaddr_in> parse_address(const std::string& text) {
    auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    int port = 0;
    const char* end = text.data() + text.size();
    auto [ptr, ec] = std::from_chars(text.data() + colon + 1, end, port);
    if (ec != std::errc() || ptr != end || port < 1 || port > 65535) return std::nullopt;
    sockaddr_in out{};
    if (uv_ip4_addr(text.substr(0, colon).c_str(), port, &out) != 0) return std::nullopt;
    return out;
}

}  // namespace nickelramp::net
