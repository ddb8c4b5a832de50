// How many responses a second come from a server or a tier, and how many requests it processes at once.
#pragma once

#include "decaying_rate.h"

namespace thymewood {

class Throughput {
 public:
  // `idle_latency`: s, without a queue; 0 where it is not known reliably. `response_time`: s, with the
  // queueing that is allowed; the longer it is, the longer the rates are averaged.
  void add(double now, double idle_latency, double response_time);

  // Responses per second: averaged, and following a rise within a few responses.
  double steady_rate(double now, double response_time) const;
  double fast_rate(double now, double response_time) const;
  // Requests processed at once, at the most of late.
  double concurrency(double now) const;

 private:
  static constexpr double kSteadyTimeConstant = 2;        // s, if two response times are not more
  static constexpr double kProcessingTimeConstant = 10;   // s; of the rate that concurrency goes by
  static constexpr double kConcurrencyTimeConstant = 60;  // s; how slowly a peak is forgotten

  DecayingRate steady_{kSteadyTimeConstant}, fast_{kSteadyTimeConstant}, slow_{kProcessingTimeConstant};
  double peak_concurrency_ = 0;
  double updated_at_ = 0;
};

}  // namespace thymewood
