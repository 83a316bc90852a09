/// @file
/// Formats the answers of the service as text for people.
#pragma once
#include <string>
#include <vector>

#include "wire/cbor.h"

namespace nickelramp::ctl {

/// Formats a table whose columns are as wide as their widest cell. Columns of numbers are
/// right-aligned.
std::string table(const std::vector<std::string>& head,
                  const std::vector<std::vector<std::string>>& rows);

std::string job_text(const wire::Json& job);
std::string status_text(const wire::Json& status);
std::string late_text(const wire::Json& status);
std::string settings_text(const wire::Json& settings);
std::string plan_text(const wire::Json& plan, bool moves);
std::string plans_text(const wire::Json& plans);
/// Formats an error of the service.
/// @param body a JSON or CBOR map; only the status is shown if it is neither
std::string error_text(int status, const std::string& body);

}  // namespace nickelramp::ctl
