/// @file
/// JSON responses of the administration API.
#pragma once
#include "net/http_server.h"
#include "wire/cbor.h"

namespace nickelramp::admin {

/// The content type of all responses except the metrics.
inline constexpr const char* kJsonType = "application/json";

/// Returns a response with an indented JSON body. Invalid UTF-8 in strings is replaced and never
/// causes an error. A positive `retry_after_s` is sent in the Retry-After header.
[[nodiscard]] inline net::Response json(int status, const wire::Json& body, int retry_after_s = 0) {
    constexpr int kIndent = 2;
    const std::string text =
        body.dump(kIndent, ' ', false, wire::Json::error_handler_t::replace) + "\n";
    return {status, text, retry_after_s, kJsonType};
}

}  // namespace nickelramp::admin
