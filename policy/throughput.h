// Response rate of a server or a tier, and the number of requests it processes concurrently.
#pragma once

#include "decaying_rate.h"

namespace thymewood {

class Throughput {
 public:
  // Records a response. `idle_latency`: latency without queueing, in seconds; 0 if not known reliably.
  // `response_time`: latency including the allowed queueing time, in seconds; determines how long the rates
  // are averaged.
  void add(double now, double idle_latency, double response_time);

  // Responses per second: a long-term average, and one that follows an increase within a few responses.
  double steady_rate(double now, double response_time) const;
  double fast_rate(double now, double response_time) const;
  // Recent peak of the number of requests processed concurrently.
  double concurrency(double now) const;

 private:
  static constexpr double kSteadyTimeConstant = 2;  // s; minimum, used unless two response times are longer
  static constexpr double kProcessingTimeConstant = 10;   // s; of the rate that concurrency is computed from
  static constexpr double kConcurrencyTimeConstant = 60;  // s; decay of the peak

  DecayingRate steady_{kSteadyTimeConstant}, fast_{kSteadyTimeConstant}, slow_{kProcessingTimeConstant};
  double peak_concurrency_ = 0;
  double updated_at_ = 0;
};

}  // namespace thymewood
