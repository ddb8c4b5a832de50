// Event handlers of the Balancer: one final answer per request, early rejection, and the watch on discovery.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

#include "balancer_harness.h"

namespace thymewood {
namespace {

TEST(Balancer, GivesTheSameActionsForTheSameSeedAndEvents) {
  const auto run = [] {
    Replica replica(basic_settings(), 99);
    replica.handle_at(5, make_endpoint_list(12));
    std::string out;
    for (int i = 0; i < 200; ++i) {
      for (const Send& send : actions_of_type<Send>(replica.request(std::to_string(i))))
        out += send.server + " ";
    }
    return out;
  };
  EXPECT_EQ(run(), run());
}

TEST(Balancer, IgnoresARequestWhoseIdIsPending) {
  Replica replica(basic_settings());
  replica.handle_at(0, make_endpoint_list(2));
  ASSERT_EQ(actions_of_type<Send>(replica.request("r")).size(), 1U);
  EXPECT_TRUE(replica.request("r").empty());
  EXPECT_TRUE(replica.end_attempt("r", Outcome::kSuccess).empty());
}

TEST(Balancer, ToleratesNumbersOutOfRange) {
  Replica replica(basic_settings());
  replica.handle_at(0, make_endpoint_list(2));
  EXPECT_EQ(actions_of_type<Send>(replica.request("a", 77, 88)).size(), 1U);
  EXPECT_TRUE(replica.end_attempt("a", Outcome::kSuccess, 9).empty());
  EXPECT_TRUE(replica.end_attempt("a", Outcome::kSuccess, -1).empty());
  EXPECT_TRUE(replica.end_attempt("never", Outcome::kSuccess).empty());
  EXPECT_TRUE(replica.handle_at(0, TimerFired{12345}).empty());
  EXPECT_TRUE(replica.handle_at(0, RequestAbandoned{"never"}).empty());
  EXPECT_GE(replica.balancer.tenant(0, 1234).rate_limit, 0);
}

// Covers both orders of an attempt's outcome and the client's disconnect.
TEST(FinalAnswer, IsGivenOnceInEveryOrderOfEvents) {
  for (const Outcome outcome : kFailures) {
    for (const bool abandoned_first : {false, true}) {
      Settings s = basic_settings(make_request_class(Idempotency::kNotIdempotent));
      s.max_attempts = 1;
      Replica replica(s);
      replica.handle_at(0, make_endpoint_list(3));
      ASSERT_EQ(actions_of_type<Send>(replica.request("r")).size(), 1U);
      replica.now = 1;
      std::vector<Action> after;
      if (abandoned_first) {
        after = replica.handle_at(1, RequestAbandoned{"r"});
        EXPECT_EQ(final_answers(after), 0U);
        EXPECT_EQ(actions_of_type<Cancel>(after).size(), 1U);
        after = replica.end_attempt("r", outcome);
        EXPECT_EQ(final_answers(after), 0U);
      } else {
        after = replica.end_attempt("r", outcome);
        EXPECT_EQ(final_answers(after), 1U);
        EXPECT_TRUE(replica.handle_at(1, RequestAbandoned{"r"}).empty());
      }
      EXPECT_TRUE(actions_of_type<Send>(after).empty());
      EXPECT_TRUE(replica.end_attempt("r", outcome).empty()) << "a repeated outcome must have no effect";
    }
  }
}

TEST(FinalAnswer, IsNotNeededAfterASuccess) {
  Replica replica(basic_settings());
  replica.handle_at(0, make_endpoint_list(3));
  replica.request("r");
  EXPECT_TRUE(replica.end_attempt("r", Outcome::kSuccess).empty());
  EXPECT_TRUE(replica.handle_at(0, RequestAbandoned{"r"}).empty());
}

TEST(FinalAnswer, ComesBeforeTheClientTimeout) {
  RequestClass c = make_request_class(Idempotency::kNotIdempotent);
  c.late_value = 0.5;
  Replica replica(basic_settings(c));
  replica.handle_at(0, make_endpoint_list(3));
  Request r;
  r.id = "r";
  r.time_left = 0.7;
  const auto sends = actions_of_type<Send>(replica.handle_at(0, r));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_LE(sends[0].timeout, 0.7);
  EXPECT_GT(sends[0].timeout, 0);
}

TEST(FinalAnswer, IsARejectionWithoutServers) {
  Replica without_endpoints(basic_settings());
  EXPECT_EQ(actions_of_type<Reject>(without_endpoints.request("a")).size(), 1U);
  Replica draining(basic_settings());
  EndpointUpdate update = make_endpoint_list(3);
  for (Endpoint& endpoint : update.endpoints) endpoint.state = EndpointState::kDraining;
  draining.handle_at(0, update);
  EXPECT_EQ(actions_of_type<Reject>(draining.request("a")).size(), 1U);
}

// Clients whose timeout may be shorter than the usual latency. Such requests are rejected immediately, so
// that the client can retry them.
struct ShortTimeoutClients {
  explicit ShortTimeoutClients(int tier = 0, Idempotency idempotency = Idempotency::kNotIdempotent) {
    Settings s = settings_with_ample_quota();
    s.classes = {make_request_class(idempotency)};
    s.tier = tier;
    replica.emplace(s);
    replica->handle_at(0, make_endpoint_list(4));
  }
  // Makes `requests` requests and returns how many of them were sent to a server.
  int count_sent(double time_left, int requests = 100) {
    int out = 0;
    for (int i = 0; i < requests; ++i) {
      Request r;
      r.id = "h" + std::to_string(++request_count);
      r.time_left = time_left;
      const auto actions = replica->handle_at(replica->now + 0.02, r);
      out += static_cast<int>(actions_of_type<Send>(actions).size());
      EXPECT_EQ(actions_of_type<Send>(actions).size() + actions_of_type<Reject>(actions).size(), 1U);
      if (!actions_of_type<Send>(actions).empty()) replica->end_attempt(r.id, Outcome::kSuccess);
    }
    return out;
  }
  std::optional<Replica> replica;
  int request_count = 0;
};

TEST(TooLittleTime, IsRejectedOnceTheLatencyIsLearned) {
  ShortTimeoutClients clients;
  EXPECT_EQ(clients.count_sent(0.05, 19), 19) << "no latency has been learned yet";
  for (int i = 0; i < 5; ++i) clients.count_sent(6);  // responses take 0.1 s
  EXPECT_LT(clients.count_sent(0.05), 15);
  EXPECT_EQ(clients.count_sent(0.2), 100);
}

// Otherwise a latency that was learned under load would never be corrected, and these clients would always be
// rejected.
TEST(TooLittleTime, StillSendsASample) {
  ShortTimeoutClients clients;
  for (int i = 0; i < 5; ++i) clients.count_sent(6);
  int sent = 0;
  for (int i = 0; i < 10; ++i) sent += clients.count_sent(0.05);
  EXPECT_GT(sent, 20);
}

TEST(TooLittleTime, IsSentPastTheFirstTier) {
  ShortTimeoutClients clients(1);
  for (int i = 0; i < 5; ++i) clients.count_sent(6);
  EXPECT_EQ(clients.count_sent(0.05), 100);
}

TEST(Watch, IsOpenedAtTheStartAndAgainAfterFailures) {
  Settings s = basic_settings();
  s.uses_watch = true;
  s.poll_interval = 10;
  Replica replica(s);
  EXPECT_EQ(actions_of_type<WatchEndpoints>(replica.handle_at(0, Started{})).size(), 1U);
  EndpointUpdate failed;
  failed.form = EndpointUpdate::Form::kFailed;
  double now = 0;
  for (int i = 0; i < 12; ++i) {
    const auto timers = actions_of_type<SetTimer>(replica.handle_at(now, failed));
    ASSERT_EQ(timers.size(), 1U);
    EXPECT_GT(timers[0].at, now);
    EXPECT_LE(timers[0].at, now + 5) << "within the poll interval, after which changes count as notified";
    now = timers[0].at;
    EXPECT_EQ(actions_of_type<WatchEndpoints>(replica.handle_at(now, TimerFired{timers[0].token})).size(),
              1U);
  }
}

TEST(Watch, IsNotOpenedWithoutTheSetting) {
  Replica replica(basic_settings());
  EXPECT_TRUE(replica.handle_at(0, Started{}).empty());
  EndpointUpdate failed;
  failed.form = EndpointUpdate::Form::kFailed;
  EXPECT_TRUE(replica.handle_at(0, failed).empty());
}

}  // namespace
}  // namespace thymewood
