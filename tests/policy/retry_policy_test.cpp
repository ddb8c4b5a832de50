// The retry budget, the failures that do not consume it, and attempt timeouts.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "balancer_harness.h"

namespace thymewood {
namespace {

TEST(RetryPolicy, LimitsRetriesByABudget) {
  Replica replica(basic_settings());
  replica.handle_at(0, make_endpoint_list(4));
  int first_attempts = 0;
  int retries = 0;
  for (int i = 0; i < 300; ++i) {
    replica.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto sends = actions_of_type<Send>(replica.request(id));
    first_attempts += static_cast<int>(sends.size());
    for (int attempt = 0; !sends.empty(); ++attempt) {
      sends = actions_of_type<Send>(replica.end_attempt(id, Outcome::kError, attempt));
      retries += static_cast<int>(sends.size());
    }
  }
  EXPECT_GT(retries, 0);
  EXPECT_LT(retries, first_attempts / 4 + 10);
}

// A connection that was refused, or closed while idle, has cost no server any work. An error has, and so has
// a reset or connection failure that was not immediate.
TEST(RetryPolicy, RetriesImmediateFailuresWithoutBudget) {
  struct Case {
    Outcome outcome;
    double elapsed;
    bool is_free;
  };
  for (const Case& c : {Case{Outcome::kConnectFailed, 0.001, true}, Case{Outcome::kReset, 0.001, true},
                        Case{Outcome::kReset, 0.1, false}, Case{Outcome::kConnectFailed, 0.25, false},
                        Case{Outcome::kError, 0.001, false}}) {
    Replica replica(settings_with_ample_quota());
    replica.handle_at(0, make_endpoint_list(4));
    int retries = 0;
    for (int i = 0; i < 100; ++i) {
      replica.now = i * 0.02;
      const std::string id = std::to_string(i);
      ASSERT_EQ(actions_of_type<Send>(replica.request(id)).size(), 1U);
      const auto retry = actions_of_type<Send>(replica.end_attempt(id, c.outcome, 0, c.elapsed));
      retries += static_cast<int>(retry.size());
      if (!retry.empty()) replica.end_attempt(id, Outcome::kSuccess, 1);
    }
    if (c.is_free) {
      EXPECT_EQ(retries, 100);
    } else {
      EXPECT_LT(retries, 15);
    }
  }
}

// Free retries are still limited by max_attempts, and a request that is not idempotent is not retried after a
// reset, even an immediate one.
TEST(RetryPolicy, LimitsFreeRetriesByMaxAttemptsAndIdempotency) {
  Replica replica(settings_with_ample_quota());
  replica.handle_at(0, make_endpoint_list(4));
  int attempts_sent = static_cast<int>(actions_of_type<Send>(replica.request("r")).size());
  for (int attempt = 0; attempt < 20; ++attempt)
    attempts_sent += static_cast<int>(
        actions_of_type<Send>(replica.end_attempt("r", Outcome::kConnectFailed, attempt, 0.001)).size());
  EXPECT_EQ(attempts_sent, 4) << "max_attempts";
  Replica rejecting(settings_with_ample_quota());
  rejecting.handle_at(0, make_endpoint_list(8));
  EXPECT_EQ(run_attempts(rejecting, "r", [](const std::string&) { return Outcome::kRejected; }).size(), 4U)
      << "max_attempts";
  Settings s = settings_with_ample_quota();
  s.classes = {make_request_class(Idempotency::kNotIdempotent)};
  Replica not_idempotent(s);
  not_idempotent.handle_at(0, make_endpoint_list(4));
  ASSERT_EQ(actions_of_type<Send>(not_idempotent.request("u")).size(), 1U);
  EXPECT_EQ(actions_of_type<Fail>(not_idempotent.end_attempt("u", Outcome::kReset, 0, 0.001)).size(), 1U);
}

TEST(RetryPolicy, SendsARetryToAnotherServer) {
  Replica replica(basic_settings());
  replica.handle_at(0, make_endpoint_list(3));
  const auto first = actions_of_type<Send>(replica.request("r"));
  const auto second = actions_of_type<Send>(replica.end_attempt("r", Outcome::kReset));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(first[0].server, second[0].server);
}

TEST(RetryPolicy, SendsNoMoreThanMaxAttempts) {
  Settings s = basic_settings();
  s.max_attempts = 3;
  Replica replica(s);
  replica.handle_at(0, make_endpoint_list(8));
  auto actions = replica.request("r");
  int sends = 0;
  while (!actions_of_type<Send>(actions).empty())
    actions = replica.end_attempt("r", Outcome::kRejected, sends++);
  EXPECT_LE(sends, 3);
  EXPECT_EQ(final_answers(actions), 1U);
}

TEST(AttemptTimeout, FollowsTheObservedLatency) {
  Replica replica(basic_settings());
  replica.handle_at(0, make_endpoint_list(4));
  const double before = actions_of_type<Send>(replica.request("first"))[0].timeout;
  for (int i = 0; i < 100; ++i) {
    replica.now = i * 0.1;
    replica.request(std::to_string(i));
    replica.end_attempt(std::to_string(i), Outcome::kSuccess, 0, 0.05);
  }
  const double after = actions_of_type<Send>(replica.request("last"))[0].timeout;
  EXPECT_LT(after, before / 2);
  EXPECT_GT(after, 0.05);
}

}  // namespace
}  // namespace thymewood
