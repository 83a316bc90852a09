// Answers of the administration API: JSON, for people and their tools.
#pragma once
#include "net/http_server.h"
#include "wire/cbor.h"

namespace nickelramp::admin {

inline net::Response json(int status, const wire::Json& body, int retry_after_s = 0) {
    return {status, body.dump(2, ' ', false, wire::Json::error_handler_t::replace) + "\n",
            retry_after_s, "application/json"};
}

}  // namespace nickelramp::admin
