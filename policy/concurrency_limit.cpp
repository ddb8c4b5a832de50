#include "concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace thymewood {
namespace {

constexpr double kMinObjective = 1e-3, kMaxObjective = 60;  // s

// The allowed queueing time is the larger of kQueueingPerIdleLatency and kQueueingPerSlack.
constexpr double kQueueingPerIdleLatency = 0.9;  // multiple of the idle latency
constexpr double kQueueingPerSlack = 0.25;       // fraction of the slack: the objective less the idle latency
// Fraction of late_value by which the time up to the client timeout extends the objective.
constexpr double kLateValueWeight = 0.5;
// Fraction of requests; a rarer class does not bound the queueing time of the others.
constexpr double kMinClassShare = 0.03;
constexpr double kMixUpdateInterval = 0.1;  // s

// Parameters of the limit.
constexpr double kMinRequests = 2;           // always allowed at each server, over all replicas
constexpr double kInitialExtraRequests = 6;  // added at a server that has had no time to respond yet
constexpr double kInitialTimeConstant = 2;   // s; decay of kInitialExtraRequests
// Multiple of the limit of one server, whose measurements are noisier than the tier's.
constexpr double kServerLimitFactor = 0.85;
constexpr double kLowLatencyRatio = 0.45;    // latency over objective; up to here the full headroom is added
constexpr double kHighLatencyRatio = 0.7;    // latency over objective; from here on none is added
constexpr double kMinHeadroom = 2;           // requests above the limit, allowed for random variation
constexpr double kHeadroomDeviations = 1.5;  // standard deviations of a count, added to kMinHeadroom
// Latency over idle latency; up to here there is certainly no queue.
constexpr double kUnqueuedSlowdown = 1.5;
constexpr double kQueuedSlowdown = 1.8;  // latency over idle latency; from here on there certainly is one
constexpr double kLatencyGain = 0.15;    // weight of one response in the smoothed latency
// Seconds; the weight is at most the time since the last response divided by this.
constexpr double kLatencyInterval = 0.25;

// When to probe lower limits.
// Seconds; for this long after a rejection the requests in flight count as being at the limit.
constexpr double kRejectionPeriod = 1;
// Multiple of the idle latency; shorter queues cannot be halved without idling servers.
constexpr double kMinProbeQueueing = 1.5;
constexpr double kMinProbedRequests = 12;
// Replicas per server. When many replicas share a server, halving the requests of one hardly shortens the
// queue, and the unchanged latency would be taken for the absence of a queue.
constexpr double kMaxReplicasForUnqueuedResult = 2;
// Multiple of the requests processed at once; below it servers are not overloaded.
constexpr double kOverloadFactor = 1.3;

// The latency objective that the allowed queueing time is derived from, in seconds. If late responses have
// value, it includes a fraction of the time between objective and client timeout. Including all of it would
// allow queues so long that servers slow down.
double effective_objective(const RequestClass& c) {
  if (!(c.late_value > 0 && std::isfinite(c.client_timeout))) return c.latency_objective;
  return c.latency_objective +
         kLateValueWeight * c.late_value * std::max(0.0, c.client_timeout - c.latency_objective);
}

// Limit of one server over all replicas before any measurements.
double initial_limit(double now, double known_since) {
  return kMinRequests + kInitialExtraRequests * std::exp((known_since - now) / kInitialTimeConstant);
}

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const std::vector<RequestClass>& classes) {
  for (const RequestClass& c : classes) {
    classes_.emplace_back();
    classes_.back().latency_objective =
        std::max(std::min(effective_objective(c), kMaxObjective), kMinObjective);
  }
  update_class_mix(0);
}

void ConcurrencyLimit::record_success(double now, std::size_t request_class, double elapsed, double in_flight,
                                      double mean_latency, Throughput& server) {
  ClassState& c = classes_[request_class];
  const double reliable_latency = idle_latency_is_reliable_ ? idle_latency_ : 0;
  server.add(now, reliable_latency, response_time());
  tier_.add(now, reliable_latency, response_time());
  probe_.record_response(now, c.idle_latency(), in_flight, mean_latency, elapsed);
  if (probe_.take_unqueued_result() && probe_affects_queue_) {
    for (ClassState& each : classes_) each.idle.confirm_unqueued(now);
    next_mix_update_at_ = now;
  }
  c.responses.add(now);
  const bool may_have_queued =
      now < rejected_at_ + kRejectionPeriod && in_flight > kOverloadFactor * tier_.concurrency(now) + 1;
  c.idle.add(now, elapsed / c.latency_objective, may_have_queued);
  if (now >= next_mix_update_at_) update_class_mix(now);
}

void ConcurrencyLimit::record_latency(double now, std::size_t request_class, double elapsed) {
  const ClassState& c = classes_[request_class];
  const double gain = std::min(kLatencyGain, (now - latency_updated_at_) / kLatencyInterval);
  objective_ratio_.add(elapsed / c.latency_objective, gain);
  slowdown_.add(elapsed / c.idle_latency(), gain);
  latency_updated_at_ = now;
}

// Servers that have been overloaded from the start never show their throughput at lower concurrency, so lower
// limits are probed. Half of a long queue still keeps servers busy. Short queues are not probed, since fewer
// requests would leave servers idle.
void ConcurrencyLimit::record_rejection(double now, double in_flight, bool may_probe, double replicas) {
  rejected_at_ = now;
  probe_affects_queue_ = replicas <= kMaxReplicasForUnqueuedResult;
  if (!may_probe || (idle_latency_is_reliable_ && allowed_queueing_ < kMinProbeQueueing * idle_latency_))
    return;
  probe_.record_rejection(now, in_flight,
                          std::max(kMinProbedRequests, kOverloadFactor * tier_.concurrency(now)));
}

// The class with the shortest allowed queueing time determines it for all classes, since they share the
// queue.
void ConcurrencyLimit::update_class_mix(double now) {
  double total_rate = 0, mean_idle = 0, min_queueing = std::numeric_limits<double>::infinity();
  idle_latency_is_reliable_ = true;
  for (const ClassState& c : classes_) total_rate += c.responses.at(now);
  for (const ClassState& c : classes_) {
    const double share =
        total_rate > 0 ? c.responses.at(now) / total_rate : 1.0 / static_cast<double>(classes_.size());
    mean_idle += share * c.idle_latency();
    if (share < kMinClassShare) continue;
    idle_latency_is_reliable_ = idle_latency_is_reliable_ && c.idle.is_reliable();
    const double slack = c.latency_objective - c.idle_latency();
    min_queueing = std::min(min_queueing,
                            std::max(kQueueingPerIdleLatency * c.idle_latency(), kQueueingPerSlack * slack));
  }
  idle_latency_ = mean_idle;
  allowed_queueing_ = std::isfinite(min_queueing) ? min_queueing : idle_latency_;
  next_mix_update_at_ = now + kMixUpdateInterval;
}

double ConcurrencyLimit::unqueued() const {
  return std::clamp((kQueuedSlowdown - slowdown_.mean) / (kQueuedSlowdown - kUnqueuedSlowdown), 0.0, 1.0);
}

// Requests in flight at which the queueing time is as long as allowed at the measured response rate.
// Requests that did not queue show that there is spare capacity, so a few responses raise the limit. When
// requests queue, the fast rate is not used, since it would mistake random variation for capacity.
double ConcurrencyLimit::limit_from_throughput(const Throughput& throughput, double now) const {
  const double steady = throughput.steady_rate(now, response_time());
  const double rise = std::max(0.0, throughput.fast_rate(now, response_time()) - steady);
  return std::max(response_time() * (steady + unqueued() * rise), throughput.concurrency(now));
}

double ConcurrencyLimit::server_limit(double now, const Throughput& server, double known_since,
                                      double replicas) const {
  return initial_limit(now, known_since) / replicas + kServerLimitFactor * limit_from_throughput(server, now);
}

// Headroom for random variation is added only while latency is low: summed over many replicas it would
// overload the servers.
double ConcurrencyLimit::tier_limit(double now, double servers, double known_since, double replicas) const {
  const double headroom_factor = std::clamp(
      (kHighLatencyRatio - objective_ratio_.mean) / (kHighLatencyRatio - kLowLatencyRatio), 0.0, 1.0);
  const double limit =
      initial_limit(now, known_since) * servers / replicas + limit_from_throughput(tier_, now);
  const double headroom = kMinHeadroom + kHeadroomDeviations * std::sqrt(limit);
  return std::min(limit + headroom_factor * headroom, probe_.bound(now));
}

}  // namespace thymewood
