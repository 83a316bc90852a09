// The operators' own settings: few, checked, and unable to break a rule.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "wire/cbor.h"

namespace nickelramp::admin {

struct Options {
    double delegated_machines = 2;  // to each other controller
    // Whole machines for tasks that take one each, beyond what is expected to be used and left
    // within a boot time, in standard deviations of that:
    double idle_retention_margin = 2;  // not given back
    double provisioning_margin = 1;    // hired ahead
    double spot_margin = 0.5;          // the same for room on spot machines, hired ahead
    double replica_margin = 1;  // room for replicas, in deviations of what comes within a boot
    double use_spot = 1;        // 0: hire ordinary machines only
};

struct Option {
    const char* name;
    double Options::*member;
    double min, max;
    bool whole_number;  // no fractions
};
const std::vector<Option>& all_options();

// Unknown names give nothing; values out of range leave `error` saying what is allowed.
const Option* find_option(const std::string& name);
bool set_option(Options& options, const Option& option, const wire::Json& value,
                std::string& error);

wire::Json options_json(const Options& options);
// What a record holds; unknown names and bad values in it are passed over.
Options read_options(const wire::Json& record);

}  // namespace nickelramp::admin
