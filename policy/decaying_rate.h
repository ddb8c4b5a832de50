// An event rate with exponential decay.
#pragma once

#include <cmath>

namespace thymewood {

// Events per second. The time constant can be passed with each call if it depends on measurements.
class DecayingRate {
 public:
  explicit DecayingRate(double time_constant_s) : time_constant_s_(time_constant_s) {}

  double at(double now) const { return at(now, time_constant_s_); }
  double at(double now, double time_constant_s) const {
    return rate_ == 0 ? 0 : rate_ * std::exp((updated_at_ - now) / time_constant_s);
  }
  void add(double now) { add(now, time_constant_s_); }
  void add(double now, double time_constant_s) {
    rate_ = at(now, time_constant_s) + 1 / time_constant_s;
    updated_at_ = now;
  }

 private:
  double time_constant_s_;
  double rate_ = 0;
  double updated_at_ = 0;
};

}  // namespace thymewood
