#include "tests/trace.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <utility>

namespace nickelramp::test {

namespace {

// FNV-1a, 64 bits: http://www.isthe.com/chongo/tech/comp/fnv/
constexpr std::uint64_t kFnvBasis = 0xcbf29ce484222325, kFnvPrime = 0x100000001b3;

std::uint64_t extend_hash(std::uint64_t hash, std::string_view bytes) {
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= kFnvPrime;
    }
    return hash;
}

std::string hexadecimal(std::string_view bytes) {
    constexpr char kDigits[] = "0123456789abcdef";
    std::string out;
    out.reserve(2 * bytes.size());
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        out += kDigits[byte >> 4];
        out += kDigits[byte & 15];
    }
    return out;
}

std::string current_test() {
    const testing::TestInfo* info = testing::UnitTest::GetInstance()->current_test_info();
    return std::string(info->test_suite_name()) + "." + info->name();
}

// Returns the value of the environment variable, or an empty string if it is not set.
std::string environment_value(const char* variable) {
    const char* value = std::getenv(variable);
    return value == nullptr ? "" : value;
}

const char* name_of(wire::Command::Op op) {
    switch (op) {
        case wire::Command::Op::start:
            return "start";
        case wire::Command::Op::stop:
            return "stop";
        case wire::Command::Op::forget:
            return "forget";
    }
    return "unknown";
}

using Lines = std::vector<std::string>;

// Returns the recorded lines by the name of their test.
std::map<std::string, Lines> read_recorded_lines() {
    std::map<std::string, Lines> by_test;
    std::ifstream file(NICKELRAMP_GOLDEN_TRACES);
    for (std::string line; std::getline(file, line);) {
        by_test[line.substr(0, line.find(' '))].push_back(line);
    }
    return by_test;
}

}  // namespace

// Collects the traces of the current test and compares or records them when the test ends.
class TraceRecorder : public testing::EmptyTestEventListener {
  public:
    // Owned by the test framework once TraceEnvironment has registered it.
    static TraceRecorder& instance() {
        static auto* const recorder = new TraceRecorder;
        return *recorder;
    }

    std::size_t next_ordinal() { return ++last_ordinal_; }
    void ended(std::size_t ordinal, std::string line) { lines_[ordinal] = std::move(line); }
    Trace& shared() {
        if (!shared_) shared_.reset(new Trace(0));
        return *shared_;
    }

    void OnTestStart(const testing::TestInfo&) override {
        last_ordinal_ = 0;
        lines_.clear();
    }
    void OnTestEnd(const testing::TestInfo&) override {
        shared_.reset();
        Lines found;
        for (auto& [ordinal, line] : lines_) found.push_back(std::move(line));
        const std::string folder = environment_value("NICKELRAMP_RECORD_TRACES");
        if (folder.empty())
            compare(found);
        else if (!found.empty())
            record(folder, found);
    }

  private:
    static void record(const std::string& folder, const Lines& found) {
        std::ofstream file(folder + "/" + current_test() + ".txt");
        for (const std::string& line : found) file << line << "\n";
        EXPECT_TRUE(file.good()) << "cannot write traces to " << folder;
    }
    // Reports only the first difference, because later ones are often its consequences.
    static void compare(const Lines& found) {
        static const std::map<std::string, Lines> golden = read_recorded_lines();
        const auto it = golden.find(current_test());
        const Lines expected = it == golden.end() ? Lines{} : it->second;
        const auto [differs, other] =
            std::mismatch(found.begin(), found.end(), expected.begin(), expected.end());
        if (differs == found.end() && other == expected.end()) return;
        ADD_FAILURE()
            << "traces differ from the recorded ones; first difference:\n"
            << "  now:      " << (differs == found.end() ? "none" : *differs) << "\n"
            << "  recorded: " << (other == expected.end() ? "none" : *other) << "\n"
            << "If the change of behaviour is intended, record the traces again with tools/traces.";
    }

    std::size_t last_ordinal_ = 0;
    std::map<std::size_t, std::string> lines_;
    std::unique_ptr<Trace> shared_;
};

namespace {

// Registers the recorder after the framework has created its result printer. Listeners are notified
// of the end of a test in reverse order, and the printer must see failures that the recorder adds.
class TraceEnvironment : public testing::Environment {
  public:
    void SetUp() override {
        if (std::exchange(registered_, true)) return;  // SetUp() runs again if tests are repeated
        testing::UnitTest::GetInstance()->listeners().Append(&TraceRecorder::instance());
    }

  private:
    bool registered_ = false;
};

// Registered even if no trace is created: tests that have recorded traces but create none must
// fail.
[[maybe_unused]] const testing::Environment* const environment =
    testing::AddGlobalTestEnvironment(new TraceEnvironment);

}  // namespace

Trace::Trace() : Trace(TraceRecorder::instance().next_ordinal()) {}

Trace::Trace(std::size_t ordinal) : ordinal_(ordinal), hash_(kFnvBasis) {
    const std::string folder = environment_value("NICKELRAMP_TRACE_EVENTS");
    if (folder.empty()) return;
    event_file_.open(folder + "/" + current_test() + "-" + std::to_string(ordinal_) + ".txt");
}

Trace::~Trace() {
    char hash[17];
    std::snprintf(hash, sizeof hash, "%016llx", static_cast<unsigned long long>(hash_));
    TraceRecorder::instance().ended(ordinal_, current_test() + " " + std::to_string(ordinal_) +
                                                  " " + std::to_string(events_) + " " + hash);
}

void Trace::append_event(const std::string& event) {
    ++events_;
    hash_ = extend_hash(extend_hash(hash_, event), "\n");
    if (event_file_.is_open()) event_file_ << event << "\n";
}

JsonWriter& JsonWriter::end() {
    if (text_.back() == ',') text_.pop_back();
    text_ += ']';
    return *this;
}

void JsonWriter::write(std::string_view text) {
    const bool needs_no_escaping = std::all_of(text.begin(), text.end(), [](char c) {
        return c >= ' ' && c < '\x7f' && c != '"' && c != '\\';
    });
    if (!needs_no_escaping) return write(Json(std::string(text)));
    text_ += '"';
    text_ += text;
    text_ += '"';
}

void JsonWriter::write(double number) { write(Json(number)); }

void JsonWriter::write(const Json& value) {
    constexpr int kCompact = -1;
    constexpr bool kEscapeToAscii = true;
    // Texts of malformed requests may be invalid UTF-8.
    text_ += value.dump(kCompact, ' ', kEscapeToAscii, Json::error_handler_t::replace);
}

Trace& test_trace() { return TraceRecorder::instance().shared(); }

JsonWriter traced(const kvstore::Transaction& transaction) {
    std::vector<JsonWriter> conditions, writes;
    for (const kvstore::Condition& c : transaction.conditions)
        conditions.push_back(JsonWriter().array(c.key, c.version));
    for (const kvstore::Write& w : transaction.writes) {
        writes.push_back(w.value ? JsonWriter().array("put", w.key, w.lease_id, *w.value)
                                 : JsonWriter().array("delete", w.key, w.lease_id));
    }
    return JsonWriter().array(conditions, writes, static_cast<int>(transaction.request_class));
}

JsonWriter traced(const std::vector<wire::Command>& commands) {
    JsonWriter out;
    out.begin();
    for (const wire::Command& c : commands)
        out.item(JsonWriter().array(name_of(c.op), c.job, c.task, c.attempt, c.grace_s));
    return out.end();
}

JsonWriter traced(const machines::HeartbeatReply& reply) {
    return JsonWriter().array(reply.status, reply.holder, reply.token, traced(reply.commands));
}

JsonWriter traced(const cloud::ProvisionReply& reply) {
    return JsonWriter().array(static_cast<int>(reply.result), reply.machines);
}

std::string traced(const peers::PeerFrame& message) { return hexadecimal(message.frame); }

std::string traced(const peers::LeaderFrame& message) { return hexadecimal(message.frame); }

JsonWriter traced(const net::Response& response) {
    return JsonWriter().array(response.status, hexadecimal(response.body), response.retry_after_s,
                              response.type);
}

}  // namespace nickelramp::test
