#include "jobs/job_records.h"

#include <utility>

namespace nickelramp::jobs {

namespace {

// Fields of an open record that are absent or false unless the job is to be cancelled.
constexpr const char* kCancelled = "cancelled";
constexpr const char* kCancelRequested = "unwanted";

wire::Json encode_run_entry(const RunEntry& entry) {
    wire::Json item = wire::Json::array({entry.task, entry.attempt, entry.started ? 1 : 0});
    if (entry.started) item.push_back(entry.machine);
    return item;
}

std::optional<RunEntry> decode_run_entry(const wire::Json& item) {
    if (!item.is_array() || item.size() < 3) return std::nullopt;
    if (!item[0].is_number_unsigned() || !item[1].is_number_unsigned()) return std::nullopt;
    RunEntry entry;
    entry.task = item[0].get<std::uint32_t>();
    entry.attempt = item[1].get<std::uint32_t>();
    entry.started = item[2] == 1;
    if (!entry.started) return entry;
    if (item.size() < 4 || !item[3].is_string()) return std::nullopt;
    entry.machine = item[3].get<std::string>();
    return entry;
}

}  // namespace

wire::Json encode_open_record(const wire::Json& spec, std::int64_t accepted_wall_ms) {
    return {{"spec", spec}, {"at", accepted_wall_ms}, {kCancelled, false}};
}

std::optional<OpenRecord> decode_open_record(const wire::Json& value) {
    const wire::Json* spec = wire::field(value, "spec");
    if (spec == nullptr) return std::nullopt;
    auto parsed = wire::parse_job(*spec);
    if (!parsed) return std::nullopt;
    OpenRecord record;
    record.spec = std::move(*parsed);
    record.accepted_wall_ms = static_cast<std::int64_t>(wire::count_field(value, "at").value_or(0));
    record.cancelled = wire::flag_field(value, kCancelled).value_or(false);
    record.cancel_requested = wire::flag_field(value, kCancelRequested).value_or(false);
    return record;
}

bool is_cancel_requested(const wire::Json& open_record) {
    return wire::flag_field(open_record, kCancelled).value_or(false) ||
           wire::flag_field(open_record, kCancelRequested).value_or(false);
}

void request_cancel(wire::Json& open_record) {
    // Every version reads an absent field as false, and the field set instead is shorter.
    open_record.erase(kCancelled);
    open_record[kCancelRequested] = true;
}

wire::Json encode_run_record(const RunRecord& record) {
    wire::Json entries = wire::Json::array();
    for (const RunEntry& entry : record.entries) entries.push_back(encode_run_entry(entry));
    return {{"done", record.done}, {"at", std::move(entries)}};
}

std::optional<RunRecord> decode_run_record(const wire::Json& value) {
    const auto done = wire::count_field(value, "done");
    const wire::Json* entries = wire::field(value, "at");
    if (!done || entries == nullptr || !entries->is_array()) return std::nullopt;
    RunRecord record;
    record.done = *done;
    for (const wire::Json& item : *entries) {
        auto entry = decode_run_entry(item);
        if (!entry) return std::nullopt;
        record.entries.push_back(std::move(*entry));
    }
    return record;
}

}  // namespace nickelramp::jobs
