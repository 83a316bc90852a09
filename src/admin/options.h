// The operators' own settings: few, checked, and unable to break a rule.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "wire/cbor.h"

namespace nickelramp::admin {

struct Options {
    double lent_machines = 2;  // to each other controller
    double spare_boots = 2.5;  // whole machines kept for what arrives within so many boot times
    double hire_boots = 1;     // and hired ahead of them
    double use_spot = 1;       // 0: hire ordinary machines only
};

struct Option {
    const char* name;
    double Options::*member;
    double least, most;
    bool whole;  // no fractions
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
