// A histogram of durations with a bounded relative error and the layout of HdrHistogram: each power of two is
// divided into 64 equal buckets, so a quantile is at most 1.6% off. Debian packages no such library for C or
// C++; this class has only what the benchmarks need.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace thymewood::bench {

class Histogram {
 public:
  // Adds a duration in seconds, clamped to the range from 1 us to 4,000 s.
  void add(double seconds) {
    const auto us = static_cast<std::uint64_t>(std::clamp(seconds * 1e6, 1.0, 4e9));
    counts_[bucket_of(us)] += 1;
    total_ += 1;
  }
  void merge(const Histogram& other) {
    for (std::size_t i = 0; i < counts_.size(); ++i) counts_[i] += other.counts_[i];
    total_ += other.total_;
  }
  std::uint64_t count() const { return total_; }

  // Returns the duration, in seconds, which the given fraction (0 to 1) of all values don't exceed; 0 if
  // empty.
  double quantile(double fraction) const {
    if (total_ == 0) return 0;
    const auto rank = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(total_)));
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      cumulative += counts_[i];
      if (cumulative >= std::max<std::uint64_t>(rank, 1)) return static_cast<double>(upper_bound_of(i)) / 1e6;
    }
    return static_cast<double>(upper_bound_of(counts_.size() - 1)) / 1e6;
  }

 private:
  static constexpr std::size_t kSubBuckets = 64;  // for each power of two
  static constexpr std::size_t kPowersOfTwo =
      27;  // above the first kSubBuckets microseconds, which have one bucket each

  static std::size_t bucket_of(std::uint64_t us) {
    if (us < kSubBuckets) return us;
    std::size_t power = 0;
    while ((us >> power) >= 2 * kSubBuckets) ++power;
    return std::min(kSubBuckets + power * kSubBuckets + ((us >> power) - kSubBuckets),
                    kSubBuckets * (kPowersOfTwo + 1) - 1);
  }
  static std::uint64_t upper_bound_of(std::size_t bucket) {
    if (bucket < kSubBuckets) return bucket;
    const std::size_t power = (bucket - kSubBuckets) / kSubBuckets,
                      sub_bucket = (bucket - kSubBuckets) % kSubBuckets;
    return ((kSubBuckets + sub_bucket + 1) << power) - 1;
  }

  std::vector<std::uint64_t> counts_ = std::vector<std::uint64_t>(kSubBuckets * (kPowersOfTwo + 1), 0);
  std::uint64_t total_ = 0;
};

}  // namespace thymewood::bench
