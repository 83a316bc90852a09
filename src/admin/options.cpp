#include "admin/options.h"

#include <spdlog/fmt/fmt.h>

#include <cmath>

namespace nickelramp::admin {

namespace {

// Returns NaN for anything except numbers and booleans.
double as_number(const wire::Json& value) {
    if (value.is_boolean()) return value.get<bool>() ? 1 : 0;
    return value.is_number() ? value.get<double>() : NAN;
}

std::optional<OptionErrorReason> check(const Option& option, double number) {
    if (!std::isfinite(number)) return OptionErrorReason::not_a_number;
    if (number < option.min || number > option.max) return OptionErrorReason::out_of_range;
    if (option.whole_number && number != std::floor(number))
        return OptionErrorReason::not_whole_number;
    return std::nullopt;
}

}  // namespace

const std::vector<Option>& all_options() {
    static const std::vector<Option> options = {
        {"lent_machines", &Options::delegated_machines, 0, 16, true},
        {"keep_margin", &Options::idle_retention_margin, 0, 20, false},
        {"hire_margin", &Options::provisioning_margin, 0, 20, false},
        {"spot_margin", &Options::spot_margin, 0, 20, false},
        {"replica_margin", &Options::replica_margin, 0, 20, false},
        {"use_spot", &Options::use_spot, 0, 1, true},
    };
    return options;
}

const Option* find_option(const std::string& name) {
    for (const Option& option : all_options()) {
        if (name == option.name) return &option;
    }
    return nullptr;
}

std::string OptionError::message() const {
    return fmt::format("{} must be a {} from {} to {}", option->name,
                       option->whole_number ? "whole number" : "number", option->min, option->max);
}

std::optional<OptionError> set_option(Options& options, const Option& option,
                                      const wire::Json& value) {
    const double number = as_number(value);
    if (const auto reason = check(option, number)) return OptionError{&option, *reason};
    options.*option.member = number;
    return std::nullopt;
}

wire::Json options_json(const Options& options) {
    wire::Json record = wire::Json::object();
    for (const Option& option : all_options()) record[option.name] = options.*option.member;
    return record;
}

Options read_options(const wire::Json& record) {
    Options options;
    for (const Option& option : all_options()) {
        const wire::Json* value = wire::field(record, option.name);
        if (value == nullptr) continue;
        // The default is kept if the stored value is not allowed.
        static_cast<void>(set_option(options, option, *value));
    }
    return options;
}

}  // namespace nickelramp::admin
