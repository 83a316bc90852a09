/// @file
/// Histogram of delays with bucket widths that grow by 5%, so that percentiles are accurate to 5%
/// in constant memory.
#pragma once
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace nickelramp::emulator {

/// Delays in milliseconds.
class Histogram {
  public:
    void add(double milliseconds) {
        ++counts_[bucket_of(milliseconds)];
        ++total_;
        maximum_ = std::max(maximum_, milliseconds);
    }
    std::uint64_t count() const { return total_; }
    double maximum() const { return maximum_; }
    /// Returns the upper bound of the bucket that contains the percentile, 0 if no delay was added.
    /// @param fraction from 0 to 1.
    double percentile(double fraction) const {
        const auto rank =
            static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(total_)));
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < counts_.size() && total_ > 0; ++i) {
            cumulative += counts_[i];
            if (cumulative >= rank)
                return std::min(maximum_, kSmallestMs * std::pow(kGrowth, i + 1.0));
        }
        return maximum_;
    }

  private:
    static constexpr double kSmallestMs = 0.05, kGrowth = 1.05;
    static std::size_t bucket_of(double ms) {
        if (ms <= kSmallestMs) return 0;
        const auto i = static_cast<std::size_t>(std::log(ms / kSmallestMs) / std::log(kGrowth));
        return std::min(i, kBuckets - 1);
    }
    static constexpr std::size_t kBuckets = 400;  // covers several hours
    std::array<std::uint64_t, kBuckets> counts_{};
    std::uint64_t total_ = 0;
    double maximum_ = 0;
};

}  // namespace nickelramp::emulator
