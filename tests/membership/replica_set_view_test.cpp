// A node's view of the replica set: rank, counts and connectivity.
#include <gtest/gtest.h>

#include <algorithm>

#include "simulated_network.h"

namespace thymewood::membership {
namespace {

TEST(ReplicaSetView, IsCompleteAndRankedByIdWhereAllNodesAreLive) {
  SimulatedNetwork net(7, 1);
  net.start_all();
  net.run(40);
  for (int i = 0; i < 7; ++i) {
    EXPECT_EQ(net.view(i).connectivity, Connectivity::kComplete);
    EXPECT_EQ(net.view(i).rank, i);
    EXPECT_EQ(net.view(i).live_count, 7);
    EXPECT_EQ(net.view(i).max_count, 7);
    EXPECT_EQ(net.view(i).reachable_by_zone, (std::map<int, int>{{0, 3}, {1, 2}, {2, 2}}));
    EXPECT_EQ(net.node(i).rank_changes, 0) << "as configured from the start";
  }
}

TEST(ReplicaSetView, IsAsConfiguredUntilAPeerAnswers) {
  SimulatedNetwork net(9, 1);
  net.start(4);
  net.run(300);
  EXPECT_EQ(net.view(4).connectivity, Connectivity::kPartitioned);
  EXPECT_EQ(net.view(4).reachable_count, 1);
  EXPECT_EQ(net.node(4).best_connectivity, Connectivity::kPartitioned) << "over the whole run";
  EXPECT_EQ(net.view(4).rank, 4);
  EXPECT_EQ(net.view(4).live_count, 9) << "all peers silent: as configured";
  EXPECT_EQ(net.view(4).max_count, 9);
  EXPECT_EQ(net.node(4).rank_changes, 0);
}

TEST(ReplicaSetView, AFailedNodesWorkIsTakenOverButNotItsPartOfLimits) {
  SimulatedNetwork net(10, 2);
  net.start_all();
  net.run(40);
  net.kill(3);
  ASSERT_TRUE(net.run_until(80, [&] {
    for (int i = 0; i < 10; ++i) {
      if (i != 3 && net.view(i).live_count != 9) return false;
    }
    return true;
  }));
  for (int i = 0; i < 10; ++i) {
    if (i == 3) continue;
    EXPECT_EQ(net.view(i).rank, i < 3 ? i : i - 1);
    EXPECT_EQ(net.view(i).max_count, 10) << "it may be partitioned, and go on sending";
    EXPECT_EQ(net.view(i).connectivity, Connectivity::kPartial);
  }
}

TEST(ReplicaSetView, ANodeThatLeftNoLongerCountsForLimits) {
  SimulatedNetwork net(10, 2);
  net.start_all();
  net.run(40);
  net.leave(3);
  net.run(60);
  for (int i = 0; i < 10; ++i) {
    if (i == 3) continue;
    EXPECT_EQ(net.view(i).live_count, 9);
    EXPECT_EQ(net.view(i).max_count, 9);
    EXPECT_EQ(net.view(i).connectivity, Connectivity::kComplete)
        << "all nodes that have not left are reachable";
  }
}

TEST(ReplicaSetView, AMinorityThatSurvivesIsPartitioned) {
  SimulatedNetwork net(10, 5);
  net.start_all();
  net.run(40);
  for (const int dead : {0, 1, 2, 4, 5, 7, 8}) net.kill(dead);
  for (const int left : {3, 6, 9}) {
    EXPECT_TRUE(net.run_until(90, [&] { return net.view(left).connectivity == Connectivity::kPartitioned; }));
  }
  net.run(200);
  for (const int left : {3, 6, 9}) {
    EXPECT_EQ(net.view(left).live_count, 10) << "they can't tell failures from a partition: as configured";
    EXPECT_EQ(net.view(left).max_count, 10);
  }
  for (const int dead : {0, 1, 2, 4, 5, 7, 8}) net.start(dead);
  EXPECT_TRUE(net.run_until(120, [&] {
    for (int i = 0; i < 10; ++i) {
      if (net.view(i).connectivity != Connectivity::kComplete || net.view(i).live_count != 10) return false;
    }
    return true;
  }));
}

TEST(ReplicaSetView, TheSmallerSideIsPartitionedBeforeAllOthersHaveFailed) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedNetwork net(60, seed);
    net.start_all();
    net.run(60);
    net.delivers = [](int from, int to) { return (from % 3 == 1) == (to % 3 == 1); };
    int failed = -1;
    EXPECT_TRUE(net.run_until(60, [&] {
      if (net.view(1).connectivity != Connectivity::kPartitioned) return false;
      failed = 0;
      for (NodeId k = 0; k < 60; ++k)
        failed += net.detector(1).record(k).state == MemberState::kFailed ? 1 : 0;
      return true;
    })) << seed;
    EXPECT_LT(failed, 30);
    net.delivers = {};
    EXPECT_TRUE(net.run_until(200, [&] { return net.view(1).connectivity == Connectivity::kComplete; }))
        << seed;
  }
}

// Each flap of a node moves the others' parts of the work less often.
TEST(ReplicaSetView, AFlappingNodeDoesNotChangeRanksEachTime) {
  SimulatedNetwork net(8, 6);
  net.start_all();
  net.run(40);
  int flaps = 0;
  for (int k = 0; k < 30; ++k) {
    net.kill(2);
    net.run(40);
    net.start(2);
    net.run(12);
    ++flaps;
  }
  for (int i = 0; i < 8; ++i) {
    if (i == 2) continue;
    EXPECT_LT(net.node(i).rank_changes, flaps) << "two per flap without hysteresis";
    EXPECT_GT(net.node(i).rank_changes, 0);
  }
}

TEST(ReplicaSetView, ChangesAreBatchedAndKeepTheMinimumInterval) {
  ReplicaSetViewConfig config;
  config.settle_time = 0.5;  // so that min_change_interval decides
  config.max_settle_doublings = 0;
  const LocalNode self{0, 12, 0, 1000, 1};
  Detector detector(self, {}, 1);
  detector.start(0);
  ReplicaSetViewTracker tracker(self, config);
  double last = -100;
  ReplicaSetView before = tracker.current();
  int moves = 0;
  std::mt19937_64 random(3);
  std::uint32_t stamp = 0;
  std::vector<Incarnation> incarnations(12, incarnation_of(1000));
  const auto receive = [&](double t, MessageKind kind, NodeId who, std::uint32_t answers) {
    Message m;
    m.kind = kind;
    m.sender = m.target = who;
    m.replica_set_id = 1;
    m.sequence_number = ++stamp;
    m.in_reply_to = answers;
    m.incarnation = incarnations[who];
    static_cast<void>(detector.receive(t, who, encode(m).view()));  // its answers go nowhere
  };
  for (double t = 0; t < 600; t += 0.25) {
    // Every pinged node acks.
    for (const Output& output : detector.on_timer(t)) {
      const auto* sent = std::get_if<SendDatagram>(&output);
      if (sent == nullptr) continue;
      const auto decoded = decode(sent->datagram.view(), 1, 12);
      const auto* ping = std::get_if<Message>(&decoded);
      if (ping != nullptr && ping->kind == MessageKind::kPing)
        receive(t, MessageKind::kAck, ping->target, ping->sequence_number);
    }
    // At random a node leaves or is restarted.
    const auto who = static_cast<NodeId>(1 + random() % 11);
    incarnations[who] += Incarnation{1} << kRefutationBits;
    receive(t, random() % 2 == 0 ? MessageKind::kLeaving : MessageKind::kAck, who, 0);
    if (const auto view = tracker.update(t, detector)) {
      if (view->connectivity > Connectivity::kPartitioned &&
          before.connectivity > Connectivity::kPartitioned &&
          (view->rank != before.rank || view->live_count != before.live_count)) {
        EXPECT_GE(t - last, config.min_change_interval - 1e-9);
        last = t;
        ++moves;
      }
      before = *view;
    }
  }
  EXPECT_LE(moves, 60);
  EXPECT_GT(moves, 20);
}

}  // namespace
}  // namespace thymewood::membership
