/// @file
/// Parses the query part of a request's URL.
#pragma once
#include <string>

#include "base/time.h"

namespace nickelramp::emulator {

/// Returns the value of a query parameter, empty if it is missing.
std::string parameter(const std::string& query, const std::string& name);
/// Returns a numeric query parameter, `default_value` if it is missing or not a number.
Millis number(const std::string& query, const std::string& name, Millis default_value);

}  // namespace nickelramp::emulator
