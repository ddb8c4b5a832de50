// Adaptive concurrency limit: the number of requests that may be in flight. Servers do not announce their
// capacity, so the limit is estimated from responses alone, by Little's law:
//
// limit = initial limit + (idle latency + allowed queueing time) x responses per second + headroom
//
// See docs/design/learned-room.md. This class only computes the limit; the caller rejects requests. Times are
// seconds on the host's clock, durations are in seconds, limits are numbers of requests.
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
  // Uses the latency objective of each class, clamped to the range from 1 ms to 60 s.
  explicit ConcurrencyLimit(const std::vector<RequestClass>& classes);

  // Records a successful response. `in_flight`: the number of other requests in flight. `mean_latency`: the
  // mean over all request classes, in seconds. `server`: the throughput of the server that responded, which
  // is updated too.
  void record_success(double now, std::size_t request_class, double elapsed, double in_flight,
                      double mean_latency, Throughput& server);
  // Records the latency of a request that completed or timed out.
  void record_latency(double now, std::size_t request_class, double elapsed);
  // Records that a request was rejected for lack of capacity. `may_probe`: whether lower limits may be
  // probed. `replicas`: the mean number of replicas that send to the same server.
  void record_rejection(double now, double in_flight, bool may_probe, double replicas);
  // Discards probe results; called when the set of servers has changed.
  void reset_probe() { probe_.reset(); }

  // This replica's limit for one server, and for `servers` of them together. `replicas`: the mean number of
  // replicas that send to the same server. `known_since`: when this replica first saw the server listed after
  // its last start or removal; for the tier, when this replica received its first endpoint update.
  double server_limit(double now, const Throughput& server, double known_since, double replicas) const;
  double tier_limit(double now, double servers, double known_since, double replicas) const;
  // The upper bound on the limit found by probing; infinite if there is none.
  double probed_bound(double now) const { return probe_.bound(now); }

  // 1 if responses are as fast as on an idle tier, 0 if they must have queued, and in between linear in
  // the smoothed ratio of latency to idle latency.
  double unqueued() const;
  // Latency of the current mix of request classes on an idle tier, in seconds.
  double idle_latency() const { return idle_latency_; }
  // How long a request may queue, in seconds.
  double allowed_queueing() const { return allowed_queueing_; }
  // Responses per second over the tier.
  double response_rate(double now) const { return tier_.steady_rate(now, response_time()); }

 private:
  struct ClassState {
    double latency_objective = 0;
    IdleLatency idle;
    DecayingRate responses{2};
    double idle_latency() const { return idle.ratio() * latency_objective; }
  };
  double response_time() const { return idle_latency_ + allowed_queueing_; }
  void update_class_mix(double now);
  double limit_from_throughput(const Throughput& throughput, double now) const;

  std::vector<ClassState> classes_;
  Throughput tier_;
  ConcurrencyProbe probe_;
  double idle_latency_ = 0;
  double allowed_queueing_ = 0;
  double next_mix_update_at_ = 0;
  bool idle_latency_is_reliable_ = false;  // whether idle_latency_ is based on responses without queueing
  // Whether this replica's probes noticeably change the queues at its servers.
  bool probe_affects_queue_ = false;
  double rejected_at_ = -ConcurrencyProbe::kNoBound;
  Estimate objective_ratio_;       // smoothed ratio of latency to latency objective
  Estimate slowdown_;              // smoothed ratio of latency to idle latency
  double latency_updated_at_ = 0;  // when objective_ratio_ and slowdown_ were last updated
};

}  // namespace thymewood
