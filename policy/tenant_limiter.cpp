#include "tenant_limiter.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace thymewood {
namespace {

constexpr double kBucketSeconds = 0.1;
constexpr int kBucketsPerSecond = 10;
constexpr int kWindowBuckets = 40;  // long enough for a replica that receives one request per second
constexpr double kWindowSeconds = kBucketSeconds * kWindowBuckets;
// Multiple of the limit; includes denied requests, so only a flood reaches it.
constexpr double kHardLimitFactor = 20;
constexpr double kSuppressionCacheSeconds = 0.1;
constexpr double kDeviations = 1.5;          // standard deviations of a count, allowed for random variation
constexpr double kInitialLimitFactor = 1.5;  // multiple of the replica's quota share; initial limit
// Multiple of the replica's quota share; minimum limit: a tier can process more than the sum of all quotas.
constexpr double kMinLimitFactor = 1;
// The same behind the first tier, where a rejection wastes the work of the tiers above.
constexpr double kMinLimitFactorBehindFirstTier = 6;
constexpr double kDecrease = 0.4;  // requests per second by which a failure lowers the limit, or ...
constexpr double kMaxDecreaseFraction = 0.1;  // ... this fraction of the limit, if that is less
constexpr double kFailuresPerSuccess = 0.25;  // ratio at which the limit stays constant

constexpr double kUnlimited = std::numeric_limits<double>::infinity();

}  // namespace

double suppression_factor(double rate_limit, double window_rate, double last_second_rate) {
  const double rate = std::max(window_rate, last_second_rate);
  return rate <= 0 ? 0 : std::clamp(1 - rate_limit / rate, 0.0, 1.0);
}

TenantLimiter::TenantLimiter(const Tenant& tenant, const Settings& settings)
    : window_(kBucketSeconds, kWindowBuckets, kBucketsPerSecond),
      is_first_tier_(settings.tier == 0),
      limit_(kUnlimited),
      initial_limit_(kUnlimited),
      cached_until_(-kUnlimited) {
  if (!tenant.quota) return;
  const double quota_share = *tenant.quota / settings.replica_count;
  min_limit_ = quota_share * (is_first_tier_ ? kMinLimitFactor : kMinLimitFactorBehindFirstTier);
  over_quota_weight_ = settings.over_quota_weight;
  limit_ = initial_limit_ = std::max(
      min_limit_, quota_share * kInitialLimitFactor + kDeviations * std::sqrt(quota_share / kWindowSeconds));
}

void TenantLimiter::scale_quota(double factor) {
  min_limit_ *= factor;
  initial_limit_ *= factor;
  limit_ = std::max(min_limit_, limit_ * factor);
}

double TenantLimiter::suppression(const SlidingWindow::Sums& sums) const {
  const double soft_limit = limit_ * kWindowSeconds;
  if (sums.admitted() < soft_limit) return 0;
  if (sums.total >= soft_limit * kHardLimitFactor) return 1;
  return suppression_factor(limit_, sums.total / kWindowSeconds, sums.last_second);
}

// The suppression factor is cached unless it is 0 or 1.
bool TenantLimiter::admit(double now, Random& random) {
  double factor = suppression(window_.sums(now));
  if (factor > 0 && factor < 1) {
    if (now >= cached_until_) {
      cached_suppression_ = factor;
      cached_until_ = now + kSuppressionCacheSeconds;
    }
    factor = cached_suppression_;
  }
  const bool admitted = factor == 0 || random.unit() >= factor;
  window_.add(now, !admitted);
  return admitted;
}

bool TenantLimiter::is_within_quota(double now) const {
  return is_first_tier_ && std::isfinite(limit_) && over_quota_weight_ < 1 &&
         window_.sums(now).admitted() <= min_limit_ * kWindowSeconds;
}

double TenantLimiter::decrease_fraction() const { return std::min(kMaxDecreaseFraction, kDecrease / limit_); }

void TenantLimiter::record_overload() {
  if (!std::isfinite(limit_)) return;
  limit_ = std::max(min_limit_, limit_ * (1 - decrease_fraction()));
}

// The limit rises only while more than half of it is used. Above the initial limit the increase is scaled by
// the weight of requests over the quota, and is in full if requests do not queue. If that weight is 0, the
// limit does not rise above the initial limit.
void TenantLimiter::record_success(double now, double unqueued) {
  if (!std::isfinite(limit_) || !(window_.sums(now).admitted() > limit_ * kWindowSeconds / 2)) return;
  const double weight = over_quota_weight_ > 0 ? over_quota_weight_ + (1 - over_quota_weight_) * unqueued : 0;
  limit_ *= 1 + decrease_fraction() * kFailuresPerSuccess * (limit_ > initial_limit_ ? weight : 1);
}

TenantLimitView TenantLimiter::view(double now) const {
  const SlidingWindow::Sums sums = window_.sums(now);
  return {limit_, suppression(sums), sums.total, sums.denied};
}

}  // namespace thymewood
