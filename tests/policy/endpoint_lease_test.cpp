// Which servers may be used while the endpoint list is stale.
#include "endpoint_lease.h"

#include <gtest/gtest.h>

#include <limits>
#include <set>

#include "balancer_harness.h"

namespace thymewood {
namespace {

constexpr double kLease = 5;

Settings leased_settings() {
  Settings s = basic_settings();
  s.tenants = {{1000.0}};
  s.endpoint_lease = kLease;
  s.endpoint_outage_lease = kLease;
  return s;
}

EndpointListFreshness stale(double as_of) { return {EndpointListFreshness::State::kStale, as_of}; }
EndpointListFreshness current() { return {EndpointListFreshness::State::kCurrent}; }
EndpointUpdate unanswered_call() { return {EndpointUpdate::Form::kFailed, {}, WatchFailure{.wait_time = 2}}; }

// An outage of discovery: each `kCallInterval` s a call to it is not answered.
class Outage {
 public:
  Outage(Replica& replica, double start) : replica_(replica), next_call_at_(start + kCallInterval) {}
  void advance_to(double now) {
    for (; next_call_at_ <= now; next_call_at_ += kCallInterval)
      replica_.handle_at(next_call_at_, unanswered_call());
  }

 private:
  static constexpr double kCallInterval = 4;  // s; less than the lease
  Replica& replica_;
  double next_call_at_;
};

// Sends one request at the time `at`. The servers in `rejecting` reject it, all others answer it. Returns the
// servers of all its attempts.
std::set<std::string> send_request(Replica& replica, double at, const std::set<std::string>& rejecting) {
  static int count = 0;
  const std::string id = "r" + std::to_string(++count);
  replica.now = at;
  std::set<std::string> servers_used;
  auto sends = actions_of_type<Send>(replica.request(id));
  for (int attempt = 0; !sends.empty(); ++attempt) {
    const std::string server = sends[0].server;
    servers_used.insert(server);
    sends = actions_of_type<Send>(replica.end_attempt(
        id, rejecting.contains(server) ? Outcome::kRejected : Outcome::kSuccess, attempt, 0.001));
  }
  return servers_used;
}

TEST(EndpointLease, HasNoEffectWithAnInfiniteDuration) {
  constexpr double kForever = std::numeric_limits<double>::infinity();
  const EndpointLease lease(kForever, kForever);
  EXPECT_TRUE(lease.is_current());
  EXPECT_TRUE(lease.is_valid(1e9, -1e9));
}

TEST(EndpointLease, RunsFromTheListOrTheLastUnansweredCall) {
  EndpointLease lease(kLease, kLease);
  lease.mark_list_current();
  EXPECT_TRUE(lease.is_valid(100, 0));
  lease.mark_list_stale(100);
  EXPECT_TRUE(lease.is_valid(104.9, 0));
  EXPECT_FALSE(lease.is_valid(105, 0));
  EXPECT_FALSE(lease.is_valid(105, 104)) << "a server that drains may continue to answer";
  EXPECT_FALSE(lease.is_list_trusted(105));
  lease.on_call_unanswered(103);
  EXPECT_TRUE(lease.is_list_trusted(107.9));
  EXPECT_FALSE(lease.is_list_trusted(108));
  EXPECT_TRUE(lease.is_valid(105, 101));
  EXPECT_FALSE(lease.is_valid(106, 101)) << "the server has answered nothing since";
  EXPECT_TRUE(lease.is_valid(107.9, 107));
  EXPECT_FALSE(lease.is_valid(108, 107));
  lease.mark_list_current();
  EXPECT_TRUE(lease.is_valid(200, 101));
}

TEST(EndpointLease, IsLongerAfterAnUnansweredCall) {
  EndpointLease lease(kLease, 2 * kLease);
  lease.mark_list_stale(100);
  lease.on_call_unanswered(101);
  EXPECT_TRUE(lease.is_valid(110.9, 101));
  EXPECT_FALSE(lease.is_valid(111, 101));
}

TEST(EndpointLease, EndsSoonerForChangesFromBeforeDiscoveryMoved) {
  EndpointLease lease(kLease, kLease);
  lease.mark_list_current();
  lease.mark_list_stale(100);
  lease.on_discovery_moved(100.5, 2);
  EXPECT_TRUE(lease.is_valid(103.4, 0));
  EXPECT_FALSE(lease.is_valid(103.5, 0));
  lease.on_call_unanswered(101);
  EXPECT_TRUE(lease.is_valid(104, 100.6)) << "accepted after the move: the lease has its full duration";
  EXPECT_FALSE(lease.is_valid(104, 100.4));
}

TEST(StaleEndpointList, ExcludesARejectingServerWhenItsLeaseEnds) {
  Replica replica(leased_settings());
  replica.handle_at(0, make_endpoint_list(4));
  replica.handle_at(0, current());
  for (int i = 0; i < 200; ++i) send_request(replica, 0.02 * i, {});
  replica.handle_at(4, stale(4));
  Outage outage(replica, 4);
  double last_used_at = 0;
  for (double t = 4; t < 60; t += 0.02) {
    outage.advance_to(t);
    if (send_request(replica, t, {"s1"}).contains("s1")) last_used_at = t;
  }
  EXPECT_GT(last_used_at, 4.5);
  EXPECT_LT(last_used_at, 4 + kLease);
  replica.handle_at(60, current());
  bool used = false;
  for (int i = 0; i < 200; ++i) used |= send_request(replica, 60 + 0.02 * i, {}).contains("s1");
  EXPECT_TRUE(used) << "all servers are usable while the list is current";
}

TEST(StaleEndpointList, KeepsUsingServersThatAnswerDuringAnOutage) {
  Replica replica(leased_settings());
  replica.handle_at(0, make_endpoint_list(4));
  replica.handle_at(0, stale(0));
  Outage outage(replica, 0);
  std::set<std::string> used_after_290_s;
  for (double t = 0; t < 300; t += 0.05) {
    outage.advance_to(t);
    const auto used = send_request(replica, t, {});
    EXPECT_EQ(used.size(), 1U) << t;
    if (t > 290) used_after_290_s.insert(used.begin(), used.end());
  }
  EXPECT_GT(used_after_290_s.size(), 1U);
}

// Guards against requests to servers that drain and still answer: without a sign that discovery was
// unavailable, a drain counts as notified, whatever the servers answer.
TEST(StaleEndpointList, EndsWithTheLeaseAlthoughServersAnswer) {
  Replica replica(leased_settings());
  replica.handle_at(0, make_endpoint_list(4));
  replica.handle_at(0, stale(0));
  constexpr double kLastCall = 4;
  double last_used_at = 0;
  for (double t = 0; t < 60; t += 0.05) {
    if (t <= kLastCall) replica.handle_at(t, unanswered_call());
    if (!send_request(replica, t, {}).empty()) last_used_at = t;
  }
  EXPECT_GT(last_used_at, kLastCall + kLease - 0.2);
  EXPECT_LT(last_used_at, kLastCall + kLease);
}

// Without a valid lease, each request may reach a server that is draining or removed. Requests are therefore
// limited to one at a time, and the servers take turns.
TEST(StaleEndpointList, TriesUnconfirmedServersOneAtATime) {
  Replica replica(leased_settings());
  replica.handle_at(0, make_endpoint_list(4));
  replica.handle_at(0, stale(0));
  replica.handle_at(99, unanswered_call());
  std::set<std::string> tried;
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    const auto used = send_request(replica, 100 + 0.01 * i, {"s0", "s1", "s2", "s3"});
    sent += static_cast<int>(used.size());
    tried.insert(used.begin(), used.end());
  }
  EXPECT_EQ(sent, 4) << "one attempt every 0.25 s for one second";
  EXPECT_EQ(tried.size(), 4U);
  EXPECT_EQ(send_request(replica, 102, {}).size(), 1U);
  EXPECT_EQ(send_request(replica, 102.01, {}).size(), 1U)
      << "the server that answered has a valid lease again";
}

}  // namespace
}  // namespace thymewood
