// Behavior with a wall clock that is wrong or stepped. Durations use the steady clock; only the start times
// of servers depend on the wall clock.
#include <ctime>

#include "fault_plan.h"
#include "machine.h"
#include "scripted_discovery.h"
#include "start_times.h"

namespace thymewood::node {
namespace {

constexpr std::int64_t kHourMs = 3600 * 1000, kNowMs = 1'800'000'000'000;  // in ms; kNowMs is Unix time

TEST(StartTimes, UseTheWallClockByDefault) {
  StartTimes start_times;
  EXPECT_EQ(start_times.started_at("a", 0, {10, kNowMs}), 0) << "0 means long ago";
  EXPECT_DOUBLE_EQ(start_times.started_at("b", kNowMs - 3000, {10, kNowMs}), 7);
}

TEST(StartTimes, FutureStartCountsAsNow) {
  StartTimes start_times;
  EXPECT_DOUBLE_EQ(start_times.started_at("a", kNowMs + kHourMs, {10, kNowMs}), 10);
}

// A wall clock that is one hour ahead must not make a newly started server appear warmed up.
TEST(StartTimes, StartMissingFromACurrentListIsRecent) {
  StartTimes start_times;
  start_times.set_list_current_until(99);
  EXPECT_DOUBLE_EQ(start_times.started_at("a", kNowMs - kHourMs, {100, kNowMs}), 100)
      << "contradicts the list, so the wall clock is wrong";
  EXPECT_DOUBLE_EQ(start_times.started_at("b", kNowMs - 2000, {100, kNowMs}), 98)
      << "consistent with the list";
}

TEST(StartTimes, DoNotChangeWhenTheWallClockIsStepped) {
  StartTimes start_times;
  const double first = start_times.started_at("a", kNowMs - 3000, {10, kNowMs});
  EXPECT_EQ(start_times.started_at("a", kNowMs - 3000, {20, kNowMs + kHourMs}), first);
  EXPECT_EQ(start_times.started_at("a", kNowMs - 3000, {30, kNowMs - kHourMs}), first);
  EXPECT_NE(start_times.started_at("a", kNowMs + 15000, {30, kNowMs + 20000}), first)
      << "a different start time is a restart";
}

TEST(StartTimes, FollowTheClockOfDiscovery) {
  StartTimes start_times;
  start_times.set_discovery_time({10, kNowMs + kHourMs}, kNowMs);
  EXPECT_NEAR(start_times.started_at("a", kNowMs - 3000, {10, kNowMs + kHourMs}), 7, 1);
  StartTimes within_resolution;
  within_resolution.set_discovery_time({10, kNowMs}, kNowMs - 900);
  EXPECT_DOUBLE_EQ(within_resolution.started_at("a", kNowMs - 3000, {10, kNowMs}), 7)
      << "within the field's resolution";
}

TEST(StartTimes, AreRetainedForARemovedServerThatReturns) {
  StartTimes start_times;
  const double first = start_times.started_at("a", kNowMs - 3000, {10, kNowMs});
  start_times.on_removed("a", 20);
  start_times.set_list_current_until(99);
  EXPECT_EQ(start_times.started_at("a", kNowMs - 3000, {100, kNowMs + 90000}), first);
}

TEST(HttpDate, IsParsedInItsPreferredFormOnly) {
  EXPECT_EQ(parse_http_date("Sun, 06 Nov 1994 08:49:37 GMT"), 784111777000);
  EXPECT_FALSE(parse_http_date("Sunday, 06-Nov-94 08:49:37 GMT"));
  EXPECT_FALSE(parse_http_date(""));
}

// A node whose wall clock has an offset of GetParam() seconds from startup.
class WrongWallClock : public testing::TestWithParam<int> {
 protected:
  WrongWallClock() : faults_(testing::TempDir() + "/wall_" + std::to_string(::getpid()) + ".faults") {
    for (const std::string& variable : faults_.environment(FLEET_SHIM)) {
      const std::size_t at = variable.find('=');
      ::setenv(("CHILD_" + variable.substr(0, at)).c_str(), variable.substr(at + 1).c_str(), 1);
    }
    step(GetParam());
  }
  static void set_child_environment() {
    for (const char* name : {"LD_PRELOAD", "FLEET_FAULTS", "ASAN_OPTIONS"}) {
      if (const char* value = std::getenv((std::string("CHILD_") + name).c_str())) ::setenv(name, value, 1);
    }
  }
  void step(int seconds) {
    faults_.plan().clock_shift_ns = static_cast<std::int64_t>(seconds) * 1'000'000'000;
  }
  fleet::FaultPlanFile faults_;
};

std::string endpoint_started_now(const std::string& name, const std::string& address) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  std::string endpoint = endpoint_json(name, address);
  return endpoint.replace(endpoint.find("\"since_ms\":0"), 12, "\"since_ms\":" + std::to_string(now));
}

// A newly started server gets few requests at first, whatever the offset of the node's wall clock.
TEST_P(WrongWallClock, LeavesANewServerWarmingUp) {
  FakeServer warmed_up(respond_with(200, "ok")), warming_up(respond_with(200, "ok"));
  NodeConfig text;
  text.rules = R"("askWithin":10.0,"startCapacity":0.1,"rampTime":60.0)";
  Deployment d({&warmed_up}, text, 0, set_child_environment);
  int requests = 0;
  const auto status = [&] {
    RawConnection client = d.client();
    client.write(ClientRequest{
        .request_class = "look", .id = "c" + std::to_string(++requests), .method = "GET", .body = ""}
                     .text());
    return status_of(client.read_message());
  };
  for (int i = 0; i < 50; ++i) ASSERT_EQ(status(), 200);
  d.discovery.push(endpoint_list_json(8, false, endpoint_started_now("s1", warming_up.address())));
  ASSERT_TRUE(eventually([&] { return status() == 200 && d.program->count_in_log("list_received") > 0; }));
  // The last request above may have been the first one to the new server.
  const auto all_requests = [&] { return warmed_up.requests().size() + warming_up.requests().size(); };
  const std::size_t before = all_requests();
  for (int i = 0; i < 200; ++i) EXPECT_EQ(status(), 200);
  EXPECT_EQ(all_requests() - before, 200U);
  EXPECT_LE(warming_up.requests().size(), 10U) << "limited by slow start";
}

// Request deadlines and the graceful shutdown must not depend on steps of the wall clock.
TEST_P(WrongWallClock, DoesNotAffectDurations) {
  step(0);
  FakeServer hanging_server([](RawConnection&, const std::string&) { return true; });
  Deployment d({&hanging_server}, {}, 0, set_child_environment);
  RawConnection client = d.client();
  client.write(ClientRequest{.id = "waits", .timeout = "1500"}.text());
  ASSERT_TRUE(eventually([&] { return hanging_server.requests().size() == 1; }));
  const auto start = SteadyClock::now();
  step(GetParam());
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_GT(seconds_since(start), 1.0);
  EXPECT_LT(seconds_since(start), 3.0);
  step(-GetParam());
  const auto end = SteadyClock::now();
  d.program->signal(SIGTERM);
  EXPECT_EQ(d.program->exit_status(), 0);
  EXPECT_LT(seconds_since(end), 4.5);
}

INSTANTIATE_TEST_SUITE_P(Steps, WrongWallClock, testing::Values(-3600, -5, 5, 3600),
                         [](const testing::TestParamInfo<int>& info) {
                           return (info.param < 0 ? "Behind" : "Ahead") +
                                  std::to_string(std::abs(info.param));
                         });

}  // namespace
}  // namespace thymewood::node
