// Tests tenant rate limiting: suppression, quotas, and adjustment of the limit by request results.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "balancer_harness.h"

namespace thymewood {
namespace {

TEST(SuppressionFactor, MatchesTheDocumentedExamples) {
  EXPECT_NEAR(suppression_factor(10, 14, 14), 0.286, 0.0005);
  EXPECT_NEAR(suppression_factor(10, 11.67, 12), 0.167, 0.0005);
  EXPECT_NEAR(suppression_factor(10, 13.33, 15), 0.333, 0.0005);
}

TEST(SuppressionFactor, UsesTheHigherRateAndStaysInRange) {
  EXPECT_DOUBLE_EQ(suppression_factor(10, 20, 5), 0.5);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 5, 20), 0.5);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 5, 5), 0);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 0, 0), 0);
  EXPECT_DOUBLE_EQ(suppression_factor(std::numeric_limits<double>::infinity(), 5, 5), 0);
}

Settings settings_with_quota(double quota) {
  Settings s = basic_settings();
  s.tenants = {{quota}};
  return s;
}

// Sends requests at a constant rate, each completed immediately; returns how many were admitted.
int send_requests(Replica& replica, double from, double seconds, double rate, const std::string& prefix,
                  Outcome outcome = Outcome::kSuccess) {
  int admitted = 0;
  const int requests = static_cast<int>(seconds * rate);
  for (int i = 0; i < requests; ++i) {
    replica.now = from + i / rate;
    const std::string id = prefix + std::to_string(i);
    if (actions_of_type<Send>(replica.request(id)).empty()) continue;
    ++admitted;
    const auto after = replica.end_attempt(id, outcome);
    for (const Send& retry : actions_of_type<Send>(after))
      replica.end_attempt(retry.id, Outcome::kSuccess, 1);
  }
  return admitted;
}

TEST(TenantLimiter, AdmitsEveryRequestBelowTheLimit) {
  Replica replica(settings_with_quota(100));
  replica.handle_at(0, make_endpoint_list(4));
  EXPECT_EQ(send_requests(replica, 0, 10, 50, "a"), 500);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant(replica.now, 0).suppression_factor, 0);
}

TEST(TenantLimiter, DeniesInProportionAboveTheLimit) {
  Settings s = settings_with_quota(10);
  s.over_quota_weight = 0;  // keeps the limit at its initial value
  Replica replica(s);
  replica.handle_at(0, make_endpoint_list(4));
  const double limit = replica.balancer.tenant(0, 0).rate_limit;
  const int admitted = send_requests(replica, 0, 8, 4 * limit, "a");
  const TenantLimitView view = replica.balancer.tenant(replica.now, 0);
  EXPECT_GT(admitted, 0.8 * limit * 8);
  EXPECT_LT(admitted, 1.6 * limit * 8);
  EXPECT_NEAR(view.suppression_factor, 1 - view.rate_limit / (4 * limit), 0.05);
  EXPECT_GT(view.denied, 0);
}

// Server errors can occur at any load and must not lower the limit of a tenant, least of all to a part of its
// quota.
TEST(TenantLimiter, DoesNotLowerTheLimitOnServerErrors) {
  for (const Outcome outcome : {Outcome::kError, Outcome::kUnknown, Outcome::kReset}) {
    Replica replica(settings_with_quota(10));
    replica.handle_at(0, make_endpoint_list(4));
    const double limit = replica.balancer.tenant(0, 0).rate_limit;
    send_requests(replica, 0, 4, 5, "a", outcome);
    EXPECT_GE(replica.balancer.tenant(replica.now, 0).rate_limit, limit);
  }
}

TEST(TenantLimiter, NeverLowersTheLimitBelowTheQuota) {
  Replica replica(settings_with_quota(10));
  replica.handle_at(0, make_endpoint_list(4));
  send_requests(replica, 0, 20, 9, "a", Outcome::kRejected);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant(replica.now, 0).rate_limit, 10);
}

// A tenant within its quota finds capacity even if another tenant, far over its quota, uses up the rest.
TEST(TenantLimiter, KeepsCapacityForATenantWithinItsQuota) {
  Settings s = basic_settings();
  s.tenants = {{2.0}, {2.0}};
  s.over_quota_weight = 0.05;
  Replica replica(s);
  replica.handle_at(0, make_endpoint_list(6));
  replica.now = 300;  // the initial limit has decayed
  const auto sent = [&](const std::string& prefix, std::size_t tenant, int requests) {
    std::size_t sent_count = 0;
    for (int i = 0; i < requests; ++i)
      sent_count += actions_of_type<Send>(replica.request(prefix + std::to_string(i), tenant)).size();
    return sent_count;
  };
  EXPECT_GT(sent("flood", 0, 60), 8U) << "more than its quota for the window";
  EXPECT_EQ(sent("more", 0, 3), 0U) << "no capacity is left";
  EXPECT_GT(sent("within", 1, 3), 0U);
}

TEST(TenantLimiter, DeniesEveryRequestAtTheHardLimit) {
  Replica replica(settings_with_quota(10));
  replica.handle_at(0, make_endpoint_list(4));
  const double limit = replica.balancer.tenant(0, 0).rate_limit;
  const double flood = 400 * limit;
  int late_admissions = 0;
  for (int i = 0; i < static_cast<int>(flood); ++i) {
    replica.now = i / flood;
    const bool sent = !actions_of_type<Send>(replica.request("r" + std::to_string(i))).empty();
    if (i > flood * 0.9 && sent) ++late_admissions;
  }
  EXPECT_EQ(late_admissions, 0);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant(replica.now, 0).suppression_factor, 1);
}

TEST(TenantLimiter, ForgetsRequestsOlderThanTheWindow) {
  Replica replica(settings_with_quota(10));
  replica.handle_at(0, make_endpoint_list(4));
  for (int i = 0; i < 500; ++i) replica.request("r" + std::to_string(i));
  EXPECT_GT(replica.balancer.tenant(0, 0).suppression_factor, 0.5);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant(3.85, 0).total, 500);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant(4.15, 0).total, 0);
  EXPECT_DOUBLE_EQ(replica.balancer.tenant(4.15, 0).suppression_factor, 0);
}

// The suppression factor is cached for 100 ms, so a flood within that time is suppressed with the earlier
// factor.
TEST(TenantLimiter, CachesTheSuppressionFactor) {
  Settings s = settings_with_quota(100);
  s.over_quota_weight = 0;
  Replica replica(s);
  replica.handle_at(0, make_endpoint_list(4));
  const double limit = replica.balancer.tenant(0, 0).rate_limit;
  const int soft_limit = static_cast<int>(std::ceil(4 * limit));  // over the window of 4 s
  const auto send_burst = [&](double time, int requests, const std::string& prefix) {
    int admitted = 0;
    for (int i = 0; i < requests; ++i) {
      replica.now = time;
      const std::string id = prefix + std::to_string(i);
      if (actions_of_type<Send>(replica.request(id)).empty()) continue;
      ++admitted;
      replica.end_attempt(id, Outcome::kSuccess);
    }
    return admitted;
  };
  EXPECT_EQ(send_burst(0, soft_limit, "fill"), soft_limit);
  // The cached factor from the start of the flood is three quarters.
  EXPECT_NEAR(send_burst(0.01, 1000, "cached"), 250, 60);
  const double factor = replica.balancer.tenant(0.12, 0).suppression_factor;
  EXPECT_GT(factor, 0.85);
  EXPECT_NEAR(send_burst(0.12, 1000, "fresh"), 1000 * (1 - factor), 40);
}

TEST(TenantLimiter, RejectsDeniedRequestsUnsent) {
  Replica replica(settings_with_quota(10));
  replica.handle_at(0, make_endpoint_list(4));
  int rejected = 0;
  for (int i = 0; i < 900; ++i) {
    replica.now = 0.001 * i;
    const auto actions = replica.request("r" + std::to_string(i));
    EXPECT_EQ(actions_of_type<Reject>(actions).size() + actions_of_type<Send>(actions).size(), 1U);
    rejected += static_cast<int>(actions_of_type<Reject>(actions).size());
    if (!actions_of_type<Send>(actions).empty())
      replica.end_attempt("r" + std::to_string(i), Outcome::kSuccess);
  }
  EXPECT_GT(rejected, 300);
  EXPECT_EQ(replica.balancer.tenant(replica.now, 0).denied, rejected);
}

// Clients that are rejected at the same time must not retry at the same time.
TEST(TenantLimiter, SpreadsRetryAfterOverRejectedClients) {
  Replica replica(settings_with_quota(10));  // without servers, all requests are rejected
  double min_retry_after = 9, max_retry_after = 0, sum = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto rejections = actions_of_type<Reject>(replica.request("r" + std::to_string(i)));
    ASSERT_EQ(rejections.size(), 1U);
    min_retry_after = std::min(min_retry_after, rejections[0].retry_after);
    max_retry_after = std::max(max_retry_after, rejections[0].retry_after);
    sum += rejections[0].retry_after;
  }
  EXPECT_GE(min_retry_after, 0.75) << "of the 2 s that clients honor";
  EXPECT_LE(max_retry_after, 1.25);
  EXPECT_GT(max_retry_after - min_retry_after, 0.45);
  EXPECT_NEAR(sum / 1000, 1, 0.03);
  Settings s = basic_settings();
  s.max_retry_after = 0;
  Replica no_retry_after(s);
  EXPECT_EQ(actions_of_type<Reject>(no_retry_after.request("r"))[0].retry_after, 0)
      << "clients honor no Retry-After";
}

TEST(TenantLimiter, RaisesTheLimitWhileRequestsFinishInTime) {
  Replica replica(settings_with_quota(10));
  replica.handle_at(0, make_endpoint_list(4));
  const double before = replica.balancer.tenant(0, 0).rate_limit;
  send_requests(replica, 0, 10, before * 0.9, "a");
  EXPECT_GT(replica.balancer.tenant(replica.now, 0).rate_limit, before);
  EXPECT_LT(replica.balancer.tenant(replica.now, 0).rate_limit, before * 2);
}

TEST(TenantLimiter, LowersTheLimitOnOverloadDownToAMinimum) {
  Replica replica(settings_with_quota(100));
  replica.handle_at(0, make_endpoint_list(4));
  send_requests(replica, 0, 40, 120, "up");
  const double before = replica.balancer.tenant(replica.now, 0).rate_limit;
  ASSERT_GT(before, 130);
  send_requests(replica, 40, 5, before, "a", Outcome::kRejected);
  EXPECT_LT(replica.balancer.tenant(replica.now, 0).rate_limit, before);
  send_requests(replica, 45, 60, 50, "b", Outcome::kRejected);
  EXPECT_GE(replica.balancer.tenant(replica.now, 0).rate_limit, 25)
      << "a quarter of the replica's share of the quota";
}

// Requests that complete within the feedback delay were admitted under the old limit and do not reflect the
// new one.
TEST(TenantLimiter, LowersTheLimitOnlyInPartWithinASecond) {
  Replica replica(settings_with_quota(100));
  replica.handle_at(0, make_endpoint_list(4));
  const double before = replica.balancer.tenant(replica.now, 0).rate_limit;
  send_requests(replica, 0, 1, before, "a", Outcome::kRejected);
  const double after = replica.balancer.tenant(replica.now, 0).rate_limit;
  EXPECT_LT(after, before * 0.9);
  EXPECT_GT(after, before * 0.5);
}

// If all requests slow down together, lowering all tenants to the minimum limit would leave servers idle.
TEST(TenantLimiter, KeepsTheLimitOnSlowResponses) {
  Replica replica(settings_with_quota(100));
  replica.handle_at(0, make_endpoint_list(4));
  const double before = replica.balancer.tenant(0, 0).rate_limit;
  for (int i = 0; i < 500; ++i) {
    replica.now = i * 0.01;
    const std::string id = std::to_string(i);
    if (!actions_of_type<Send>(replica.request(id)).empty())
      replica.end_attempt(id, Outcome::kSuccess, 0, 1.8);
  }
  EXPECT_DOUBLE_EQ(replica.balancer.tenant(replica.now, 0).rate_limit, before);
}

}  // namespace
}  // namespace thymewood
