// How many requests may be in flight, learned from responses alone since no server announces it.
//
// limit = initial + (idle latency + allowed queueing time) x responses per second + variation
//                                                    (Little's law; docs/design/learned-room.md)
//
// Nothing is rejected here. Times are seconds on the host's clock, durations seconds, limits are requests.
#pragma once

#include <vector>

#include "concurrency_probe.h"
#include "decaying_rate.h"
#include "estimate.h"
#include "idle_latency.h"
#include "throughput.h"
#include "thymewood/balancer.h"

namespace thymewood {

class ConcurrencyLimit {
 public:
  // Goes by the classes' latency objectives, each bounded to 1 ms to 60 s.
  explicit ConcurrencyLimit(const std::vector<RequestClass>& classes);

  // A request of a class was answered, with `in_flight` others still out. `server`: of that server alone.
  void record_success(double now, std::size_t request_class, double elapsed, double in_flight,
                      double mean_latency, Throughput& server);
  // A request was answered or has timed out.
  void record_latency(double now, std::size_t request_class, double elapsed);
  // A request was rejected for lack of capacity. `may_probe`: lower limits may be probed now and then.
  // `replicas`: that use the same server.
  void record_rejection(double now, double in_flight, bool may_probe, double replicas);
  // Other servers stand behind the limit from now on.
  void reset_probe() { probe_.reset(); }

  // For one server, and for `servers` of them together, each used by `replicas` replicas and known for as
  // long as `since`.
  double server_limit(double now, const Throughput& server, double since, double replicas) const;
  double tier_limit(double now, double servers, double since, double replicas) const;
  // The bound that probing has put on the limit; infinite where none.
  double probed_bound(double now) const { return probe_.bound(now); }

  // 1 where responses are as quick as on an idle tier, 0 where they must have met a queue.
  double unqueued() const;
  // s; of the present mix of requests on an idle tier.
  double idle_latency() const { return idle_latency_; }
  // s; how long a request may queue.
  double allowed_queueing() const { return allowed_queueing_; }
  // Responses per second.
  double response_rate(double now) const { return tier_.steady_rate(now, response_time()); }

 private:
  struct ClassState {
    double latency_objective = 0;
    IdleLatency idle;
    DecayingRate responses{2};
    double idle_latency() const { return idle.ratio() * latency_objective; }
  };
  double response_time() const { return idle_latency_ + allowed_queueing_; }
  void update_mix(double now);
  double by_responses(const Throughput& throughput, double now) const;

  std::vector<ClassState> classes_;
  Throughput tier_;
  ConcurrencyProbe probe_;
  double idle_latency_ = 0;
  double allowed_queueing_ = 0;
  double next_update_at_ = 0;
  bool reliable_ = false;           // whether idle_latency_ goes by responses without queues
  bool probe_proves_idle_ = false;  // whether this replica's probes change the queues at its servers
  double rejected_at_ = -ConcurrencyProbe::kNoBound;
  Estimate objective_ratio_;  // latency now, over the latency objective
  Estimate stretch_;          // latency now, over the idle latency
  double latency_at_ = 0;     // when these two were updated
};

}  // namespace thymewood
