// Tests the failure detector in a simulated network with many seeds: completeness, accuracy, and robustness
// against link failures, restarts, pauses and configuration changes.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "message_of_node.h"
#include "simulated_network.h"

namespace thymewood::membership {
namespace {

// Expected time until a stopped node is marked as failed if all live nodes can reach each other: one of them
// probes it within a few intervals, then the suspicion times out or is confirmed earlier.
// max_time_to_failure() is the bound for a single observer without help from other nodes.
double expected_time_to_failure(int nodes) {
  const DetectorConfig config;
  const double log10 = std::max(1.0, std::log10(nodes));
  return 8 * config.probe_interval +
         config.suspicion_multiplier * log10 * config.max_suspicion_multiplier * config.probe_interval;
}

TEST(Detector, NodesThatStartTogetherDiscoverEachOther) {
  for (const int nodes : {2, 3, 10, 60}) {
    SimulatedNetwork net(nodes, 7);
    net.start_all();
    EXPECT_TRUE(net.run_until(4.0 * nodes + 10, [&] {
      for (int i = 0; i < nodes; ++i) {
        for (int k = 0; k < nodes; ++k) {
          if (net.detector(i).record(static_cast<NodeId>(k)).incarnation == 0) return false;
        }
      }
      return true;
    })) << nodes;
    EXPECT_EQ(net.false_failures(), 0);
    EXPECT_LE(net.longest_datagram(), kMaxDatagramBytes);
  }
}

// Completeness, for many seeds and replica set sizes.
TEST(Detector, EveryLiveNodeMarksAStoppedNodeAsFailed) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const int nodes = 2 + static_cast<int>(seed * 7 % 39);
    SimulatedNetwork net(nodes, seed);
    net.links.loss = seed % 3 == 0 ? 0.05 : 0;
    net.start_all();
    net.run(15);
    const int stopped = static_cast<int>(seed) % nodes;
    net.kill(stopped);
    EXPECT_TRUE(
        net.run_until(2 * expected_time_to_failure(nodes),
                      [&] { return net.all_see(static_cast<NodeId>(stopped), MemberState::kFailed); }))
        << nodes << " nodes, seed " << seed;
    net.run(30);
    EXPECT_TRUE(net.all_see(static_cast<NodeId>(stopped), MemberState::kFailed))
        << "the node must stay failed";
    EXPECT_EQ(net.false_failures({stopped}), 0) << nodes << " nodes, seed " << seed;
  }
}

TEST(Detector, AStoppedNodeAmongThreeHundredIsFailedWithinTheExpectedTime) {
  SimulatedNetwork net(300, 11);
  net.start_all();
  net.run(20);
  net.kill(123);
  EXPECT_TRUE(
      net.run_until(expected_time_to_failure(300), [&] { return net.all_see(123, MemberState::kFailed); }));
  EXPECT_EQ(net.false_failures({123}), 0);
}

TEST(Detector, TheSurvivorOfTwoNodesDetectsTheFailureWithinTheBound) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SimulatedNetwork net(2, seed);
    net.start_all();
    net.run(5);
    net.kill(1);
    // The local health score extends the survivor's probe intervals because no other node answers.
    EXPECT_TRUE(net.run_until(max_time_to_failure({}, 2) * (1 + DetectorConfig{}.max_local_health), [&] {
      return net.all_see(1, MemberState::kFailed);
    })) << seed;
  }
}

// Accuracy: a fifth of all datagrams is lost, others are duplicated or reordered.
TEST(Detector, PacketLossAloneCausesNoLastingFailure) {
  int failed = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SimulatedNetwork net(30, seed);
    net.links = {0.005, 0.02, 0.2, 0.1, 0.1};
    net.start_all();
    net.run(300);
    failed += net.false_failures();
    net.links.loss = 0;
    EXPECT_TRUE(net.run_until(60, [&] { return net.has_converged(); })) << "seed " << seed;
  }
  EXPECT_EQ(failed, 0) << "in 10 node hours";
}

// Suspicions and refutations must fit into the capacity of the datagrams.
TEST(Detector, RefutationsGetThroughDespiteLossInALargeReplicaSet) {
  SimulatedNetwork net(160, 5);
  net.links.loss = 0.2;
  net.start_all();
  net.run(120);
  EXPECT_EQ(net.false_failures(), 0);
  std::uint64_t suspicions = 0;
  for (int i = 0; i < net.size(); ++i) suspicions += net.detector(i).counters().suspicions;
  EXPECT_LT(suspicions / 160, 60u) << "suspicions per node within two minutes at 160 pings per second";
}

TEST(Detector, WithoutFaultsNoNodeIsSuspected) {
  SimulatedNetwork net(50, 3);
  net.start_all();
  net.run(600);
  for (int i = 0; i < net.size(); ++i) {
    EXPECT_EQ(net.detector(i).counters().suspicions, 0u);
    EXPECT_EQ(net.detector(i).local_health(), 0);
    EXPECT_EQ(net.detector(i).counters().unacked_probes, 0u);
  }
}

TEST(Detector, BytesPerNodeDoNotDependOnTheReplicaSetSize) {
  std::map<int, double> bytes_per_second;
  for (const int nodes : {3, 30, 150}) {
    SimulatedNetwork net(nodes, 5);
    net.start_all();
    net.run(60);  // until all nodes know each other
    const std::uint64_t before = net.detector(0).counters().sent_bytes;
    net.run(60);
    bytes_per_second[nodes] = static_cast<double>(net.detector(0).counters().sent_bytes - before) / 60;
  }
  for (const auto& [nodes, bytes] : bytes_per_second) {
    EXPECT_LE(bytes, 3 * kMaxDatagramBytes) << nodes << " nodes: usually one ping and one ack per second";
    EXPECT_GT(bytes, 0);
  }
}

// ---------------------------------------------------------------- links

TEST(Detector, IndirectProbesCompensateForAOneWayLink) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedNetwork net(8, seed);
    net.link_filter = [](int from, int to) { return !(from == 2 && to == 5); };
    net.start_all();
    net.run(200);
    EXPECT_EQ(net.false_failures(), 0) << seed;
    EXPECT_GT(net.detector(2).counters().indirect_acks + net.detector(5).counters().indirect_acks, 0u);
  }
}

TEST(Detector, IndirectProbesKeepTwoDisconnectedNodesAlive) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedNetwork net(3, seed);
    net.link_filter = [](int from, int to) { return !(from + to == 1); };  // cuts the link between 0 and 1
    net.start_all();
    net.run(300);
    EXPECT_EQ(net.false_failures(), 0) << seed;
    EXPECT_GT(net.detector(0).counters().indirect_acks, 0u);
  }
}

TEST(Detector, APartitionedZoneIsFailedOutsideAndRejoinsAfterHealing) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedNetwork net(12, seed);
    net.start_all();
    net.run(15);
    net.link_filter = [](int from, int to) { return (from % 3 == 1) == (to % 3 == 1); };
    net.run(150);
    std::vector<int> outside;
    for (int i = 0; i < 12; ++i) {
      if (i % 3 != 1) outside.push_back(i);
    }
    for (const int partitioned : {1, 4, 7, 10}) {
      EXPECT_TRUE(net.all_see(static_cast<NodeId>(partitioned), MemberState::kFailed, outside)) << seed;
      EXPECT_EQ(net.detector(1).record(static_cast<NodeId>(partitioned)).state, MemberState::kAlive)
          << "nodes within the partitioned zone see each other as alive";
    }
    net.link_filter = {};
    EXPECT_TRUE(net.run_until(60, [&] { return net.has_converged(); })) << "seed " << seed;
  }
}

// ---------------------------------------------------------------- restarts

TEST(Detector, ARestartWithinAnIntervalRaisesTheIncarnationWithoutFailure) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    SimulatedNetwork net(6, seed);
    net.links = {0.01, 0.2, 0, 0, 0.2};  // datagrams of the previous process are still in flight
    net.start_all();
    net.run(10);
    const Incarnation before = net.detector(0).record(4).incarnation;
    net.kill(4);
    net.run(0.05);
    net.start(4);
    net.run(30);
    for (const int i : {0, 1, 2, 3, 5}) EXPECT_GT(net.detector(i).record(4).incarnation, before);
    net.links = {};
    EXPECT_TRUE(net.run_until(30, [&] { return net.has_converged(); })) << seed;
    EXPECT_EQ(net.false_failures(), 0) << seed;
  }
}

TEST(Detector, ANodeWhoseClockWasSetBackRaisesItsIncarnation) {
  SimulatedNetwork net(6, 9);
  net.start_all();
  net.run(10);
  net.kill(4);
  net.node(4).clock_offset_ms = 3'600'000;
  net.node(4).is_clock_behind = true;
  net.run(0.5);
  net.start(4);
  const Incarnation stale = net.detector(0).record(4).incarnation;
  EXPECT_TRUE(net.run_until(60, [&] {
    const Incarnation own = net.detector(4).record(4).incarnation;
    for (const int i : {0, 1, 2, 3, 5}) {
      if (net.detector(i).record(4).incarnation != own) return false;
    }
    return own > stale && net.has_converged();
  }));
  EXPECT_FALSE(net.detector(4).has_id_conflict()) << "its own earlier process must not count as a conflict";
}

TEST(Detector, NodesThatRestartAtOnceConverge) {
  SimulatedNetwork net(40, 13);
  net.start_all();
  net.run(20);
  for (int i = 0; i < 40; ++i) net.kill(i);
  net.run(1);
  net.start_all();
  EXPECT_TRUE(net.run_until(120, [&] { return net.has_converged(); }));
  EXPECT_EQ(net.false_failures(), 0);
}

TEST(Detector, ANodeThatLeavesIsNeverSuspected) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedNetwork net(20, seed);
    net.start_all();
    net.run(10);
    net.leave(6);
    net.run(0.1);
    EXPECT_TRUE(net.all_see(6, MemberState::kLeft));
    net.run(60);
    EXPECT_TRUE(net.all_see(6, MemberState::kLeft));
    for (int i = 0; i < 20; ++i) EXPECT_EQ(net.detector(i).counters().suspicions, 0u);
    net.start(6);
    EXPECT_TRUE(net.run_until(60, [&] { return net.has_converged(); })) << "the node must be able to rejoin";
  }
}

// ---------------------------------------------------------------- pauses

TEST(Detector, APausedNodeFailsNoPeerAfterItResumes) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedNetwork net(10, seed);
    net.start_all();
    net.run(10);
    net.pause(3);
    net.run(10);
    net.resume(3);
    net.run(60);
    for (const MemberChanged& c : net.node(3).changes)
      EXPECT_NE(c.current.state, MemberState::kFailed) << "seed " << seed;
    EXPECT_GE(net.detector(3).counters().loop_pauses, 1u);
    EXPECT_TRUE(net.run_until(30, [&] { return net.has_converged(); }))
        << "all nodes must see it as alive again";
  }
}

TEST(Detector, AStarvedNodeLowersItsLocalHealthBeforeItFailsPeers) {
  int failed = 0, suspected = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedNetwork net(15, seed);
    net.node(2).max_timer_delay = 0.9;
    net.start_all();
    net.run(200);
    for (const MemberChanged& c : net.node(2).changes)
      failed += c.current.state == MemberState::kFailed ? 1 : 0;
    suspected += static_cast<int>(net.detector(2).counters().suspicions);
  }
  EXPECT_EQ(failed, 0) << "failures out of " << suspected << " suspicions";
}

// The node's own link is the likely fault, so it extends its timeouts and suspects fewer nodes.
TEST(Detector, ANodeWithoutInboundTrafficLowersItsLocalHealth) {
  SimulatedNetwork net(20, 3);
  net.start_all();
  net.run(30);
  const std::uint64_t before = net.detector(7).counters().pings;
  net.link_filter = [](int, int to) { return to != 7; };
  net.run(90);
  EXPECT_EQ(net.detector(7).local_health(), DetectorConfig{}.max_local_health);
  EXPECT_LT(net.detector(7).counters().pings - before, 20u) << "a healthy node would send 90";
  EXPECT_EQ(net.view(7).connectivity, Connectivity::kPartitioned);
  net.link_filter = {};
  EXPECT_TRUE(net.run_until(200, [&] { return net.has_converged() && net.detector(7).local_health() == 0; }))
      << "the node must recover";
}

TEST(Detector, NeverAcceptsALowerIncarnation) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SimulatedNetwork net(8, seed);
    net.links = {0.01, 0.3, 0.1, 0.3, 0.3};
    net.start_all();
    std::map<std::pair<int, int>, Incarnation> highest;
    std::mt19937_64 random(seed);
    for (int step = 0; step < 60; ++step) {
      const int node_index = static_cast<int>(random() % 8);
      SimulatedNetwork::Node& node = net.node(node_index);
      switch (random() % 5) {
        case 0:
          if (node.is_up && !node.is_paused) net.pause(node_index);
          break;
        case 1:
          if (node.is_up && node.is_paused) net.resume(node_index);
          break;
        case 2:
          net.kill(node_index);
          break;
        case 3:
          if (node.is_up && !node.is_paused) net.leave(node_index);
          break;
        default:
          if (!node.is_up) {
            net.start(node_index);
            for (int k = 0; k < 8; ++k) highest.erase({node_index, k});  // a restart clears its table
          }
      }
      net.run(1.5);
      for (int i = 0; i < 8; ++i) {
        if (!net.node(i).is_up) continue;
        for (int k = 0; k < 8; ++k) {
          const Incarnation now = net.detector(i).record(static_cast<NodeId>(k)).incarnation;
          ASSERT_GE(now, (highest[{i, k}])) << "seed " << seed << " step " << step;
          highest[{i, k}] = now;
        }
      }
    }
    for (int i = 0; i < 8; ++i) {
      if (!net.node(i).is_up) net.start(i);
      if (net.node(i).is_paused) net.resume(i);
    }
    net.links = {};
    EXPECT_TRUE(net.run_until(90, [&] { return net.has_converged(); }))
        << "all nodes must converge, seed " << seed;
    EXPECT_LE(net.longest_datagram(), kMaxDatagramBytes);
  }
}

// ---------------------------------------------------------------- configuration changes

TEST(Detector, AGrownReplicaSetConvergesOnceAllNodesAreConfigured) {
  SimulatedNetwork net(12, 21);
  for (int i = 0; i < 8; ++i) net.start(i, 8);
  net.run(20);
  for (int i = 8; i < 12; ++i) net.start(i, 12);
  net.run(60);
  for (int i = 0; i < 8; ++i) {
    for (NodeId k = 0; k < 8; ++k)
      EXPECT_EQ(net.detector(i).record(k).state, MemberState::kAlive)
          << "nodes with the old configuration must ignore datagrams from new nodes";
  }
  EXPECT_GT(net.detector(0).counters().invalid_fields, 0u) << "sender id outside its configuration";
  for (int i = 0; i < 8; ++i) {
    net.kill(i);
    net.start(i, 12);
    net.run(3);
  }
  EXPECT_TRUE(net.run_until(120, [&] { return net.has_converged(); }));
}

TEST(Detector, ADuplicateNodeIdIsDetectedAndTheOtherNodesContinue) {
  SimulatedNetwork net(5, 17);
  net.start_all();
  net.run(20);
  // Reports the higher incarnation of another process that started later with node 4's id.
  for (int i = 0; i < 4; ++i) {
    net.run(3);
    Message m = message_of(net, 1);
    MemberRecord r = net.detector(4).record(4);
    r.incarnation += Incarnation{1} << kRefutationBits;
    m.records.push_back(r);
    m.sequence_number += static_cast<std::uint32_t>(i);
    net.inject(4, 1, encode(m));
  }
  EXPECT_TRUE(net.detector(4).has_id_conflict());
  EXPECT_EQ(net.view(4).connectivity, Connectivity::kPartitioned) << "its rank is ambiguous";
  net.run(60);
  for (int i = 0; i < 4; ++i) {
    for (NodeId k = 0; k < 4; ++k) EXPECT_EQ(net.detector(i).record(k).state, MemberState::kAlive);
  }
}

TEST(Detector, RejectsInvalidConfigurations) {
  const auto invalid_field = [](LocalNode local, DetectorConfig config) {
    try {
      Detector(local, config, 1);
      return std::string();
    } catch (const InvalidDetectorConfig& error) {
      return error.field();
    }
  };
  const LocalNode valid{1, 3, 0, 1000, 1};
  EXPECT_EQ(invalid_field(valid, {}), "");
  LocalNode local = valid;
  local.id = 3;
  EXPECT_EQ(invalid_field(local, {}), "id");
  local = valid;
  local.start_ms = 0;
  EXPECT_EQ(invalid_field(local, {}), "start_ms");
  DetectorConfig config;
  config.probe_interval = 0;
  EXPECT_EQ(invalid_field(valid, config), "probe_interval");
  config = {};
  config.ack_timeout_fraction = 1;
  EXPECT_EQ(invalid_field(valid, config), "ack_timeout_fraction");
}

}  // namespace
}  // namespace thymewood::membership
