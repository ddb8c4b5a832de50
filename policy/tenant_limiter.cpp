#include "tenant_limiter.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace thymewood {
namespace {

constexpr double kBucket = 0.1;  // s
constexpr int kBucketsPerSecond = 10;
constexpr int kWindowBuckets = 40;  // long enough for a replica that sees a request a second
constexpr double kWindow = kBucket * kWindowBuckets;  // s
constexpr double kHardLimitFactor = 20;  // x the limit; denied requests count too, so only a flood reaches it
constexpr double kSuppressionCache = 0.1;  // s
constexpr double kDeviations = 1.5;        // standard deviations of a count that are left to random variation
constexpr double kInitialFactor = 1.5;     // x the replica's part of the quota; the initial limit
constexpr double kMinFactor = 1;           // x the same; the least limit: a tier can do more than all quotas
constexpr double kMinFactorPastFirstTier = 6;  // x the same; a rejection there wastes the work of tiers above
constexpr double kStep = 0.4;                  // requests per second that a failure takes off the limit ...
constexpr double kMaxStep = 0.1;               // ... or this part of the limit, if that is less
constexpr double kFailuresPerSuccess = 0.25;   // at which a limit stays where it is

constexpr double kUnlimited = std::numeric_limits<double>::infinity();

}  // namespace

double suppression_factor(double rate_limit, double window_rate, double last_second_rate) {
  const double perceived = std::max(window_rate, last_second_rate);
  return perceived <= 0 ? 0 : std::clamp(1 - rate_limit / perceived, 0.0, 1.0);
}

TenantLimiter::TenantLimiter(const Tenant& tenant, const Settings& settings)
    : window_(kBucket, kWindowBuckets, kBucketsPerSecond),
      is_first_tier_(settings.tier == 0),
      limit_(kUnlimited),
      initial_limit_(kUnlimited),
      cached_until_(-kUnlimited) {
  if (!tenant.quota) return;
  const double part = *tenant.quota / settings.replica_count;
  min_limit_ = part * (is_first_tier_ ? kMinFactor : kMinFactorPastFirstTier);
  over_quota_weight_ = settings.over_quota_weight;
  limit_ = initial_limit_ =
      std::max(min_limit_, part * kInitialFactor + kDeviations * std::sqrt(part / kWindow));
}

void TenantLimiter::scale_quota(double factor) {
  min_limit_ *= factor;
  initial_limit_ *= factor;
  limit_ = std::max(min_limit_, limit_ * factor);
}

double TenantLimiter::suppression(const SlidingWindow::Sums& sums) const {
  const double soft_limit = limit_ * kWindow;
  if (sums.admitted() < soft_limit) return 0;
  if (sums.total >= soft_limit * kHardLimitFactor) return 1;
  return suppression_factor(limit_, sums.total / kWindow, sums.last_second);
}

// The factor is cached, except where it is 0 or 1.
bool TenantLimiter::admits(double now, Random& random) {
  double factor = suppression(window_.sums(now));
  if (factor > 0 && factor < 1) {
    if (now >= cached_until_) {
      cached_suppression_ = factor;
      cached_until_ = now + kSuppressionCache;
    }
    factor = cached_suppression_;
  }
  const bool admitted = factor == 0 || random.unit() >= factor;
  window_.add(now, !admitted);
  return admitted;
}

bool TenantLimiter::is_within_quota(double now) const {
  return is_first_tier_ && std::isfinite(limit_) && over_quota_weight_ < 1 &&
         window_.sums(now).admitted() <= min_limit_ * kWindow;
}

double TenantLimiter::step() const { return std::min(kMaxStep, kStep / limit_); }

void TenantLimiter::record_overload() {
  if (!std::isfinite(limit_)) return;
  limit_ = std::max(min_limit_, limit_ * (1 - step()));
}

// The limit rises only while it is used. Beyond the initial limit it rises by the weight of requests over the
// quota, and fully where servers are idle; not at all where that weight is 0.
void TenantLimiter::record_success(double now, double unqueued) {
  if (!std::isfinite(limit_) || !(window_.sums(now).admitted() > limit_ * kWindow / 2)) return;
  const double weight = over_quota_weight_ > 0 ? over_quota_weight_ + (1 - over_quota_weight_) * unqueued : 0;
  limit_ *= 1 + step() * kFailuresPerSuccess * (limit_ > initial_limit_ ? weight : 1);
}

TenantLimitView TenantLimiter::view(double now) const {
  const SlidingWindow::Sums sums = window_.sums(now);
  return {limit_, suppression(sums), sums.total, sums.denied};
}

}  // namespace thymewood
