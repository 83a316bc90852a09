/// \file
/// The settings that operators may change while the service runs: few, checked, and unable to
/// break a guarantee.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "wire/cbor.h"

namespace nickelramp::admin {

/// The operators' settings. All margins but the last are for whole machines, for tasks that take
/// one each, beyond what is expected to be used and freed within a boot time; they are in standard
/// deviations of that expectation.
struct Options {
    double delegated_machines = 2;     ///< Machines in the shard of each other controller.
    double idle_retention_margin = 2;  ///< Idle machines that are not released.
    double provisioning_margin = 1;    ///< Machines that are provisioned ahead of demand.
    double spot_margin = 0.5;          ///< The same for slots on spot machines.
    /// Slots kept free for service replicas, in standard deviations of what arrives within a boot
    /// time.
    double replica_margin = 1;
    double use_spot = 1;  ///< 0: only ordinary machines are provisioned.
};

/// One of the settings: its name on the administration pages and in the stored record, where its
/// value is, and which values are allowed.
struct Option {
    const char* name;
    double Options::*member;
    double min;
    double max;
    bool whole_number;  ///< No fractions.
};

/// All settings, in the order in which they are shown.
[[nodiscard]] const std::vector<Option>& all_options();
/// Null for an unknown name.
[[nodiscard]] const Option* find_option(const std::string& name);

enum class OptionErrorReason {
    not_a_number,      ///< Neither a finite number nor a boolean, which counts as 0 or 1.
    not_whole_number,  ///< A fraction where only whole numbers are allowed.
    out_of_range,      ///< Less than `min` or more than `max`.
};

/// Why a value was rejected, and for which setting.
struct OptionError {
    const Option* option;
    OptionErrorReason reason;
    /// What is allowed, in a sentence for the operator.
    [[nodiscard]] std::string message() const;
};

/// Sets one setting. Nothing if that is done; otherwise `options` is unchanged.
[[nodiscard]] std::optional<OptionError> set_option(Options& options, const Option& option,
                                                    const wire::Json& value);

/// The record as it is stored and shown.
[[nodiscard]] wire::Json options_json(const Options& options);
/// Reads a stored record. Unknown names and values that are not allowed, perhaps written by another
/// version, are passed over: the defaults stay.
[[nodiscard]] Options read_options(const wire::Json& record);

}  // namespace nickelramp::admin
