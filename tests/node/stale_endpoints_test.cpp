// A node whose list nothing confirms: discovery is down, or so busy that it answers nobody.
//
// In a fleet of 375 nodes discovery was down for 8 s while a release replaced the servers, and seven in ten
// of the first tier's nodes were restarted. When discovery was back it worked through some 50 calls a second.
// All nodes asked again after pauses of at most a few seconds, more calls came than it could work through,
// and those that waited for over 2 s were turned away after their work had been queued; from then on no call
// of any node succeeded:
//
//     14.559 event=watch_started index=0
//     16.583 event=watch_ended reason=status_503 age=2.001 answered=false
//     16.913 event=watch_started index=0
//     18.913 event=watch_ended reason=status_503 age=2.000 answered=false
//
// The node went on by the list that it had from before the outage, without a bound. Servers that had begun to
// drain at 16.87 refused its requests, and it kept sending them more, past the 6 s after which a change
// counts as notified and the second of grace (22.87 and 23.87):
//
//     23.492 event=attempt_started attempt=0 server=s-23774310
//     23.938 event=attempt_started attempt=0 server=s-23774310
//     23.939 event=attempt_ended attempt=0 outcome=rejected elapsed=0.001
#include "scripted_discovery.h"

namespace thymewood::node {
namespace {

constexpr double kNotified = 6;  // s; a change counts as notified so long after discovery had it
constexpr double kGrace = 1;     // s; for requests to a server that drains
constexpr double kSlack = 0.05;  // s; that the protocol allows beside a limit

// One request; its status.
int ask(int port, const std::string& id) {
  Wire client = Wire::to(port);
  client.write(Ask{.kind = "look", .id = id, .method = "GET", .body = ""}.text());
  return status_of(client.read_message());
}

// Discovery that gives the list once, and is crowded after end(): calls are held and turned away.
class CrowdedDiscovery {
 public:
  explicit CrowdedDiscovery(std::chrono::milliseconds held)
      : script_([this, held](Wire& wire, int call) {
          if (call == 0) {
            wire.write(kHead + chunk("\n"));
            while (!crowded_ && !over_ && wire.write(chunk("\n"))) std::this_thread::sleep_for(100ms);
            return;
          }
          for (const auto until = Steady::now() + held; !over_ && Steady::now() < until;)
            std::this_thread::sleep_for(10ms);
          wire.write(http_answer(503, ""));
        }) {}
  ~CrowdedDiscovery() { over_ = true; }
  void become_crowded() { crowded_ = true; }
  ScriptedDiscovery& script() { return script_; }

 private:
  std::atomic<bool> crowded_ = false, over_ = false;
  ScriptedDiscovery script_;
};

TEST(StaleList, ADrainingServerGetsNothingOnceItsDrainCountsAsNotified) {
  std::atomic<bool> draining = false;
  std::mutex mutex;
  std::vector<Steady::time_point> refused;  // requests that the draining server got
  FakeServer leaving([&](Wire& wire, const std::string&) {
    if (!draining) return wire.write(http_answer(200, "ok"));
    {
      const std::lock_guard lock(mutex);
      refused.push_back(Steady::now());
    }
    return wire.write(http_answer(503, "", "X-Not-Processed: 1\r\n"));
  });
  FakeServer staying(replies(200, "ok"));
  CrowdedDiscovery discovery(2s);
  Node node(discovery.script(),
            list(7, true, member("s0", leaving.address()) + "," + member("s1", staying.address())));
  int asked = 0, served = 0;
  const auto ask_until = [&](Steady::time_point until) {
    while (Steady::now() < until) {
      const std::string id = "r" + std::to_string(++asked);
      served += ask(node.program->port(), id) == 200 ? 1 : 0;
      std::this_thread::sleep_for(20ms);
    }
  };
  ask_until(Steady::now() + 500ms);
  ASSERT_GT(leaving.requests().size(), 0U);
  discovery.become_crowded();
  draining = true;
  const auto began = Steady::now();
  ask_until(began + 9s);
  const std::lock_guard lock(mutex);
  ASSERT_FALSE(refused.empty());
  EXPECT_LT(std::chrono::duration<double>(refused.back() - began).count(), kNotified + kGrace + kSlack);
  EXPECT_GT(served, asked * 9 / 10) << "the other server stays in use, of " << asked;
}

// Twenty nodes, and a discovery that needs 6 s for one call of each. It is down for 5 s, so that the calls
// come spread, and a third of the nodes are started anew while it is still busy with the others.
TEST(StaleList, AFleetGetsItsListsFromACrowdedDiscovery) {
  constexpr int kNodes = 20, kRestarted = 7;
  FakeServer server(replies(200, "ok"));
  QueueingDiscovery discovery(300ms, 2000ms);
  const std::string known = list(7, true, member("s0", server.address()));
  const auto start_node = [&](int number) {
    ConfigText text;
    text.known = known;
    text.discovery = discovery.address();
    text.position = number;
    text.total = kNodes;
    text.seed = std::to_string(number + 1);
    return std::make_unique<Program>(text.text());
  };
  std::vector<std::unique_ptr<Program>> nodes;
  for (int i = 0; i < kNodes; ++i) nodes.push_back(start_node(i));
  ASSERT_TRUE(eventually([&] { return discovery.watches() == kNodes; }));
  discovery.go_down();
  std::this_thread::sleep_for(5s);
  discovery.come_up(list(8, true, member("s0", server.address())));
  const auto back = Steady::now();
  std::this_thread::sleep_for(2500ms);
  for (int i = 0; i < kRestarted; ++i) nodes[static_cast<std::size_t>(i)]->kill();
  for (int i = 0; i < kRestarted; ++i) nodes[static_cast<std::size_t>(i)] = start_node(i);
  EXPECT_TRUE(eventually([&] { return discovery.watches() == kNodes; }))
      << discovery.watches() << " of " << kNodes << " nodes hold the list; " << discovery.turned_away()
      << " calls were turned away";
  EXPECT_LT(seconds_since(back), 18);
  EXPECT_LT(discovery.turned_away(), kNodes);
}

// Discovery that turns calls away at once is asked again at once: two more of them cost less than the 6 s.
TEST(StaleList, IsRenewedInTimeWhereCallsAreTurnedAwayAtOnce) {
  FakeServer server(replies(200, "ok"));
  std::atomic<bool> down = true;
  std::atomic<int> since_up = 0;
  ScriptedDiscovery discovery([&](Wire& wire, int) {
    if (down || ++since_up <= 2) {
      wire.write(http_answer(503, ""));
      return;
    }
    wire.write(kHead + chunk("\n"));
    wire.read_rest();
  });
  Node node(discovery, list(7, true, member("s0", server.address())));
  std::this_thread::sleep_for(8s);
  down = false;
  const auto back = Steady::now();
  ASSERT_TRUE(eventually([&] { return since_up == 3; }));
  EXPECT_LT(seconds_since(back), kNotified);
}

// A list that nothing confirms is no reason to refuse: servers that answer are used on, for any time.
TEST(StaleList, ServersThatAnswerAreUsedThroughALongOutage) {
  FakeServer one(replies(200, "ok")), two(replies(200, "ok"));
  CrowdedDiscovery discovery(1s);
  Node node(discovery.script(),
            list(7, true, member("s0", one.address()) + "," + member("s1", two.address())));
  ASSERT_EQ(node.status(), 200);
  discovery.become_crowded();
  int asked = 0, served = 0;
  for (const auto until = Steady::now() + 12s; Steady::now() < until; std::this_thread::sleep_for(100ms))
    served += ask(node.program->port(), "u" + std::to_string(++asked)) == 200 ? 1 : 0;
  EXPECT_EQ(served, asked);
}

// Nor does a quiet time end the service: a server is tried, and its answer confirms it.
TEST(StaleList, AQuietNodeServesAgainInALongOutage) {
  FakeServer server(replies(200, "ok"));
  CrowdedDiscovery discovery(1s);
  Node node(discovery.script(), list(7, true, member("s0", server.address())));
  ASSERT_EQ(node.status(), 200);
  discovery.become_crowded();
  std::this_thread::sleep_for(9s);
  EXPECT_EQ(node.status(), 200);
}

}  // namespace
}  // namespace thymewood::node
