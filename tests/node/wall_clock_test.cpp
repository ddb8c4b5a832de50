// A wall clock that is wrong or stepped. Durations follow the steady clock; only the start times of servers
// depend on the wall clock.
#include <ctime>

#include "fault_plan.h"
#include "machine.h"
#include "scripted_discovery.h"
#include "start_times.h"

namespace thymewood::node {
namespace {

constexpr std::int64_t kHour = 3600 * 1000, kNow = 1'800'000'000'000;  // ms of Unix time

TEST(StartTimes, UseTheWallClockByDefault) {
  StartTimes start_times;
  EXPECT_EQ(start_times.started_at("a", 0, {10, kNow}), 0) << "long ago";
  EXPECT_DOUBLE_EQ(start_times.started_at("b", kNow - 3000, {10, kNow}), 7);
}

TEST(StartTimes, FutureStartCountsAsNow) {
  StartTimes start_times;
  EXPECT_DOUBLE_EQ(start_times.started_at("a", kNow + kHour, {10, kNow}), 10);
}

// A wall clock that is an hour ahead must not make a server that has just started count as warmed up.
TEST(StartTimes, StartMissingFromACurrentListIsRecent) {
  StartTimes start_times;
  start_times.set_list_current_until(99);
  EXPECT_DOUBLE_EQ(start_times.started_at("a", kNow - kHour, {100, kNow}), 100) << "the wall clock is wrong";
  EXPECT_DOUBLE_EQ(start_times.started_at("b", kNow - 2000, {100, kNow}), 98) << "it may be right";
}

TEST(StartTimes, DoNotChangeWhenTheWallClockIsStepped) {
  StartTimes start_times;
  const double first = start_times.started_at("a", kNow - 3000, {10, kNow});
  EXPECT_EQ(start_times.started_at("a", kNow - 3000, {20, kNow + kHour}), first);
  EXPECT_EQ(start_times.started_at("a", kNow - 3000, {30, kNow - kHour}), first);
  EXPECT_NE(start_times.started_at("a", kNow + 15000, {30, kNow + 20000}), first) << "another start";
}

TEST(StartTimes, FollowTheClockOfDiscovery) {
  StartTimes start_times;
  start_times.set_discovery_time({10, kNow + kHour}, kNow);
  EXPECT_NEAR(start_times.started_at("a", kNow - 3000, {10, kNow + kHour}), 7, 1);
  StartTimes close;
  close.set_discovery_time({10, kNow}, kNow - 900);
  EXPECT_DOUBLE_EQ(close.started_at("a", kNow - 3000, {10, kNow}), 7) << "within the field's resolution";
}

TEST(StartTimes, AreRetainedForARemovedServerThatReturns) {
  StartTimes start_times;
  const double first = start_times.started_at("a", kNow - 3000, {10, kNow});
  start_times.on_removed("a", 20);
  start_times.set_list_current_until(99);
  EXPECT_EQ(start_times.started_at("a", kNow - 3000, {100, kNow + 90000}), first);
}

TEST(HttpDate, IsParsedInItsPreferredFormOnly) {
  EXPECT_EQ(parse_http_date("Sun, 06 Nov 1994 08:49:37 GMT"), 784111777000);
  EXPECT_FALSE(parse_http_date("Sunday, 06-Nov-94 08:49:37 GMT"));
  EXPECT_FALSE(parse_http_date(""));
}

// A node whose wall clock is off by GetParam() seconds from its start.
class WrongWallClock : public testing::TestWithParam<int> {
 protected:
  WrongWallClock() : faults_(testing::TempDir() + "/wall_" + std::to_string(::getpid()) + ".faults") {
    for (const std::string& variable : faults_.environment(FLEET_SHIM)) {
      const std::size_t at = variable.find('=');
      ::setenv(("CHILD_" + variable.substr(0, at)).c_str(), variable.substr(at + 1).c_str(), 1);
    }
    step(GetParam());
  }
  static void in_child() {
    for (const char* name : {"LD_PRELOAD", "FLEET_FAULTS", "ASAN_OPTIONS"}) {
      if (const char* value = std::getenv((std::string("CHILD_") + name).c_str())) ::setenv(name, value, 1);
    }
  }
  void step(int seconds) {
    faults_.plan().clock_shift_ns = static_cast<std::int64_t>(seconds) * 1'000'000'000;
  }
  fleet::FaultsFile faults_;
};

std::string endpoint_started_now(const std::string& name, const std::string& address) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  std::string out = endpoint_json(name, address);
  return out.replace(out.find("\"since_ms\":0"), 12, "\"since_ms\":" + std::to_string(now));
}

// A server that has just started gets few requests at first, whatever the node's wall clock reads.
TEST_P(WrongWallClock, LeavesANewServerWarmingUp) {
  FakeServer warmed_up(replies(200, "ok")), warming_up(replies(200, "ok"));
  ConfigText text;
  text.rules = R"("askWithin":10.0,"startCapacity":0.1,"rampTime":60.0)";
  Deployment d({&warmed_up}, text, 0, in_child);
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
  ASSERT_TRUE(eventually([&] { return status() == 200 && d.program->logged("list_received") > 0; }));
  const std::size_t before = warmed_up.requests().size();
  for (int i = 0; i < 200; ++i) EXPECT_EQ(status(), 200);
  const std::size_t to_warmed_up = warmed_up.requests().size() - before;
  EXPECT_EQ(warming_up.requests().size() + to_warmed_up, 200U);
  EXPECT_LE(warming_up.requests().size(), 10U) << "it is warming up";
}

// Deadlines and the graceful shutdown, over a step of the wall clock.
TEST_P(WrongWallClock, DoesNotAffectDurations) {
  step(0);
  FakeServer hangs([](RawConnection&, const std::string&) { return true; });
  Deployment d({&hangs}, {}, 0, in_child);
  RawConnection client = d.client();
  client.write(ClientRequest{.id = "waits", .timeout = "1500"}.text());
  ASSERT_TRUE(eventually([&] { return hangs.requests().size() == 1; }));
  const auto start = Steady::now();
  step(GetParam());
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_GT(seconds_since(start), 1.0);
  EXPECT_LT(seconds_since(start), 3.0);
  step(-GetParam());
  const auto end = Steady::now();
  d.program->signal(SIGTERM);
  EXPECT_EQ(d.program->exit_status(), 0);
  EXPECT_LT(seconds_since(end), 4.5);
}

INSTANTIATE_TEST_SUITE_P(Steps, WrongWallClock, testing::Values(-3600, -5, 5, 3600),
                         [](const testing::TestParamInfo<int>& info) {
                           return (info.param < 0 ? "Back" : "On") + std::to_string(std::abs(info.param));
                         });

}  // namespace
}  // namespace thymewood::node
