// Parameters of a request's query.
#pragma once
#include <string>

#include "base/time.h"

namespace nickelramp::emulator {

// Empty if it is not there.
std::string parameter(const std::string& query, const std::string& name);
Millis number(const std::string& query, const std::string& name, Millis otherwise);

}  // namespace nickelramp::emulator
