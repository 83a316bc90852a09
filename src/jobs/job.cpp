#include "jobs/job.h"

#include <bit>
#include <charconv>

namespace nickelramp::jobs {

std::string job_key(const std::string& id) { return "job/" + id; }
std::string open_key(const std::string& id) { return "open/" + id; }
std::string run_key(const std::string& id, std::uint32_t chunk) {
    return "run/" + id + "/" + std::to_string(chunk);
}

std::string job_id_of_open_key(const std::string& key) {
    if (key.rfind("open/", 0) != 0) return "";
    std::string id = key.substr(5);
    return wire::valid_job_id(id) ? id : "";
}

bool parse_run_key(const std::string& key, std::string& id, std::uint32_t& chunk) {
    if (key.rfind("run/", 0) != 0) return false;
    auto slash = key.rfind('/');
    if (slash <= 4) return false;
    id = key.substr(4, slash - 4);
    const char* end = key.data() + key.size();
    auto [ptr, ec] = std::from_chars(key.data() + slash + 1, end, chunk);
    return ec == std::errc() && ptr == end && wire::valid_job_id(id);
}

const char* name(JobState state) {
    switch (state) {
        case JobState::open:
            return "open";
        case JobState::cancelled:
            return "cancelled";
        case JobState::finishing:
            return "finishing";
        case JobState::finished:
            return "finished";
    }
    return "?";
}

const char* name(AttemptState state) {
    switch (state) {
        case AttemptState::recording:
            return "recording";
        case AttemptState::recorded:
            return "recorded";
        case AttemptState::starting:
            return "starting";
        case AttemptState::fetching:
            return "fetching";
        case AttemptState::waiting:
            return "waiting";
        case AttemptState::running:
            return "running";
        case AttemptState::saving:
            return "saving";
        case AttemptState::exited:
            return "exited";
    }
    return "?";
}

bool Job::is_done(std::uint32_t task) const {
    auto it = chunks.find(task / kChunkTasks);
    return it != chunks.end() && (it->second.done >> (task % kChunkTasks) & 1) != 0;
}

void Job::mark_done(std::uint32_t task) {
    if (is_done(task)) return;
    Chunk& chunk = chunks[task / kChunkTasks];
    chunk.done |= std::uint64_t{1} << (task % kChunkTasks);
    chunk.dirty = true;
    ++completed_tasks;
}

wire::Json encode_open_record(const wire::Json& spec, std::int64_t accepted_wall_ms,
                              bool cancelled) {
    return {{"spec", spec}, {"at", accepted_wall_ms}, {"cancelled", cancelled}};
}

std::optional<OpenRecord> decode_open_record(const wire::Json& value) {
    const wire::Json* spec = wire::field(value, "spec");
    if (spec == nullptr) return std::nullopt;
    auto parsed = wire::parse_job(*spec);
    if (!parsed) return std::nullopt;
    OpenRecord out;
    out.spec = std::move(*parsed);
    out.accepted_wall_ms = static_cast<std::int64_t>(wire::count_field(value, "at").value_or(0));
    out.cancelled = wire::flag_field(value, "cancelled").value_or(false);
    out.cancel_requested = wire::flag_field(value, "unwanted").value_or(false);
    return out;
}

wire::Json encode_run_record(const RunRecord& r) {
    wire::Json entries = wire::Json::array();
    for (const RunEntry& entry : r.entries) {
        wire::Json item = wire::Json::array({entry.task, entry.attempt, entry.started ? 1 : 0});
        if (entry.started) item.push_back(entry.machine);
        entries.push_back(std::move(item));
    }
    return {{"done", r.done}, {"at", std::move(entries)}};
}

std::optional<RunRecord> decode_run_record(const wire::Json& value) {
    RunRecord out;
    auto done = wire::count_field(value, "done");
    const wire::Json* entries = wire::field(value, "at");
    if (!done || entries == nullptr || !entries->is_array()) return std::nullopt;
    out.done = *done;
    for (const wire::Json& item : *entries) {
        if (!item.is_array() || item.size() < 3) return std::nullopt;
        if (!item[0].is_number_unsigned() || !item[1].is_number_unsigned()) return std::nullopt;
        RunEntry entry;
        entry.task = item[0].get<std::uint32_t>();
        entry.attempt = item[1].get<std::uint32_t>();
        entry.started = item[2] == 1;
        if (entry.started) {
            if (item.size() < 4 || !item[3].is_string()) return std::nullopt;
            entry.machine = item[3].get<std::string>();
        }
        out.entries.push_back(std::move(entry));
    }
    return out;
}

}  // namespace nickelramp::jobs
