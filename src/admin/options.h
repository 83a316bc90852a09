/// @file
/// The settings that operators may change while the service runs. Values are validated, and no
/// allowed value can break a guarantee of the service.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "wire/cbor.h"

namespace nickelramp::admin {

/// The operators' settings. All margins except `replica_margin` are for whole machines, for tasks
/// that take one each. They are added to the capacity that is expected to be needed within a boot
/// time, beyond what is freed in that time, in standard deviations of the arrivals.
struct Options {
    double delegated_machines = 2;     ///< Machines in the shard of each non-leader.
    double idle_retention_margin = 2;  ///< For idle machines that are not released.
    double provisioning_margin = 1;    ///< For machines that are provisioned ahead of demand.
    double spot_margin = 0.5;          ///< For slots on spot machines that are kept free.
    /// Slots kept free for service replicas, in standard deviations of the replicas that arrive
    /// within a boot time.
    double replica_margin = 1;
    double use_spot = 1;  ///< 1: spot machines may be provisioned; 0: on-demand machines only.
};

/// Describes one of the settings.
struct Option {
    const char* name;  ///< The name in the administration API and in the stored record.
    double Options::*member;
    double min;
    double max;
    bool whole_number;  ///< Whether only whole numbers are allowed.
};

/// Returns all settings in display order.
[[nodiscard]] const std::vector<Option>& all_options();
/// Returns the setting with this name, or null if there is none.
[[nodiscard]] const Option* find_option(const std::string& name);

enum class OptionErrorReason {
    not_a_number,      ///< Neither a finite number nor a boolean (which counts as 0 or 1).
    not_whole_number,  ///< A fraction where only whole numbers are allowed.
    out_of_range,      ///< Less than `min` or more than `max`.
};

/// Why a value was rejected, and for which setting.
struct OptionError {
    const Option* option;
    OptionErrorReason reason;
    /// Returns a message for the operator that states which values are allowed.
    [[nodiscard]] std::string message() const;
};

/// Sets one setting. Returns nothing on success. On an error `options` is unchanged.
[[nodiscard]] std::optional<OptionError> set_option(Options& options, const Option& option,
                                                    const wire::Json& value);

/// Returns the settings as the record that is stored and shown to operators.
[[nodiscard]] wire::Json options_json(const Options& options);
/// Reads a stored record. Unknown names and values that are not allowed are ignored, since another
/// version may have written them. Settings without a valid value have their defaults.
[[nodiscard]] Options read_options(const wire::Json& record);

}  // namespace nickelramp::admin
