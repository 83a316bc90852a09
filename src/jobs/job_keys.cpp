#include "jobs/job_keys.h"

#include <charconv>
#include <string_view>

#include "wire/messages.h"

namespace nickelramp::jobs {

namespace {

constexpr std::string_view kJobPrefix = "job/";
constexpr std::string_view kOpenPrefix = "open/";
constexpr std::string_view kRunPrefix = "run/";

std::string with_prefix(std::string_view prefix, const std::string& rest) {
    return std::string(prefix) + rest;
}

}  // namespace

std::string job_key(const std::string& id) { return with_prefix(kJobPrefix, id); }

std::string open_key(const std::string& id) { return with_prefix(kOpenPrefix, id); }

std::string run_key(const std::string& id, std::uint32_t chunk) {
    return with_prefix(kRunPrefix, id) + "/" + std::to_string(chunk);
}

std::string job_id_of_open_key(const std::string& key) {
    if (!key.starts_with(kOpenPrefix)) return "";
    std::string id = key.substr(kOpenPrefix.size());
    return wire::valid_job_id(id) ? id : "";
}

std::optional<RunKey> parse_run_key(const std::string& key) {
    if (!key.starts_with(kRunPrefix)) return std::nullopt;
    const std::size_t slash = key.rfind('/');
    if (slash <= kRunPrefix.size()) return std::nullopt;
    RunKey run_key{key.substr(kRunPrefix.size(), slash - kRunPrefix.size())};
    const char* end = key.data() + key.size();
    const auto [parsed_end, error] = std::from_chars(key.data() + slash + 1, end, run_key.chunk);
    if (error != std::errc() || parsed_end != end) return std::nullopt;
    if (!wire::valid_job_id(run_key.job_id)) return std::nullopt;
    return run_key;
}

}  // namespace nickelramp::jobs
