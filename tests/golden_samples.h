// Sample messages for the tests of recorded bytes, and typed values written out field by field
// under fixed names.
#pragma once
#include <string>
#include <vector>

#include "tests/golden.h"
#include "wire/messages.h"

namespace nickelramp::test::golden {

// A user's description of a job with every field, and with only those that are required.
wire::Json full_job();
wire::Json minimal_job();
// A worker's report with every field and with only those that are required.
wire::Json full_report();
wire::Json minimal_report();

// One line a field; each text ends with a line break.
std::string shown_job(const wire::JobSpec& job);
std::string shown_report(const wire::Heartbeat& heartbeat);

// The value as it is after its way over the wire, where numbers may change their C++ types.
wire::Json received(const wire::Json& value);
// A text for a number, the same for equal numbers on every machine.
std::string shown_number(double number);

// Values that are wrong for most fields.
const std::vector<wire::Json>& odd_values();
// The same map with one field of it replaced, or without it. `path`: names joined by '/'; numbers
// are places in lists.
wire::Json with(const wire::Json& map, const std::string& path, const wire::Json& value);
wire::Json without(const wire::Json& map, const std::string& path);
// The value as a short text.
std::string brief(const wire::Json& value);

}  // namespace nickelramp::test::golden
