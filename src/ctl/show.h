// Answers as people read them.
#pragma once
#include <string>
#include <vector>

#include "wire/cbor.h"

namespace nickelramp::ctl {

// Columns as wide as their widest cell; numbers to the right.
std::string table(const std::vector<std::string>& head,
                  const std::vector<std::vector<std::string>>& rows);

std::string job_text(const wire::Json& job);
std::string status_text(const wire::Json& status);
std::string late_text(const wire::Json& status);
std::string settings_text(const wire::Json& settings);
std::string plan_text(const wire::Json& plan, bool moves);
std::string plans_text(const wire::Json& plans);
// What the service says is wrong, whichever way it says it.
std::string error_text(int status, const std::string& body);

}  // namespace nickelramp::ctl
