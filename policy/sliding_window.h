// Sliding-window request counts, used to enforce the rate limit of a tenant.
#pragma once

#include <cmath>
#include <cstdint>
#include <limits>
#include <vector>

namespace thymewood {

// Counts total and denied requests in buckets. The latest buckets also give the rate of the last second.
class SlidingWindow {
 public:
  struct Sums {
    double total = 0;
    double denied = 0;
    double last_second = 0;
    double admitted() const { return total - denied; }
  };

  // `bucket_s`: width of a bucket in seconds. `buckets`: number of buckets in the window.
  SlidingWindow(double bucket_s, int buckets, int buckets_per_second)
      : bucket_s_(bucket_s),
        buckets_per_second_(buckets_per_second),
        buckets_(static_cast<std::size_t>(buckets)) {}

  void add(double now, bool denied) {
    const std::int64_t slot = slot_of(now), count = std::ssize(buckets_);
    Bucket& bucket = buckets_[static_cast<std::size_t>(((slot % count) + count) % count)];
    if (bucket.slot != slot) bucket = {slot, 0, 0};
    bucket.total += 1;
    if (denied) bucket.denied += 1;
  }

  Sums sums(double now) const {
    const std::int64_t slot = slot_of(now);
    Sums out;
    for (const Bucket& bucket : buckets_) {
      if (bucket.slot <= slot - std::ssize(buckets_)) continue;
      out.total += bucket.total;
      out.denied += bucket.denied;
      if (bucket.slot > slot - buckets_per_second_) out.last_second += bucket.total;
    }
    return out;
  }

 private:
  struct Bucket {
    std::int64_t slot = std::numeric_limits<std::int64_t>::min() / 2;  // early enough to count as expired
    double total = 0;
    double denied = 0;
  };
  std::int64_t slot_of(double now) const { return static_cast<std::int64_t>(std::floor(now / bucket_s_)); }

  double bucket_s_;
  int buckets_per_second_;
  std::vector<Bucket> buckets_;
};

}  // namespace thymewood
