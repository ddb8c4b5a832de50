#include "concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace thymewood {
namespace {

constexpr double kMinObjective = 1e-3, kMaxObjective = 60;  // s

// How long requests may queue.
constexpr double kQueueingPerIdle = 0.9;    // x the idle latency, ...
constexpr double kQueueingPerSlack = 0.25;  // ... or of what the objective leaves, if that is more
constexpr double kLateValueWeight = 0.5;    // of the value of a late answer: what it adds to the objective
constexpr double kMinClassPart = 0.03;  // of the requests; a rarer class does not bound the queueing of all
constexpr double kMixUpdateInterval = 0.1;  // s

// How many that makes.
constexpr double kMinRequests = 2;          // in flight over all replicas, allowed at any server
constexpr double kInitialRequests = 6;      // and more at one that had no time to answer yet
constexpr double kInitialTimeConstant = 2;  // s; in which these decay
constexpr double kServerFactor = 0.85;  // x the limit, at one server: measured less steadily than the tier
constexpr double kCalmRatio = 0.45;     // of the objective; latency that leaves all to random variation
constexpr double kCrowdedRatio = 0.7;   // of the objective; latency that leaves nothing to it
constexpr double kMinVariation = 2;     // requests beyond the limit at random, beside the deviations
constexpr double kVariationDeviations = 1.5;  // standard deviations of a count, likewise
constexpr double kUnqueuedStretch = 1.5;      // x the idle latency; surely no queue
constexpr double kQueuedStretch = 1.8;        // x the idle latency; surely a queue
constexpr double kLatencyGain = 0.15;         // weight of one response in the latency now ...
constexpr double kLatencyInterval = 0.25;     // s; ... or less where more of them come in this time

// When to probe lower limits.
constexpr double kRejectionPeriod =
    1;  // s after a rejection, in which the requests in flight are at the limit
constexpr double kMinProbeQueueing = 1.5;  // x the idle latency; shorter queues have nothing to spare
constexpr double kMinProbedRequests = 12;
// Replicas per server. Half of the requests of one replica among many hardly shorten a queue, which would
// pass for none.
constexpr double kMaxReplicasForProof = 2;
constexpr double kBusyFactor = 1.3;  // x the requests processed at once; below it servers are not crowded

// s; by when an answer still justifies its wait. Where late answers have value, a part of the time between
// objective and timeout counts too; all of it would allow queues in which servers become slow.
double useful_latency(const RequestClass& c) {
  if (!(c.late_value > 0 && std::isfinite(c.client_timeout))) return c.latency_objective;
  return c.latency_objective +
         kLateValueWeight * c.late_value * std::max(0.0, c.client_timeout - c.latency_objective);
}

// Requests in flight, over all replicas, where nothing is measured yet.
double initial_limit(double now, double since) {
  return kMinRequests + kInitialRequests * std::exp((since - now) / kInitialTimeConstant);
}

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const std::vector<RequestClass>& classes) {
  for (const RequestClass& c : classes) {
    classes_.emplace_back();
    classes_.back().latency_objective = std::max(std::min(useful_latency(c), kMaxObjective), kMinObjective);
  }
  update_mix(0);
}

void ConcurrencyLimit::record_success(double now, std::size_t request_class, double elapsed, double in_flight,
                                      double mean_latency, Throughput& server) {
  ClassState& c = classes_[request_class];
  const double reliable_latency = reliable_ ? idle_latency_ : 0;
  server.add(now, reliable_latency, response_time());
  tier_.add(now, reliable_latency, response_time());
  probe_.record_response(now, c.idle_latency(), in_flight, mean_latency, elapsed);
  if (probe_.take_unqueued_proof() && probe_proves_idle_) {
    for (ClassState& each : classes_) each.idle.confirm_unqueued(now);
    next_update_at_ = now;
  }
  c.responses.add(now);
  const bool may_have_queued =
      now < rejected_at_ + kRejectionPeriod && in_flight > kBusyFactor * tier_.concurrency(now) + 1;
  c.idle.add(now, elapsed / c.latency_objective, may_have_queued);
  if (now >= next_update_at_) update_mix(now);
}

void ConcurrencyLimit::record_latency(double now, std::size_t request_class, double elapsed) {
  const ClassState& c = classes_[request_class];
  const double gain = std::min(kLatencyGain, (now - latency_at_) / kLatencyInterval);
  objective_ratio_.add(elapsed / c.latency_objective, gain);
  stretch_.add(elapsed / c.idle_latency(), gain);
  latency_at_ = now;
}

// Servers that were crowded from the start never show what they do otherwise, so lower limits are probed.
// Half of a long queue still keeps servers busy; a short one is left alone, since fewer requests would idle
// them.
void ConcurrencyLimit::record_rejection(double now, double in_flight, bool may_probe, double replicas) {
  rejected_at_ = now;
  probe_proves_idle_ = replicas <= kMaxReplicasForProof;
  if (!may_probe || (reliable_ && allowed_queueing_ < kMinProbeQueueing * idle_latency_)) return;
  probe_.record_rejection(now, in_flight, std::max(kMinProbedRequests, kBusyFactor * tier_.concurrency(now)));
}

// The class with the shortest allowed queueing bounds that of all: they share the queue.
void ConcurrencyLimit::update_mix(double now) {
  double total_rate = 0, mean_idle = 0, min_queueing = std::numeric_limits<double>::infinity();
  reliable_ = true;
  for (const ClassState& c : classes_) total_rate += c.responses.at(now);
  for (const ClassState& c : classes_) {
    const double part =
        total_rate > 0 ? c.responses.at(now) / total_rate : 1.0 / static_cast<double>(classes_.size());
    mean_idle += part * c.idle_latency();
    if (part < kMinClassPart) continue;
    reliable_ = reliable_ && c.idle.is_reliable();
    const double slack = c.latency_objective - c.idle_latency();
    min_queueing =
        std::min(min_queueing, std::max(kQueueingPerIdle * c.idle_latency(), kQueueingPerSlack * slack));
  }
  idle_latency_ = mean_idle;
  allowed_queueing_ = std::isfinite(min_queueing) ? min_queueing : idle_latency_;
  next_update_at_ = now + kMixUpdateInterval;
}

double ConcurrencyLimit::unqueued() const {
  return std::clamp((kQueuedStretch - stretch_.mean) / (kQueuedStretch - kUnqueuedStretch), 0.0, 1.0);
}

// Requests in flight at which queueing is as long as allowed, by the responses that come. Responses without a
// queue prove more capacity than they use, so a few of them raise the limit; under a queue the fast rate
// would take random variation for capacity.
double ConcurrencyLimit::by_responses(const Throughput& throughput, double now) const {
  const double steady = throughput.steady_rate(now, response_time());
  const double rise = std::max(0.0, throughput.fast_rate(now, response_time()) - steady);
  return std::max(response_time() * (steady + unqueued() * rise), throughput.concurrency(now));
}

double ConcurrencyLimit::server_limit(double now, const Throughput& server, double since,
                                      double replicas) const {
  return initial_limit(now, since) / replicas + kServerFactor * by_responses(server, now);
}

// Random variation is allowed for only while latency is low: what each of many replicas needs for it would
// sum to a crowd.
double ConcurrencyLimit::tier_limit(double now, double servers, double since, double replicas) const {
  const double calm =
      std::clamp((kCrowdedRatio - objective_ratio_.mean) / (kCrowdedRatio - kCalmRatio), 0.0, 1.0);
  const double limit = initial_limit(now, since) * servers / replicas + by_responses(tier_, now);
  const double variation = kMinVariation + kVariationDeviations * std::sqrt(limit);
  return std::min(limit + calm * variation, probe_.bound(now));
}

}  // namespace thymewood
