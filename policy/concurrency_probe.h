// Probes whether a lower concurrency limit would increase throughput while requests are being rejected.
//
// Servers that slow down at high concurrency do not announce it, and behind a long queue they look like any
// other busy server. A probe admits fewer requests for a short time and compares the work done with that of a
// baseline measured just before. Fitting throughput to the number of requests in flight would not work: the
// samples are taken while load, request mix or a shared dependency change, and their effect would be
// attributed to concurrency. During a probe only the number of requests in flight changes.
//
// This class only computes the bound; the caller rejects requests. Times are seconds on the host's clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace thymewood {

class ConcurrencyProbe {
 public:
  static constexpr double kNoBound = std::numeric_limits<double>::infinity();

  // The maximum number of requests in flight. It grows exponentially while no request is rejected.
  double bound(double now) const {
    if (phase_ == Phase::kSettling || phase_ == Phase::kProbing) return probed_limit_;
    return bound_ * std::exp(std::max(0.0, now - rejected_at_ - kRejectionPeriod) / kBoundGrowthTimeConstant);
  }

  // Records a response that took `elapsed` s. `work`: latency of such requests on an idle tier, in seconds.
  void record_response(double now, double work, double in_flight, double mean_latency, double elapsed) {
    total_work_ += work;
    total_elapsed_ += elapsed;
    response_count_ += 1;
    if (phase_ == Phase::kIdle) return;
    if (now > rejected_at_ + kRejectionPeriod)
      return back_off(now, kMinBackoff);  // there is spare capacity, so a lower limit gains nothing
    // With few responses a probe would limit requests for minutes without a usable result.
    if (now > phase_started_at_ + kMaxPhase) return back_off(now, next_backoff());
    if (phase_ == Phase::kSettling) return settle(now, in_flight, mean_latency);
    if (response_count_ < kMinResponses || now - phase_started_at_ < kMinPhase) return;
    const double work_rate = total_work_ / (now - phase_started_at_);
    if (phase_ == Phase::kProbing) return conclude(now, work_rate);
    baseline_work_rate_ = work_rate;
    baseline_slowdown_ = total_elapsed_ / total_work_;
    settled_at_ = kNoBound;
    enter_phase(now, Phase::kSettling);
  }

  // Records that a request was rejected for lack of capacity. Limits below `min_limit` are not probed.
  void record_rejection(double now, double in_flight, double min_limit) {
    if (now > rejected_at_ + kRejectionPeriod) {
      bound_ = bound(now);
      if (phase_ == Phase::kIdle) next_probe_at_ = std::max(next_probe_at_, now + kMinBackoff);
    }
    rejected_at_ = now;
    if (phase_ == Phase::kIdle && now >= next_probe_at_) start(now, in_flight, min_limit);
  }

  // Returns, once per probe, whether the last probe found that requests did not queue: latency stayed the
  // same with fewer requests in flight, while by Little's law a queue would have become shorter by that
  // number.
  bool take_unqueued_result() { return std::exchange(unqueued_result_, false); }

  // Discards all results; called when the set of servers has changed.
  void reset() { *this = {}; }

 private:
  enum class Phase { kIdle, kBaseline, kSettling, kProbing };
  // Seconds; after this long without a rejection there is spare capacity.
  static constexpr double kRejectionPeriod = 1;
  static constexpr double kBoundGrowthTimeConstant = 5;  // s; exponential growth of the bound from then on
  static constexpr double kMinResponses = 400;  // in a measurement; keeps its error within a twentieth
  static constexpr double kMaxPhase = 20;       // s; a phase that lasts longer is aborted
  static constexpr double kMinPhase = 0.1;      // s
  // Multiple of the mean latency; longest wait for in-flight requests to reach the target.
  static constexpr double kMaxSettlingFactor = 3;
  // Multiple of the probed limit; an upward probe counts as having reached it.
  static constexpr double kTargetReachedFactor = 0.95;
  // Multiple of the requests in flight; the first lower limit.
  static constexpr double kInitialDownFactor = 0.5;
  static constexpr double kMinDownFactor = 0.1;  // multiple of the requests in flight; the lowest limit
  static constexpr double kUpFactor = 1.5;       // multiple of the requests in flight; the higher limit
  // Multiple of the baseline work rate; required to keep a lower limit.
  static constexpr double kMinThroughputGain = 1.25;
  // Multiple of the baseline work rate; required to keep a higher limit.
  static constexpr double kMinThroughputRetained = 0.95;
  // Multiple of the requests in flight that caused overload; bounds upward probes.
  static constexpr double kOverloadMargin = 0.75;
  static constexpr double kOverloadRetention = 60;  // s; how long that bound applies
  // Multiple of the baseline slowdown; above it no queue became shorter.
  static constexpr double kUnchangedSlowdownFactor = 0.9;
  static constexpr double kMinBackoff = 1;   // s between two probes, doubled after each unsuccessful probe
  static constexpr double kMaxBackoff = 60;  // s

  double next_backoff() const { return std::min(kMaxBackoff, 2 * backoff_); }

  void enter_phase(double now, Phase phase) {
    phase_ = phase;
    phase_started_at_ = now;
    total_work_ = response_count_ = total_elapsed_ = 0;
  }

  void back_off(double now, double duration) {
    enter_phase(now, Phase::kIdle);
    backoff_ = duration;
    next_probe_at_ = now + duration;
  }

  void start(double now, double in_flight, double min_limit) {
    const bool is_upward = bound_ < kNoBound && !next_probe_is_down_;
    next_probe_is_down_ = is_upward;
    limit_factor_ = is_upward                            ? kUpFactor
                    : limit_factor_ / 2 < kMinDownFactor ? kInitialDownFactor
                                                         : limit_factor_ / 2;
    if (!is_upward && limit_factor_ * in_flight < min_limit) limit_factor_ = kInitialDownFactor;
    probed_limit_ = limit_factor_ * in_flight;
    // Raising the limit into overload costs more than it can gain, and servers may take long to recover.
    if (is_upward && now < overload_known_until_)
      probed_limit_ = std::min(probed_limit_, kOverloadMargin * overloaded_in_flight_);
    initial_in_flight_ = in_flight;
    if (probed_limit_ < min_limit || (is_upward && probed_limit_ <= bound_)) {
      // Not a failed probe: postponed without increasing the backoff.
      next_probe_at_ = now + kMinBackoff;
      return;
    }
    enter_phase(now, Phase::kBaseline);
  }

  // Requests admitted at the previous concurrency complete about one mean latency after the last of them was
  // admitted, so the measurement starts only then.
  void settle(double now, double in_flight, double mean_latency) {
    const bool reached_target =
        limit_factor_ < 1 ? in_flight <= probed_limit_ : in_flight >= kTargetReachedFactor * probed_limit_;
    if (settled_at_ == kNoBound &&
        (reached_target || now > phase_started_at_ + kMaxSettlingFactor * mean_latency))
      settled_at_ = now;
    if (now >= settled_at_ + mean_latency) enter_phase(now, Phase::kProbing);
  }

  void conclude(double now, double work_rate) {
    unqueued_result_ =
        limit_factor_ < 1 && total_elapsed_ / total_work_ > kUnchangedSlowdownFactor * baseline_slowdown_;
    const bool keep_limit =
        work_rate > (limit_factor_ > 1 ? kMinThroughputRetained : kMinThroughputGain) * baseline_work_rate_;
    if (keep_limit) bound_ = probed_limit_;
    if (keep_limit && limit_factor_ < 1) {
      overloaded_in_flight_ = now < overload_known_until_
                                  ? std::min(overloaded_in_flight_, initial_in_flight_)
                                  : initial_in_flight_;
      overload_known_until_ = now + kOverloadRetention;
    }
    // After a lower limit has helped, an even lower one may help too. After an upward probe the next one goes
    // down again, since a higher limit that is harmless at first may do harm later.
    next_probe_is_down_ = keep_limit || limit_factor_ > 1;
    back_off(now, keep_limit ? kMinBackoff : next_backoff());
  }

  Phase phase_ = Phase::kIdle;
  double phase_started_at_ = 0;
  double next_probe_at_ = 0;
  double backoff_ = kMinBackoff;
  double rejected_at_ = -kNoBound;
  double settled_at_ = kNoBound;  // when the requests in flight reached the probed limit

  // Sums over the current phase.
  double total_work_ = 0;
  double response_count_ = 0;
  double total_elapsed_ = 0;

  // Baseline measurements: work per second, latency over work.
  double baseline_work_rate_ = 0;
  double baseline_slowdown_ = 0;

  double initial_in_flight_ = 0;             // at the start of the probe
  double overloaded_in_flight_ = 0;          // fewest found to cause overload
  double overload_known_until_ = -kNoBound;  // when overloaded_in_flight_ expires
  double limit_factor_ = 1;  // ratio of the probed limit to the requests in flight at the start of the probe
  double probed_limit_ = kNoBound;
  double bound_ = kNoBound;
  bool next_probe_is_down_ = false;
  bool unqueued_result_ = false;
};

}  // namespace thymewood
