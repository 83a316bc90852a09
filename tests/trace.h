/// @file
/// Traces of simulations: everything that the code under test sends, commits and answers, in order
/// and with simulated time, reduced to a hash. At the end of each test the hashes of its traces are
/// compared with the recorded ones (tests/traces/recorded.txt), so that refactoring cannot change
/// behaviour unnoticed. Log lines and identifiers are not part of a trace.
///
/// Two environment variables each name an existing folder:
///
///   NICKELRAMP_RECORD_TRACES  writes the hashes there, one file per test, and compares nothing
///   NICKELRAMP_TRACE_EVENTS   writes every event there, one file per trace, so that two runs can
///                             be compared line by line
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

/// Writes JSON text without building a JSON value first, because traces have millions of events.
class JsonWriter {
  public:
    /// Writes an array of the items.
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

/// The trace of one simulation. It is created within a test and is complete when it is destroyed.
class Trace {
  public:
    /// Traces of a test are numbered from 1 in the order of their construction.
    Trace();
    ~Trace();
    Trace(const Trace&) = delete;
    Trace& operator=(const Trace&) = delete;

    /// Adds an event: its simulated time (0 in tests without simulated time), its kind and its
    /// data, including the sender if there are several.
    template <typename... Fields>
    void add(Millis now, const char* kind, const Fields&... fields) {
        event_.clear();
        event_.array(now, kind, fields...);
        append_event(event_.text());
    }

  private:
    friend class TraceRecorder;
    explicit Trace(std::size_t ordinal);
    void append_event(const std::string& event);

    std::size_t ordinal_;
    std::size_t events_ = 0;
    std::uint64_t hash_;
    JsonWriter event_;
    std::ofstream event_file_;  ///< open if every event is written
};

/// Returns trace 0 of the current test. It is for events outside of simulations, and for tests that
/// run many small simulations and share one trace among them.
Trace& test_trace();

/// Returns the message in the form in which traces contain it.
JsonWriter traced(const kvstore::Transaction& transaction);
JsonWriter traced(const std::vector<wire::Command>& commands);
JsonWriter traced(const machines::HeartbeatReply& reply);
JsonWriter traced(const cloud::ProvisionReply& reply);
std::string traced(const peers::PeerFrame& message);
std::string traced(const peers::LeaderFrame& message);
JsonWriter traced(const net::Response& response);

}  // namespace nickelramp::test
