// What became of a hire.
#pragma once
#include <string>
#include <vector>

namespace nickelramp::cloud {

struct ProvisionReply {
    // trouble: the cloud says that it did not do it; unsent: nothing went out; unknown: it may have
    // been done, or may yet be
    enum class Result { provisioned, no_capacity, rejected, not_sent, unknown, malformed };
    Result result = Result::unknown;
    std::vector<std::string> machines;
};

}  // namespace nickelramp::cloud
