/// @file
/// Tests that valid messages of users and workers, settings and options are read, and that invalid
/// ones are rejected.
#include <gtest/gtest.h>

#include <random>

#include "admin/options.h"
#include "tests/mutated_bytes.h"
#include "wire/messages.h"
#include "wire/settings.h"

namespace {

using namespace nickelramp;
using wire::Json;

Json valid_job() {
    return {{"id", "job-000412"},  {"jobclass", "train"}, {"crew", "vision"},
            {"shape", "ensemble"}, {"urgency", "urgent"}, {"legs", 16},
            {"cores", 8.0},        {"cards", 1},          {"mem_gb", 64.0},
            {"bundle", "img-07"},  {"pull_gb", 6.2},      {"rigs", {"g8"}},
            {"yard", nullptr},     {"one_zone", true},    {"scatter", false},
            {"standby", true},     {"guess_s", 240.0},    {"save_every_s", 30.0},
            {"save_cost_s", 4.0},  {"due_s", 900.0},      {"later", "ignored"}};
}

TEST(Wire, ParsesAJob) {
    const auto spec = wire::parse_job(valid_job());
    ASSERT_TRUE(spec) << spec.error().message();
    EXPECT_EQ(spec->shape, wire::Shape::gang);
    EXPECT_EQ(spec->priority, wire::Priority::high);
    EXPECT_EQ(spec->tasks, 16u);
    EXPECT_FALSE(spec->zone);
    EXPECT_EQ(spec->types, std::vector<std::string>{"g8"});
    EXPECT_DOUBLE_EQ(*spec->deadline_s, 900);
}

// The CBOR reader is recursive. A body that consists of opening brackets only would overflow its
// stack and crash the process.
TEST(Wire, DeeplyNestedAndMalformedBodiesAreRejected) {
    EXPECT_FALSE(wire::decode_map(std::string(64 * 1024, '\x81')));
    EXPECT_FALSE(wire::decode_map(std::string(60 * 1024, '\xa1')));
    EXPECT_FALSE(wire::decode_map(""));
    EXPECT_FALSE(wire::decode_map("plain text"));
    EXPECT_FALSE(wire::decode_map(wire::encode(Json::array({1, 2}))));
    const std::string valid = wire::encode(valid_job());
    ASSERT_TRUE(wire::decode_map(valid));
    for (std::size_t size = 0; size < valid.size(); ++size)
        EXPECT_FALSE(wire::decode_map(valid.substr(0, size)));
    EXPECT_FALSE(wire::decode_map(valid + "x"));
}

TEST(Wire, FuzzedHeartbeatsNeverCrash) {
    const Json heartbeat = {
        {"host", "i-000231"},
        {"address", "10.1.0.232:9000"},
        {"rig", "g8"},
        {"yard", "a"},
        {"standby", true},
        {"shift", 1},
        {"tick", 88},
        {"baton", 41},
        {"warning_s", nullptr},
        {"legs",
         Json::array(
             {{{"leg", "job-000412/3"}, {"try", 2}, {"status", "running"}},
              {{"leg", "job-000398/0"}, {"try", 1}, {"status", "exited"}, {"cause", "done"}}})}};
    const auto decoded = wire::decode_heartbeat(heartbeat);
    ASSERT_TRUE(decoded);
    ASSERT_EQ(decoded->tasks.size(), 2u);
    EXPECT_EQ(decoded->tasks[0].task, 3u);
    EXPECT_EQ(decoded->tasks[1].cause, wire::ExitCause::done);
    std::minstd_rand random(3);
    const std::string bytes = wire::encode(heartbeat);
    int accepted = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string mutated = bytes;
        test::mutate_bytes(mutated, 3, random);
        if (const auto body = wire::decode_map(mutated))
            accepted += wire::decode_heartbeat(*body) ? 1 : 0;
    }
    EXPECT_GT(accepted, 0);
    EXPECT_LT(accepted, 20000);
}

std::string settings_text() {
    return R"({"host_name":"ramper-0","site":"a","serve_on":"10.0.0.1:8080","back":"10.0.0.1:8081",
      "peers":[{"host_name":"ramper-1","site":"b","addr":"10.0.0.2:8081"}],
      "external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
      "facts":{"zones":["a","b"],"teams":[{"name":"vision","cpus":0.0,"cpus_max":0.0,"gpus":8.0,"gpus_max":24.0}],
      "objectives":[{"kind":"wait","class":"train","within_s":4.0,"share":0.88},{"kind":"new"}],
      "workers":{"report_s":3.0,"lease_s":31.0,"gang_wait_s":30.0,"gang_peer_s":4.0,"cancel_s":51.0},
      "state":{"rps":250.0,"write_rps":40.0,"value_kb":8.0,"txn_ops":12},
      "cloud":{"rps":5.0,"list_lag_s":3.0},
      "limits":{"cpu":0.12,"mem_mb":104.0,"fd_limit":1800},"time_bound_ms":1000.0},"unknown":1})";
}

TEST(Wire, SettingsErrorsNameTheField) {
    const auto settings = wire::parse_settings(settings_text());
    ASSERT_TRUE(settings) << settings.error().message();
    EXPECT_EQ(settings->peers.size(), 1u);
    EXPECT_EQ(settings->objectives.size(), 1u);  // the kind of a later version is ignored
    EXPECT_EQ(settings->state_txn_ops, 12u);
    // Returns the error after one part of the text has been replaced, or an empty string.
    auto error_with = [](const std::string& part, const std::string& replacement) {
        std::string text = settings_text();
        const auto at = text.find(part);
        EXPECT_NE(at, std::string::npos);
        text.replace(at, part.size(), replacement);
        const auto parsed = wire::parse_settings(text);
        return parsed ? std::string() : parsed.error().message();
    };
    EXPECT_NE(error_with("\"10.0.0.1:8080\"", "\"nowhere\"").find("serve_on"), std::string::npos);
    EXPECT_NE(error_with("\"lease_s\":31.0", "\"lease_s\":61.0").find("cancel_s"),
              std::string::npos);
    EXPECT_NE(error_with("\"rps\":250.0", "\"rps\":\"x\"").find("facts.state.rps"),
              std::string::npos);
    EXPECT_NE(error_with("ramper-1", "ramper-0").find("peers"), std::string::npos);
    EXPECT_NE(error_with("\"facts\"", "\"fact\"").find("facts"), std::string::npos);
}

TEST(Admin, SettingsAreValidatedAndStored) {
    using admin::OptionErrorReason;
    admin::Options options;
    EXPECT_EQ(admin::find_option("rules"), nullptr);
    const admin::Option* delegated = admin::find_option("lent_machines");
    ASSERT_NE(delegated, nullptr);
    EXPECT_FALSE(admin::set_option(options, *delegated, 3));
    struct Case {
        Json value;
        OptionErrorReason reason;
    };
    const Case cases[] = {
        {Json(-1), OptionErrorReason::out_of_range},
        {Json(2.5), OptionErrorReason::not_whole_number},
        {Json(17), OptionErrorReason::out_of_range},
        {Json("many"), OptionErrorReason::not_a_number},
        {Json(NAN), OptionErrorReason::not_a_number},
        {Json(nullptr), OptionErrorReason::not_a_number},
    };
    for (const Case& bad : cases) {
        const auto error = admin::set_option(options, *delegated, bad.value);
        ASSERT_TRUE(error) << bad.value;
        EXPECT_EQ(error->option, delegated);
        EXPECT_EQ(error->reason, bad.reason) << bad.value;
        EXPECT_NE(error->message().find("from 0 to 16"), std::string::npos);
    }
    EXPECT_EQ(options.delegated_machines, 3);
    Json record = admin::options_json(options);
    record["use_spot"] = 5;        // out of range in a record: ignored
    record["of_later"] = "value";  // option of a later version: ignored
    const admin::Options read = admin::read_options(record);
    EXPECT_EQ(read.delegated_machines, 3);
    EXPECT_EQ(read.use_spot, admin::Options{}.use_spot);
}

}  // namespace
