/// @file
/// Feeds malformed bytes to every decoder of messages and records. None may crash, hang, or take
/// more of the stack than the sanitizers' builds have. Runs with fixed seeds; a longer run is
/// started by hand with NICKELRAMP_FUZZ_ROUNDS, the number of mutations of each sample.
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "admin/options.h"
#include "api/confirmed_reads.h"
#include "autoscaling/intent_log.h"
#include "drain/plan.h"
#include "jobs/job_records.h"
#include "kvstore/protocol.h"
#include "lease/role.h"
#include "peers/forwarding.h"
#include "peers/messages.h"
#include "shards/shard_lease_table.h"
#include "tests/golden_samples.h"
#include "tests/mutated_bytes.h"
#include "wire/json_text.h"
#include "wire/messages.h"

namespace {

using namespace nickelramp;
using wire::Json;

constexpr int kDefaultRounds = 500;
constexpr int kChangesPerMutation = 3;
constexpr std::size_t kRequestBytes = 64 * 1024;
constexpr std::size_t kReplyBytes = 8 * 1024 * 1024;

int rounds() {
    const char* text = std::getenv("NICKELRAMP_FUZZ_ROUNDS");
    return text == nullptr ? kDefaultRounds : std::atoi(text);
}

net::ClientReply answered(const std::string& body) {
    return {net::ClientReply::Outcome::answered, 200, body, 0};
}

// Decodes the body of a request of a user or worker.
void decode_request(const std::string& body) {
    const auto map = wire::decode_map(body);
    if (!map) return;
    static_cast<void>(wire::is_plain_json(*map));
    static_cast<void>(wire::json_size(*map));
    static_cast<void>(wire::parse_job(*map));
    static_cast<void>(wire::decode_heartbeat(*map));
}

void decode_record(const Json& value) {
    static_cast<void>(jobs::decode_open_record(value));
    static_cast<void>(jobs::decode_run_record(value));
    static_cast<void>(api::decode_recorded_status(value, 1));
    static_cast<void>(shards::decode_shard(value));
    static_cast<void>(lease::decode_role_record(value));
    static_cast<void>(autoscaling::decode_intents(lease::Role::scale_out, value));
    static_cast<void>(admin::read_options(value));
    static_cast<void>(wire::decode_machine_types(value));
}

// Decodes the body of a reply of the state service, with the records in it, of the cloud or of a
// worker.
void decode_reply(const std::string& body) {
    decode_record(kvstore::parse_get_reply(answered(body)).entry.value);
    for (const auto& list : {kvstore::parse_list_reply(answered(body)),
                             kvstore::parse_changes_reply(answered(body))}) {
        for (const kvstore::Entry& entry : list.entries) decode_record(entry.value);
    }
    static_cast<void>(kvstore::parse_commit_reply(answered(body)));
    static_cast<void>(kvstore::parse_grant_reply(answered(body)));
    static_cast<void>(kvstore::parse_renewal_reply(answered(body)));
    const auto map = wire::decode_reply_map(body);
    if (!map) return;
    static_cast<void>(wire::decode_machine_types(*map));
    static_cast<void>(wire::decode_instance_page(*map));
    static_cast<void>(wire::decode_provision_reply(*map));
    static_cast<void>(wire::decode_heartbeat(*map));
}

void decode_peer_message(const std::string& body) {
    static_cast<void>(peers::decode_status(body));
    static_cast<void>(peers::decode_shard_grant(body));
    static_cast<void>(peers::decode_shard_status(body));
    static_cast<void>(peers::decode_heartbeat_delegation(body));
    static_cast<void>(peers::decode_role_assignment(body));
    static_cast<void>(peers::decode_delegated_request(body));
    static_cast<void>(peers::decode_delegated_result(body));
    static_cast<void>(peers::decode_forwarded_heartbeat(body));
    static_cast<void>(peers::decode_forwarded_reply(body));
}

void decode_everywhere(const std::string& body) {
    decode_request(body);
    decode_reply(body);
    decode_peer_message(body);
}

// Messages of every kind that holds records or values of others.
std::vector<std::string> samples() {
    const Json job = test::golden::full_job();
    const Json open = jobs::encode_open_record(job, 1);
    const Json run = jobs::encode_run_record({5, {{1, 2, true, "i-000001"}, {2, 1, false, ""}}});
    const Json type = {{"name", "g8"},   {"cores", 96},    {"mem_gb", 768},
                       {"boot_s", 45.5}, {"yards", {"a"}}, {"hourly", 12.0}};
    const Json instance = {{"id", "i-000231"}, {"status", "running"}, {"age_s", 61.5}};
    std::vector<std::string> bodies;
    for (const Json& body :
         {job, test::golden::full_worker_heartbeat(),
          Json{{"path", "open/job-1"}, {"v", open}, {"stamp", 5}, {"permit", 7}},
          Json{{"items", {{{"path", "run/job-1/0"}, {"v", run}, {"stamp", 5}}}},
               {"truncated", true},
               {"epoch", 9}},
          Json{{"news", {{{"set", "open/job-1"}, {"v", open}, {"stamp", 5}}}}, {"epoch", 9}},
          Json{{"failed", {"a/b"}}, {"epoch", 9}}, Json{{"rigs", Json::array({type})}},
          Json{{"hosts", Json::array({instance})}, {"truncated", false}},
          Json{{"hosts", {"i-1", "i-2"}}}})
        bodies.push_back(wire::encode(body));
    return bodies;
}

// The reader of the CBOR library recurses once per level. Guards against bodies that consist of the
// beginnings of maps, lists or strings, which ended the process. For strings of indefinite length
// (0x5f and 0x7f) they did so although the nesting of maps and lists was limited.
TEST(DecoderFuzz, BodiesThatOnlyOpenLevelsAreRefused) {
    for (int byte = 0; byte < 256; ++byte) {
        SCOPED_TRACE(byte);
        for (const std::size_t bytes : {wire::kMaxRequestDepth, kRequestBytes}) {
            const std::string request(bytes, static_cast<char>(byte));
            EXPECT_FALSE(wire::decode_map(request));
            decode_everywhere(request);
        }
    }
    for (const char* opening : {"\x5f", "\x7f", "\x81", "\x9f", "\xa1", "\xbf", "\x7f\x60",
                                "\x5f\x40", "\x82\xf6", "\xbf\x60", "\xa1\x60", "\x9f\xf6"}) {
        std::string reply;
        while (reply.size() < kReplyBytes) reply += opening;
        EXPECT_FALSE(wire::decode_reply_map(reply));
        EXPECT_FALSE(
            wire::decode_map("\xa1\x61"
                             "a" +
                             reply.substr(0, kRequestBytes)));
    }
}

TEST(DecoderFuzz, DeeplyNestedJsonIsRefused) {
    struct Nesting {
        std::string opening, closing;
    };
    for (const Nesting& nesting : {Nesting{"[", "]"}, {R"({"a":)", "}"}, {R"([{"a":)", "}]"}}) {
        const std::size_t levels_each = nesting.closing.size();
        auto text = [&](std::size_t levels) {
            std::string nested = "1";
            for (std::size_t level = 0; level < levels; level += levels_each)
                nested.insert(0, nesting.opening).append(nesting.closing);
            return nested;
        };
        EXPECT_TRUE(wire::decode_json(text(wire::kMaxRequestDepth))) << nesting.opening;
        EXPECT_FALSE(wire::decode_json(text(wire::kMaxRequestDepth + 2))) << nesting.opening;
        EXPECT_FALSE(wire::decode_json(text(kRequestBytes))) << nesting.opening;
    }
    EXPECT_FALSE(wire::decode_json(std::string(kReplyBytes, '[')));
}

TEST(DecoderFuzz, MutatedJsonNeverCrashes) {
    std::minstd_rand random(9);
    const std::string sample =
        Json{{"value", 2.5}, {"id", "up"}, {"machines", {"m-1", "m-2"}}, {"all", true}}.dump();
    for (int round = 0; round < 10 * rounds(); ++round) {
        std::string mutated = sample;
        test::mutate_bytes(mutated, kChangesPerMutation, random);
        std::string field;
        static_cast<void>(drain::parse_request(wire::decode_json(mutated).value_or(Json()), field));
    }
}

TEST(DecoderFuzz, MutatedMessagesNeverCrash) {
    std::minstd_rand random(5);
    for (const std::string& sample : samples()) {
        decode_everywhere(sample);
        for (int round = 0; round < rounds(); ++round) {
            std::string mutated = sample;
            test::mutate_bytes(mutated, kChangesPerMutation, random);
            if (random() % 4 == 0) mutated.resize(random() % mutated.size());
            decode_everywhere(mutated);
        }
    }
}

// Bodies of the bytes that begin, end and separate items reach more states of the reader than
// mutations do.
TEST(DecoderFuzz, RandomStructuresNeverCrash) {
    static constexpr unsigned char kBytes[] = {
        0x7f, 0x5f, 0x9f, 0xbf, 0xff, 0x81, 0xa1, 0x60, 0x61, 0x62, 0x00, 0x20, 0xf6, 0xf5, 0xfb,
        0x1b, 0x82, 0x80, 0xa0, 0x41, 0x18, 0xf9, 0x7b, 0x98, 0xb8, 0xbb, 0x9b, 0xc0, 0x5b};
    std::minstd_rand random(7);
    for (int round = 0; round < 10 * rounds(); ++round) {
        std::string body = "\xa1\x60";
        const std::size_t size = 1 + random() % 24;
        for (std::size_t i = 0; i < size; ++i) {
            const bool is_arbitrary = random() % 4 == 0;
            const auto value = random();
            body.push_back(static_cast<char>(is_arbitrary ? value : kBytes[value % sizeof kBytes]));
        }
        decode_everywhere(body);
    }
}

}  // namespace
