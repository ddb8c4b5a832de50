// Probes for a lower concurrency limit: while requests are rejected, would fewer in flight get more work
// done?
//
// Servers that slow down when crowded announce it to nobody; behind a long queue they look like any busy
// server. For a moment fewer requests are admitted, and the work done is compared with that of the moment
// before. A curve of work over requests in flight would not do: it is observed while load, mix or a shared
// dependency change, and attributes their effect to the crowd. In a probe only the requests in flight change.
//
// Nothing is rejected here. Times are seconds on the host's clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace thymewood {

class ConcurrencyProbe {
 public:
  static constexpr double kNoBound = std::numeric_limits<double>::infinity();

  // Requests in flight that are admitted at most. Without rejections the bound is lifted step by step.
  double bound(double now) const {
    if (phase_ == Phase::kSettling || phase_ == Phase::kProbing) return probed_limit_;
    return bound_ * std::exp(std::max(0.0, now - rejected_at_ - kRejectionPeriod) / kLiftTimeConstant);
  }

  // A request was answered after `elapsed` s. `work`: s, what such requests need on an idle tier.
  void record_response(double now, double work, double in_flight, double mean_latency, double elapsed) {
    work_ += work;
    elapsed_ += elapsed;
    responses_ += 1;
    if (phase_ == Phase::kIdle) return;
    if (now > rejected_at_ + kRejectionPeriod)
      return pause(now, kMinPause);  // nothing is to be gained any more
    // Where responses are few, a probe would hold requests back for minutes to learn nothing.
    if (now > phase_started_at_ + kMaxPhase) return pause(now, next_pause());
    if (phase_ == Phase::kSettling) return settle(now, in_flight, mean_latency);
    if (responses_ < kMinResponses || now - phase_started_at_ < kMinPhase) return;
    const double rate = work_ / (now - phase_started_at_);
    if (phase_ == Phase::kProbing) return conclude(now, rate);
    baseline_rate_ = rate;
    baseline_stretch_ = elapsed_ / work_;
    settled_at_ = kNoBound;
    enter(now, Phase::kSettling);
  }

  // A request was rejected for lack of capacity. Limits below `min_limit` are not probed.
  void record_rejection(double now, double in_flight, double min_limit) {
    if (now > rejected_at_ + kRejectionPeriod) {
      bound_ = bound(now);
      if (phase_ == Phase::kIdle) next_probe_at_ = std::max(next_probe_at_, now + kMinPause);
    }
    rejected_at_ = now;
    if (phase_ == Phase::kIdle && now >= next_probe_at_) start(now, in_flight, min_limit);
  }

  // Whether a probe has just ended in which requests took as long with fewer in flight, so that they met no
  // queue: by Little's law a queue would have become shorter by what was taken away.
  bool take_unqueued_proof() { return std::exchange(proved_unqueued_, false); }

  // Other servers stand behind the limit from now on.
  void reset() { *this = {}; }

 private:
  enum class Phase { kIdle, kBaseline, kSettling, kProbing };
  static constexpr double kRejectionPeriod = 1;   // s without a rejection, after which there is capacity
  static constexpr double kLiftTimeConstant = 5;  // s; how fast the bound rises then
  static constexpr double kMinResponses = 400;    // in a measurement; its error is within a twentieth
  static constexpr double kMaxPhase = 20;         // s; a phase that lasts longer is aborted
  static constexpr double kMinPhase = 0.1;        // s
  static constexpr double kMaxSettling = 3;  // x the mean latency; wait for the requests in flight to change
  static constexpr double kNearTarget = 0.95;    // x the probed limit; near enough
  static constexpr double kHalf = 0.5;           // x the requests in flight; the first limit that is probed
  static constexpr double kMinFactor = 0.1;      // x the requests in flight; the lowest one
  static constexpr double kUpFactor = 1.5;       // x the requests in flight; a higher one
  static constexpr double kMinGain = 1.25;       // x the work of the baseline; enough to keep a lower limit
  static constexpr double kMaxLoss = 0.95;       // x the work of the baseline; a higher limit does no harm
  static constexpr double kCrowdMargin = 0.75;   // x the requests found to crowd; how near a limit may come
  static constexpr double kCrowdRetention = 60;  // s; for how long
  static constexpr double kSameStretch = 0.9;    // x the stretch of the baseline; no queue became shorter
  static constexpr double kMinPause = 1;         // s between two probes, doubled while they fail
  static constexpr double kMaxPause = 60;        // s

  double next_pause() const { return std::min(kMaxPause, 2 * pause_); }

  void enter(double now, Phase phase) {
    phase_ = phase;
    phase_started_at_ = now;
    work_ = responses_ = elapsed_ = 0;
  }

  void pause(double now, double duration) {
    enter(now, Phase::kIdle);
    pause_ = duration;
    next_probe_at_ = now + duration;
  }

  void start(double now, double in_flight, double min_limit) {
    const bool up = bound_ < kNoBound && !next_is_down_;
    next_is_down_ = up;
    factor_ = up ? kUpFactor : factor_ / 2 < kMinFactor ? kHalf : factor_ / 2;
    if (!up && factor_ * in_flight < min_limit) factor_ = kHalf;
    probed_limit_ = factor_ * in_flight;
    // A step up into a crowd costs more than it can gain, and servers may take long to recover.
    if (up && now < crowded_until_)
      probed_limit_ = std::min(probed_limit_, kCrowdMargin * crowded_in_flight_);
    initial_in_flight_ = in_flight;
    if (probed_limit_ < min_limit || (up && probed_limit_ <= bound_)) {  // postponed, which is no failure
      next_probe_at_ = now + kMinPause;
      return;
    }
    enter(now, Phase::kBaseline);
  }

  // Requests that met another number in flight are out for one latency after the last of them was admitted.
  void settle(double now, double in_flight, double mean_latency) {
    const bool is_near = factor_ < 1 ? in_flight <= probed_limit_ : in_flight >= kNearTarget * probed_limit_;
    if (settled_at_ == kNoBound && (is_near || now > phase_started_at_ + kMaxSettling * mean_latency))
      settled_at_ = now;
    if (now >= settled_at_ + mean_latency) enter(now, Phase::kProbing);
  }

  void conclude(double now, double rate) {
    proved_unqueued_ = factor_ < 1 && elapsed_ / work_ > kSameStretch * baseline_stretch_;
    const bool accepted = rate > (factor_ > 1 ? kMaxLoss : kMinGain) * baseline_rate_;
    if (accepted) bound_ = probed_limit_;
    if (accepted && factor_ < 1) {
      crowded_in_flight_ =
          now < crowded_until_ ? std::min(crowded_in_flight_, initial_in_flight_) : initial_in_flight_;
      crowded_until_ = now + kCrowdRetention;
    }
    // What has helped may help again; and a higher limit that did no harm at once may do so later.
    next_is_down_ = accepted || factor_ > 1;
    pause(now, accepted ? kMinPause : next_pause());
  }

  Phase phase_ = Phase::kIdle;
  double phase_started_at_ = 0;
  double next_probe_at_ = 0;
  double pause_ = kMinPause;
  double rejected_at_ = -kNoBound;
  double settled_at_ = kNoBound;  // when the requests in flight had come to the probed limit

  // Sums of the present phase.
  double work_ = 0;
  double responses_ = 0;
  double elapsed_ = 0;

  // Results of the baseline: work per second, latency over work.
  double baseline_rate_ = 0;
  double baseline_stretch_ = 0;

  double initial_in_flight_ = 0;  // as the probe began
  double crowded_in_flight_ = 0;  // found to crowd the servers
  double crowded_until_ = -kNoBound;
  double factor_ = 1;  // the probed limit over the requests in flight as the probe began
  double probed_limit_ = kNoBound;
  double bound_ = kNoBound;
  bool next_is_down_ = false;
  bool proved_unqueued_ = false;
};

}  // namespace thymewood
