/// @file
/// Sample messages for the tests of recorded bytes, and functions that format typed values field by
/// field under fixed names.
#pragma once
#include <string>
#include <vector>

#include "tests/golden.h"
#include "wire/messages.h"

namespace nickelramp::test::golden {

/// Return a user's description of a job with every field and with only the required fields.
wire::Json full_job();
wire::Json minimal_job();
/// Return a worker's heartbeat with every field and with only the required fields.
wire::Json full_worker_heartbeat();
wire::Json minimal_worker_heartbeat();

/// Return one line per field. Each text ends with a line break.
std::string shown_job(const wire::JobSpec& job);
std::string shown_worker_heartbeat(const wire::Heartbeat& heartbeat);

/// Returns the value after encoding and decoding as CBOR, which may change the C++ types of
/// numbers.
wire::Json received(const wire::Json& value);
/// Returns the number as text that does not depend on the machine.
std::string shown_number(double number);

/// Values that are invalid for most fields.
const std::vector<wire::Json>& mostly_invalid_values();
/// Return a copy of the map with one field replaced or removed. `path` consists of field names and
/// list indices, joined by '/'.
wire::Json with(const wire::Json& map, const std::string& path, const wire::Json& value);
wire::Json without(const wire::Json& map, const std::string& path);
/// Returns the value as JSON text, truncated if it is long.
std::string abbreviated(const wire::Json& value);

}  // namespace nickelramp::test::golden
