// Tests that false, stale and replayed datagrams do not change the membership state.
#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <vector>

#include "message_of_node.h"
#include "simulated_network.h"

namespace thymewood::membership {
namespace {

// A single false datagram must not remove any node except its sender.
TEST(FalseDatagram, RemovesNoNodeButItsSender) {
  for (const MemberState state : {MemberState::kSuspect, MemberState::kFailed, MemberState::kLeft}) {
    SimulatedNetwork net(16, 4);
    net.start_all();
    net.run(60);
    Message m = message_of(net, 5);
    for (int i = 0; i < 16; ++i) {
      if (i == 0 || i == 5 || m.records.size() == kMaxRecords) continue;
      MemberRecord r = net.detector(0).record(static_cast<NodeId>(i));
      r.state = state;
      r.reported_by = static_cast<NodeId>((i + 1) % 16);
      m.records.push_back(r);
    }
    net.inject(0, 5, encode(m));
    for (int i = 1; i < 16; ++i) {
      EXPECT_LT(net.detector(0).record(static_cast<NodeId>(i)).state, MemberState::kFailed)
          << "failed immediately";
    }
    net.run(120);
    EXPECT_EQ(net.false_failures(), 0)
        << "every suspect must refute in time, although all were suspected at once";
    EXPECT_TRUE(net.has_converged());
  }
}

TEST(FalseDatagram, WithManyReportersCountsAsOneReport) {
  SimulatedNetwork net(9, 4);
  net.link_filter = [](int, int to) { return to != 0; };  // node 0 receives only what is injected
  net.start_all();
  net.run(0.01);
  Message m = message_of(net, 5);
  MemberRecord suspected;
  suspected.id = 3;
  suspected.state = MemberState::kSuspect;
  suspected.incarnation = net.detector(3).record(3).incarnation;
  for (const int reporter : {1, 2, 4, 5, 6, 7}) {
    suspected.reported_by = static_cast<NodeId>(reporter);
    m.records.push_back(suspected);
  }
  net.inject(0, 5, encode(m));
  ASSERT_EQ(net.detector(0).record(3).state, MemberState::kSuspect);
  const double min_timeout = min_suspicion_timeout({}, 9);
  net.run(min_timeout * 1.5);
  EXPECT_EQ(net.detector(0).record(3).state, MemberState::kSuspect)
      << "the suspicion would have timed out with six reporters";
  net.run(min_timeout * DetectorConfig{}.max_suspicion_multiplier);
  EXPECT_EQ(net.detector(0).record(3).state, MemberState::kFailed);
}

TEST(FalseDatagram, WithAHigherIncarnationIsRefutedByItsOwner) {
  SimulatedNetwork net(8, 4);
  net.start_all();
  net.run(30);
  Message m = message_of(net, 5);
  MemberRecord r = net.detector(0).record(2);
  r.incarnation += Incarnation{1} << 30;
  m.records.push_back(r);
  net.inject(0, 5, encode(m));
  EXPECT_TRUE(net.run_until(
      60, [&] { return net.detector(2).record(2).incarnation > r.incarnation && net.has_converged(); }));
}

TEST(FalseDatagram, IsDroppedAndCountedByReason) {
  SimulatedNetwork net(4, 4);
  net.start_all();
  net.run(20);
  const auto inject = [&](std::optional<NodeId> from, const std::function<void(Message&)>& change) {
    Message m = message_of(net, 2);
    change(m);
    net.inject(0, from, encode(m));
  };
  const MemberRecord before = net.detector(0).record(2);
  const auto make_leaving = [](Message& m) { m.kind = MessageKind::kLeaving; };
  inject(std::nullopt, make_leaving);
  inject(NodeId{3}, make_leaving);
  EXPECT_EQ(net.detector(0).counters().source_address_mismatches, 2u)
      << "one from an unknown address, one from the address of another node";
  inject(NodeId{2}, [&](Message& m) {
    make_leaving(m);
    m.replica_set_id += 1;
  });
  EXPECT_EQ(net.detector(0).counters().replica_set_mismatches, 1u);
  inject(NodeId{2}, [&](Message& m) {
    make_leaving(m);
    m.incarnation -= Incarnation{1} << kRefutationBits;
  });
  EXPECT_EQ(net.detector(0).counters().stale_incarnations, 1u);
  Datagram d = encode(message_of(net, 2));
  d.bytes[20] ^= 1;
  net.inject(0, NodeId{2}, d);
  EXPECT_EQ(net.detector(0).counters().checksum_mismatches, 1u);
  EXPECT_EQ(net.detector(0).record(2), before) << "no dropped datagram may be applied";
  inject(NodeId{2}, make_leaving);
  EXPECT_EQ(net.detector(0).record(2).state, MemberState::kLeft)
      << "the same message from the sender's own address must be applied";
}

TEST(FalseDatagram, IsDroppedWhenReplayed) {
  SimulatedNetwork net(6, 8);
  net.capture_traffic = true;
  net.start_all();
  net.run(20);
  const auto traffic = net.traffic;
  net.capture_traffic = false;
  // The replayed traffic contains refuted suspicions, earlier incarnations and pings, each from its original
  // source address.
  net.kill(3);
  net.run(0.2);
  net.start(3);
  net.run(20);
  std::vector<Incarnation> before;
  for (int i = 0; i < 6; ++i) {
    for (NodeId k = 0; k < 6; ++k) before.push_back(net.detector(i).record(k).incarnation);
  }
  const std::uint64_t duplicates = net.detector(0).counters().duplicates,
                      stale = net.detector(0).counters().stale_incarnations;
  for (const auto& [from, to, datagram] : traffic) net.inject(to, static_cast<NodeId>(from), datagram);
  net.run(60);
  std::size_t at = 0;
  for (int i = 0; i < 6; ++i) {
    for (NodeId k = 0; k < 6; ++k)
      EXPECT_EQ(net.detector(i).record(k).incarnation, before[at++]) << "observer " << i << ", node " << k;
  }
  EXPECT_GT(net.detector(0).counters().duplicates, duplicates);
  EXPECT_GT(net.detector(0).counters().stale_incarnations, stale);
  EXPECT_EQ(net.false_failures(), 0);
}

}  // namespace
}  // namespace thymewood::membership
