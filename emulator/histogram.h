// Delays in buckets that grow by a twentieth: percentiles to 5%, in constant memory.
#pragma once
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace nickelramp::emulator {

class Histogram {
  public:
    void add(double milliseconds) {
        ++counts_[bucket_of(milliseconds)];
        ++total_;
        most_ = std::max(most_, milliseconds);
    }
    std::uint64_t count() const { return total_; }
    double most() const { return most_; }
    // The upper end of the bucket that this part of all lies in or below; 0 if there are none.
    double percentile(double part) const {
        const auto wanted =
            static_cast<std::uint64_t>(std::ceil(part * static_cast<double>(total_)));
        std::uint64_t seen = 0;
        for (std::size_t i = 0; i < counts_.size() && total_ > 0; ++i) {
            seen += counts_[i];
            if (seen >= wanted) return std::min(most_, kLeast * std::pow(kGrowth, i + 1.0));
        }
        return most_;
    }

  private:
    static constexpr double kLeast = 0.05, kGrowth = 1.05;
    static std::size_t bucket_of(double ms) {
        if (ms <= kLeast) return 0;
        const auto i = static_cast<std::size_t>(std::log(ms / kLeast) / std::log(kGrowth));
        return std::min(i, kBuckets - 1);
    }
    static constexpr std::size_t kBuckets = 400;  // up to hours
    std::array<std::uint64_t, kBuckets> counts_{};
    std::uint64_t total_ = 0;
    double most_ = 0;
};

}  // namespace nickelramp::emulator
