// Tests a node's view of the replica set: rank, counts and connectivity.
#include <gtest/gtest.h>

#include <algorithm>

#include "simulated_network.h"

namespace thymewood::membership {
namespace {

TEST(ReplicaSetView, IsCompleteAndRankedByIdWhenAllNodesAreLive) {
  SimulatedNetwork net(7, 1);
  net.start_all();
  net.run(40);
  for (int i = 0; i < 7; ++i) {
    EXPECT_EQ(net.view(i).connectivity, Connectivity::kComplete);
    EXPECT_EQ(net.view(i).rank, i);
    EXPECT_EQ(net.view(i).live_count, 7);
    EXPECT_EQ(net.view(i).max_count, 7);
    EXPECT_EQ(net.view(i).reachable_by_zone, (std::map<int, int>{{0, 3}, {1, 2}, {2, 2}}));
    EXPECT_EQ(net.node(i).rank_changes, 0) << "the initial rank and live_count must not change";
  }
}

TEST(ReplicaSetView, IsAsConfiguredUntilAPeerAnswers) {
  SimulatedNetwork net(9, 1);
  net.start(4);
  net.run(300);
  EXPECT_EQ(net.view(4).connectivity, Connectivity::kPartitioned);
  EXPECT_EQ(net.view(4).reachable_count, 1);
  EXPECT_EQ(net.node(4).best_connectivity, Connectivity::kPartitioned)
      << "best connectivity in the whole run";
  EXPECT_EQ(net.view(4).rank, 4);
  EXPECT_EQ(net.view(4).live_count, 9) << "must stay as configured while no peer responds";
  EXPECT_EQ(net.view(4).max_count, 9);
  EXPECT_EQ(net.node(4).rank_changes, 0);
}

TEST(ReplicaSetView, AFailedNodeCountsForLimitsButNotForRanks) {
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
    EXPECT_EQ(net.view(i).max_count, 10) << "the node may be partitioned and still send requests";
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

TEST(ReplicaSetView, ASurvivingMinorityIsPartitioned) {
  SimulatedNetwork net(10, 5);
  net.start_all();
  net.run(40);
  for (const int failed_node : {0, 1, 2, 4, 5, 7, 8}) net.kill(failed_node);
  for (const int survivor : {3, 6, 9}) {
    EXPECT_TRUE(
        net.run_until(90, [&] { return net.view(survivor).connectivity == Connectivity::kPartitioned; }));
  }
  net.run(200);
  for (const int survivor : {3, 6, 9}) {
    EXPECT_EQ(net.view(survivor).live_count, 10)
        << "the survivors can't distinguish failures from a partition, so the count stays as configured";
    EXPECT_EQ(net.view(survivor).max_count, 10);
  }
  for (const int failed_node : {0, 1, 2, 4, 5, 7, 8}) net.start(failed_node);
  EXPECT_TRUE(net.run_until(120, [&] {
    for (int i = 0; i < 10; ++i) {
      if (net.view(i).connectivity != Connectivity::kComplete || net.view(i).live_count != 10) return false;
    }
    return true;
  }));
}

TEST(ReplicaSetView, TheMinoritySideIsPartitionedBeforeAllUnreachableNodesAreFailed) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedNetwork net(60, seed);
    net.start_all();
    net.run(60);
    net.link_filter = [](int from, int to) { return (from % 3 == 1) == (to % 3 == 1); };
    int failed = -1;
    EXPECT_TRUE(net.run_until(60, [&] {
      if (net.view(1).connectivity != Connectivity::kPartitioned) return false;
      failed = 0;
      for (NodeId k = 0; k < 60; ++k)
        failed += net.detector(1).record(k).state == MemberState::kFailed ? 1 : 0;
      return true;
    })) << seed;
    EXPECT_LT(failed, 30);
    net.link_filter = {};
    EXPECT_TRUE(net.run_until(200, [&] { return net.view(1).connectivity == Connectivity::kComplete; }))
        << seed;
  }
}

// A flapping node must not change the ranks of the other nodes with each flap.
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
    EXPECT_LT(net.node(i).rank_changes, flaps) << "without hysteresis there would be two per flap";
    EXPECT_GT(net.node(i).rank_changes, 0);
  }
}

TEST(ReplicaSetView, ChangesAreBatchedAndRespectTheMinimumInterval) {
  ReplicaSetViewConfig config;
  config.settle_time = 0.5;  // short, so that min_change_interval determines the time between changes
  config.max_settle_doublings = 0;
  const LocalNode local{0, 12, 0, 1000, 1};
  Detector detector(local, {}, 1);
  detector.start(0);
  ReplicaSetViewTracker tracker(local, config);
  double last_change = -100;
  ReplicaSetView before = tracker.current();
  int rank_changes = 0;
  std::mt19937_64 random(3);
  std::uint32_t last_sequence_number = 0;
  std::vector<Incarnation> incarnations(12, incarnation_of(1000));
  const auto receive = [&](double now, MessageKind kind, NodeId id, std::uint32_t in_reply_to) {
    Message m;
    m.kind = kind;
    m.sender = m.target = id;
    m.replica_set_id = 1;
    m.sequence_number = ++last_sequence_number;
    m.in_reply_to = in_reply_to;
    m.incarnation = incarnations[id];
    static_cast<void>(detector.receive(now, id, encode(m).view()));  // replies are discarded
  };
  for (double now = 0; now < 600; now += 0.25) {
    // Every pinged node replies with an ack.
    for (const Output& output : detector.on_timer(now)) {
      const auto* sent = std::get_if<SendDatagram>(&output);
      if (sent == nullptr) continue;
      const auto decoded = decode(sent->datagram.view(), 1, 12);
      const auto* ping = std::get_if<Message>(&decoded);
      if (ping != nullptr && ping->kind == MessageKind::kPing)
        receive(now, MessageKind::kAck, ping->target, ping->sequence_number);
    }
    // A random node leaves or restarts.
    const auto id = static_cast<NodeId>(1 + random() % 11);
    incarnations[id] += Incarnation{1} << kRefutationBits;
    receive(now, random() % 2 == 0 ? MessageKind::kLeaving : MessageKind::kAck, id, 0);
    if (const auto view = tracker.update(now, detector)) {
      if (view->connectivity > Connectivity::kPartitioned &&
          before.connectivity > Connectivity::kPartitioned &&
          (view->rank != before.rank || view->live_count != before.live_count)) {
        EXPECT_GE(now - last_change, config.min_change_interval - 1e-9);
        last_change = now;
        ++rank_changes;
      }
      before = *view;
    }
  }
  EXPECT_LE(rank_changes, 60);
  EXPECT_GT(rank_changes, 20);
}

}  // namespace
}  // namespace thymewood::membership
