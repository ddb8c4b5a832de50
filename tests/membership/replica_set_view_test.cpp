// A node's view of the replica set: rank, counts and connectivity; and that every server stays covered by the
// subsets while views differ.
#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

#include "simulated_network.h"
#include "thymewood/balancer.h"

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

// ---------------------------------------------------------------- who covers which server

// As in policy/balancer.cpp.
constexpr std::size_t kSubsetSize = 5, kCover = 2, kMovingCover = 5;

std::size_t size_of(std::size_t servers, std::size_t live, std::size_t cover = kCover) {
  return std::max(kSubsetSize, (cover * servers + live - 1) / live);
}

// Ranks are in order: when a node fails, the others' subsets move by the servers of one node at most.
TEST(Coverage, AFailedNodeMovesOtherSubsetsByAtMostItsOwnPart) {
  for (const std::size_t nodes : {3, 10, 47, 200}) {
    for (const std::size_t servers : {20, 100, 500}) {
      for (std::size_t dead = 0; dead < nodes; ++dead) {
        for (std::size_t i = 0; i < nodes; ++i) {
          if (i == dead) continue;
          const auto before = subset_of(i, nodes, servers, 1).front();
          const auto after = subset_of(i < dead ? i : i - 1, nodes - 1, servers, 1).front();
          const std::size_t moved = before > after ? before - after : after - before;
          ASSERT_LE(moved, (servers + nodes - 2) / (nodes - 1)) << nodes << " " << servers;
        }
      }
    }
  }
}

// While views differ, each node sees the live nodes but for a few that it still misses or still counts. Each
// server has to be in at least one subset, and in at most three times as many as in the mean.
TEST(Coverage, EachServerStaysCoveredAndBoundedWhileViewsDiffer) {
  std::mt19937_64 random(5);
  for (int round = 0; round < 4000; ++round) {
    const std::size_t configured = 3 + random() % 120, servers = 1 + random() % 300;
    std::vector<bool> live(configured);
    for (std::size_t i = 0; i < configured; ++i) live[i] = random() % 10 != 0;
    live[random() % configured] = true;
    const std::size_t wrong_count = 2;  // members whose state a node sees wrongly
    std::vector<std::size_t> covered(servers);
    std::size_t sum = 0;
    for (std::size_t i = 0; i < configured; ++i) {
      if (!live[i]) continue;
      std::vector<bool> seen = live;
      for (std::size_t k = 0; k < wrong_count; ++k) {
        const std::size_t at = random() % configured;
        if (at != i) seen[at] = !seen[at];
      }
      std::size_t rank = 0, count = 0;
      for (std::size_t k = 0; k < configured; ++k) {
        if (k == i) rank = count;
        count += seen[k] ? 1 : 0;
      }
      for (const std::size_t s : subset_of(rank, count, servers, size_of(servers, count, kMovingCover))) {
        covered[s] += 1;
        ++sum;
      }
    }
    const double mean = static_cast<double>(sum) / static_cast<double>(servers);
    for (const std::size_t c : covered) {
      ASSERT_GE(c, 1u) << configured << " nodes, " << servers << " servers";
      ASSERT_LE(static_cast<double>(c), 3 * mean + 1) << configured << " nodes, " << servers << " servers";
    }
  }
}

// By the configured count alone, the servers of failed nodes are left uncovered.
TEST(Coverage, ByTheConfiguredCountAServerCanBeUncovered) {
  constexpr std::size_t kNodes = 30, kServers = 300;
  std::vector<int> by_configured_count(kServers), by_rank(kServers);
  std::size_t rank = 0;
  for (std::size_t i = 0; i < kNodes; ++i) {
    const bool dead = i >= 10 && i < 16;
    if (dead) continue;
    for (const std::size_t s : subset_of(i, kNodes, kServers, size_of(kServers, kNodes)))
      by_configured_count[s] += 1;
    for (const std::size_t s : subset_of(rank, kNodes - 6, kServers, size_of(kServers, kNodes - 6)))
      by_rank[s] += 1;
    ++rank;
  }
  EXPECT_EQ(*std::min_element(by_configured_count.begin(), by_configured_count.end()), 0);
  EXPECT_GE(*std::min_element(by_rank.begin(), by_rank.end()), static_cast<int>(kCover) - 1);
}

}  // namespace
}  // namespace thymewood::membership
