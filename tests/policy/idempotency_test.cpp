// Tests that no request takes effect twice.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <utility>

#include "balancer_harness.h"

namespace thymewood {
namespace {

EndpointUpdate two_cells() {
  EndpointUpdate update;
  for (int i = 0; i < 8; ++i) update.endpoints.push_back(make_endpoint(i, i % 2, i / 2));
  return update;
}

// Combines every idempotency class and scope with every failure: whether and on which servers the request is
// retried, and whether it may be rejected.
TEST(Idempotency, RestrictsRetriesByClassScopeAndOutcome) {
  const std::pair<Idempotency, DedupScope> classes[] = {{Idempotency::kIdempotent, DedupScope::kCell},
                                                        {Idempotency::kIdempotentWithKey, DedupScope::kAll},
                                                        {Idempotency::kIdempotentWithKey, DedupScope::kZone},
                                                        {Idempotency::kIdempotentWithKey, DedupScope::kCell},
                                                        {Idempotency::kNotIdempotent, DedupScope::kCell}};
  std::map<std::string, Endpoint> listed;
  for (const Endpoint& s : two_cells().endpoints) listed[s.address] = s;
  for (const auto& [idempotency, scope] : classes) {
    for (const Outcome first_outcome : kFailures) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Replica replica(basic_settings(make_request_class(idempotency, scope)), seed);
        replica.handle_at(0, two_cells());
        std::optional<Endpoint> may_have_run;
        std::string id = "r";
        auto actions = replica.request(id);
        for (int attempt = 0; attempt < 10; ++attempt) {
          const auto sends = actions_of_type<Send>(actions);
          if (sends.empty()) {
            EXPECT_EQ(final_answers(actions), 1U);
            if (!actions_of_type<Reject>(actions).empty() && may_have_run &&
                idempotency != Idempotency::kIdempotent) {
              EXPECT_TRUE(idempotency == Idempotency::kIdempotentWithKey && scope == DedupScope::kAll);
            }
            break;
          }
          ASSERT_EQ(sends.size(), 1U);
          const Endpoint& s = listed[sends[0].server];
          if (may_have_run) {
            EXPECT_NE(idempotency, Idempotency::kNotIdempotent);
            if (idempotency == Idempotency::kIdempotentWithKey && scope == DedupScope::kZone) {
              EXPECT_EQ(s.zone, may_have_run->zone);
            }
            if (idempotency == Idempotency::kIdempotentWithKey && scope == DedupScope::kCell) {
              EXPECT_EQ(s.cell, may_have_run->cell);
            }
          }
          const Outcome outcome = attempt == 0 ? first_outcome : Outcome::kConnectFailed;
          if (!may_have_run && !proves_not_run(outcome)) may_have_run = s;
          replica.now += 0.05;
          actions = replica.end_attempt(id, outcome, attempt);
          ASSERT_LT(attempt, 9);
        }
      }
    }
  }
}

TEST(Idempotency, AllowsNoRetryAfterTheDedupWindow) {
  RequestClass c = make_request_class(Idempotency::kIdempotentWithKey, DedupScope::kAll);
  c.dedup_window = 0.5;
  Replica replica(basic_settings(c));
  replica.handle_at(0, make_endpoint_list(4));
  ASSERT_EQ(actions_of_type<Send>(replica.request("r")).size(), 1U);
  replica.now = 0.6;
  EXPECT_TRUE(actions_of_type<Send>(replica.end_attempt("r", Outcome::kError)).empty());
}

}  // namespace
}  // namespace thymewood
