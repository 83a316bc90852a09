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
#include <concepts>
#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

#include "cloud/provision_reply.h"
#include "kvstore/types.h"
#include "machines/heartbeat_reply.h"
#include "net/http_server.h"
#include "peers/messages.h"
#include "wire/messages.h"

namespace nickelramp::test {

using kvstore::Json;

// Writes JSON text without building a value first: traces have millions of events.
class JsonWriter {
  public:
    // An array of them.
    template <typename... Items>
    JsonWriter& array(const Items&... items) {
        begin();
        (item(items), ...);
        return end();
    }
    JsonWriter& begin() {
        text_ += '[';
        return *this;
    }
    JsonWriter& end();
    template <typename Value>
    JsonWriter& item(const Value& value) {
        write(value);
        text_ += ',';
        return *this;
    }
    const std::string& text() const { return text_; }
    void clear() { text_.clear(); }

  private:
    void write(const char* text) { write(std::string_view(text)); }
    void write(const std::string& text) { write(std::string_view(text)); }
    void write(std::string_view text);
    void write(bool flag) { text_ += flag ? "true" : "false"; }
    void write(std::integral auto number) { text_ += std::to_string(number); }
    void write(double number);
    void write(const Json& value);
    void write(const JsonWriter& written) { text_ += written.text_; }
    template <typename Item>
    void write(const std::vector<Item>& items) {
        begin();
        for (const Item& each : items) item(each);
        end();
    }

    std::string text_;
};

// The trace of one simulation. It is made within a test, and is complete when it is destroyed.
class Trace {
  public:
    // Traces of a test are numbered from 1 in the order of their construction.
    Trace();
    ~Trace();
    Trace(const Trace&) = delete;
    Trace& operator=(const Trace&) = delete;

    // An event: when it happened in simulated time (0 where a test has none), its kind, and all
    // that belongs to it, the sender too where there are several.
    template <typename... Fields>
    void add(Millis now, const char* kind, const Fields&... fields) {
        event_.clear();
        event_.array(now, kind, fields...);
        take_in(event_.text());
    }

  private:
    friend class TraceRecorder;
    explicit Trace(std::size_t ordinal);
    void take_in(const std::string& event);

    std::size_t ordinal_;
    std::size_t events_ = 0;
    std::uint64_t hash_;
    JsonWriter event_;
    std::ofstream full_;  // open if every event is to be written
};

// The trace with number 0 of the current test, for what a test does outside of simulations or in
// so many small ones that one trace for all of them says enough.
Trace& test_trace();

// Messages as they appear in a trace.
JsonWriter traced(const kvstore::Transaction& transaction);
JsonWriter traced(const std::vector<wire::Command>& commands);
JsonWriter traced(const machines::HeartbeatReply& reply);
JsonWriter traced(const cloud::ProvisionReply& reply);
std::string traced(const peers::PeerFrame& message);
std::string traced(const peers::LeaderFrame& message);
JsonWriter traced(const net::Response& response);

}  // namespace nickelramp::test
