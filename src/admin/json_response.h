/// \file
/// Replies of the administration API in JSON, for people and their tools.
#pragma once
#include "net/http_server.h"
#include "wire/cbor.h"

namespace nickelramp::admin {

/// The content type of all replies but the metrics.
inline constexpr const char* kJsonType = "application/json";

/// An indented body. Text that is not UTF-8 is replaced, never an error. `retry_after_s`: seconds,
/// sent as Retry-After when positive.
[[nodiscard]] inline net::Response json(int status, const wire::Json& body, int retry_after_s = 0) {
    constexpr int kIndent = 2;
    const std::string text =
        body.dump(kIndent, ' ', false, wire::Json::error_handler_t::replace) + "\n";
    return {status, text, retry_after_s, kJsonType};
}

}  // namespace nickelramp::admin
