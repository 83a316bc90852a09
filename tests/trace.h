// Traces of simulations: everything that the code under test sends, commits and answers, in order
// and with simulated time, reduced to a hash. At the end of each test its hashes are compared with
// those on record (tests/traces/recorded.txt), so that no change of behaviour goes unnoticed while
// the code is reshaped. Log lines and names in the code are no part of a trace.
//
// Environment variables, both of which name a folder that exists:
//
//   NICKELRAMP_RECORD_TRACES  write the hashes there, a file for each test, and compare nothing
//   NICKELRAMP_TRACE_EVENTS   write every event there, a file for each trace: two runs can be
//                             compared line by line
#pragma once
#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

#include "cloud/provision_reply.h"
#include "kvstore/client.h"
#include "machines/heartbeat_reply.h"
#include "net/http_server.h"
#include "peers/messages.h"
#include "wire/messages.h"

namespace nickelramp::test {

using kvstore::Json;

// The trace of one simulation. It is made within a test, and is complete when it is destroyed.
class Trace {
  public:
    // Traces of a test are numbered from 1 in the order of their construction.
    Trace();
    ~Trace();
    Trace(const Trace&) = delete;
    Trace& operator=(const Trace&) = delete;

    // An event: when it happened in simulated time (0 where a test has none), its kind, and all
    // that belongs to it. `sender`, where there are several, is among the fields.
    template <typename... Fields>
    void add(Millis now, const char* kind, const Fields&... fields) {
        Json event = Json::array();
        event.push_back(now);
        event.push_back(kind);
        (event.push_back(Json(fields)), ...);
        append(event);
    }

  private:
    friend class TraceRecorder;
    explicit Trace(std::size_t ordinal);
    void append(const Json& event);

    std::size_t ordinal_;
    std::size_t events_ = 0;
    std::uint64_t hash_;
    std::ofstream full_;  // open if every event is to be written
};

// The trace with number 0 of the current test, for what a test does outside of simulations or in
// so many small ones that one trace for all of them says enough.
Trace& test_trace();

// Messages as they appear in a trace.
Json traced(const kvstore::Transaction& transaction);
Json traced(const std::vector<wire::Command>& commands);
Json traced(const machines::HeartbeatReply& answer);
Json traced(const cloud::ProvisionReply& reply);
Json traced(const peers::PeerFrame& message);
Json traced(const peers::LeaderFrame& message);
Json traced(const net::Response& response);

}  // namespace nickelramp::test
