// What the decisions count and draw with; nothing here decides.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "thymewood/balancer.h"

namespace thymewood {

// splitmix64 with its own mapping to ranges: the same on every platform.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t z = (state_ += 0x9E3779B97F4A7C15ULL);
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
  }
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }

 private:
  std::uint64_t state_;
};

// FNV-1a: orders servers alike at every copy, without regard to how addresses were handed out.
inline std::uint64_t hash_of(const std::string& text) {
  std::uint64_t h = 0xCBF29CE484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;
  return Random(h).next();
}

// Total and declined calls of the last few seconds, in buckets; the latest of them also make the short rate.
class SlidingWindow {
 public:
  struct Sums {
    double total = 0, declined = 0, last_second = 0;
    double accepted() const { return total - declined; }
  };
  SlidingWindow(double bucket_s, int buckets, int short_buckets)
      : bucket_s_(bucket_s), short_buckets_(short_buckets), buckets_(static_cast<std::size_t>(buckets)) {}

  void add(double now, bool denied) {
    const std::int64_t slot = slot_of(now), count = std::ssize(buckets_);
    Bucket& bucket = buckets_[static_cast<std::size_t>(((slot % count) + count) % count)];
    if (bucket.slot != slot) bucket = {slot, 0, 0};
    bucket.total += 1;
    if (denied) bucket.declined += 1;
  }

  Sums sums(double now) const {
    const std::int64_t slot = slot_of(now);
    Sums out;
    for (const Bucket& bucket : buckets_) {
      if (bucket.slot <= slot - std::ssize(buckets_)) continue;
      out.total += bucket.total;
      out.declined += bucket.declined;
      if (bucket.slot > slot - short_buckets_) out.last_second += bucket.total;
    }
    return out;
  }

 private:
  struct Bucket {
    std::int64_t slot = std::numeric_limits<std::int64_t>::min() / 2;
    double total = 0, declined = 0;
  };
  std::int64_t slot_of(double now) const { return static_cast<std::int64_t>(std::floor(now / bucket_s_)); }

  double bucket_s_;
  int short_buckets_;
  std::vector<Bucket> buckets_;
};

// Events per second, with exponential forgetting.
class FadingRate {
 public:
  explicit FadingRate(double memory_s) : memory_s_(memory_s) {}
  double at(double now) const { return at(now, memory_s_); }
  double at(double now, double memory_s) const {
    return rate_ == 0 ? 0 : rate_ * std::exp((last_ - now) / memory_s);
  }
  void add(double now) { add(now, memory_s_); }
  void add(double now, double memory_s) {
    rate_ = at(now, memory_s) + 1 / memory_s;
    last_ = now;
  }

 private:
  double memory_s_, rate_ = 0, last_ = 0;
};

// Mean and mean deviation, with exponential forgetting; the first samples count for more.
struct Estimate {
  double mean = 0, deviation = 0, samples = 0;
  void add(double value, double least_gain) {
    samples += 1;
    const double gain = std::max(least_gain, 1 / (samples + 1));
    deviation += gain * (std::abs(value - mean) - deviation);
    mean += gain * (value - mean);
  }
};

struct Attempt {
  std::size_t server = 0;
  double sent = 0;
  int zone = 0, cell = 0;  // the server's then: it may come back elsewhere
  bool open = true, may_have_run = true;
};

// A request that still owes an answer, or has attempts out.
struct Pending {
  std::size_t tenant = 0, request_class = 0;
  double useful_until = 0;  // when the answer becomes worthless
  std::vector<Attempt> attempts;
  bool finished = false, streaming = false, within_share = false;

  bool any_open() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.open; });
  }
  bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }
  bool tried(std::size_t server) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [=](const Attempt& a) { return a.server == server; });
  }
};

}  // namespace thymewood
