#include "tenant_limiter.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace thymewood {
namespace {

constexpr double kBucket = 0.1;     // s; grain of the sliding window, a tenth of the short rate's second
constexpr int kWindowBuckets = 40;  // 4 s: a copy that sees a call a second has some calls to judge by
constexpr double kWindow = kBucket * kWindowBuckets;
constexpr double kHardLimitFactor = 20;  // denied calls count too: below real floods nothing is denied whole
constexpr double kFactorCache = 0.1;     // s; as in the source
constexpr double kNoise = 1.5;           // standard deviations of a count that a bound leaves to chance
constexpr double kStartShare = 1.5;      // x a copy's part of the allowance; a generous start of a limit
constexpr double kFloor = 1;  // x the same; floor of a limit: the tier can do more than all shares together
constexpr double kDeepFloor = 6;  // x the same; a limit's floor past tier 0: a refusal wastes the work above
constexpr double kStep = 0.4, kMostStep = 0.1;  // calls/s, and of the limit: what a bad end takes off at most
constexpr double kBadShare = 0.25;              // bad ends for a good one at which a limit stays where it is

constexpr double kForever = std::numeric_limits<double>::infinity();

}  // namespace

double suppression_factor(double rate_limit, double window_rate, double last_second_rate) {
  const double perceived = std::max(window_rate, last_second_rate);
  return perceived <= 0 ? 0 : std::clamp(1 - rate_limit / perceived, 0.0, 1.0);
}

// 10 buckets are 1000 ms, the short rate of the source.
TenantLimiter::TenantLimiter(const Tenant& told, const Settings& settings)
    : window_(kBucket, kWindowBuckets, 10),
      first_tier_(settings.tier == 0),
      limit_(kForever),
      start_(kForever),
      factor_until_(-kForever) {
  if (!told.quota) return;
  const double part = *told.quota / settings.replica_count;
  floor_ = part * (first_tier_ ? kFloor : kDeepFloor);
  worth_ = settings.over_quota_weight;
  limit_ = start_ = std::max(floor_, part * kStartShare + kNoise * std::sqrt(part / kWindow));
}

void TenantLimiter::share_anew(double factor) {
  floor_ *= factor;
  start_ *= factor;
  limit_ = std::max(floor_, limit_ * factor);
}

double TenantLimiter::factor_of(const SlidingWindow::Sums& sums) const {
  const double soft = limit_ * kWindow;
  if (sums.admitted() < soft) return 0;
  if (sums.total >= soft * kHardLimitFactor) return 1;
  return suppression_factor(limit_, sums.total / kWindow, sums.last_second);
}

// The factor is cached as in the source, but for its ends: those are two comparisons.
bool TenantLimiter::admits(double now, Random& random) {
  double factor = factor_of(window_.sums(now));
  if (factor > 0 && factor < 1) {
    if (now >= factor_until_) {
      factor_ = factor;
      factor_until_ = now + kFactorCache;
    }
    factor = factor_;
  }
  const bool admit = factor == 0 || random.unit() >= factor;
  window_.add(now, !admit);
  return admit;
}

bool TenantLimiter::is_within_share(double now) const {
  return first_tier_ && std::isfinite(limit_) && worth_ < 1 &&
         window_.sums(now).admitted() <= floor_ * kWindow;
}

void TenantLimiter::ended(double now, bool badly, double unqueued) {
  if (!std::isfinite(limit_)) return;
  const double step = std::min(kMostStep, kStep / limit_);
  if (badly) {
    limit_ = std::max(floor_, limit_ * (1 - step));
  } else if (window_.sums(now).admitted() > limit_ * kWindow / 2) {
    // Idle servers lose nothing by more, unless it is told to be worth nothing.
    const double worth = worth_ > 0 ? worth_ + (1 - worth_) * unqueued : 0;
    limit_ *= 1 + step * kBadShare * (limit_ > start_ ? worth : 1);
  }
}

TenantLimitView TenantLimiter::view(double now) const {
  const SlidingWindow::Sums sums = window_.sums(now);
  return {limit_, factor_of(sums), sums.total, sums.denied};
}

}  // namespace thymewood
