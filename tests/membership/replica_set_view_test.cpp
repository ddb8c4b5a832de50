// What a node makes of whom it sees: its rank, what it reckons with, and how far that can be relied on; and
// that the servers stay covered while nodes see different fleets.
#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

#include "simulated_network.h"
#include "thymewood/balancer.h"

namespace thymewood::membership {
namespace {

TEST(View, IsWholeWhereAllAreThereAndRanksThemInOrder) {
  Net net(7, 1);
  net.start_all();
  net.run(40);
  for (int i = 0; i < 7; ++i) {
    EXPECT_EQ(net.view(i).confidence, Confidence::kWhole);
    EXPECT_EQ(net.view(i).rank, i);
    EXPECT_EQ(net.view(i).live, 7);
    EXPECT_EQ(net.view(i).bound, 7);
    EXPECT_EQ(net.view(i).zones, (std::map<int, int>{{0, 3}, {1, 2}, {2, 2}}));
    EXPECT_EQ(net.node(i).moves, 0) << "from the start on as it was told";
  }
}

TEST(View, UntilAnybodyAnswersItIsAsTold) {
  Net net(9, 1);
  net.start(4);
  net.run(300);
  EXPECT_EQ(net.view(4).confidence, Confidence::kCutOff);
  EXPECT_EQ(net.view(4).reached, 1);
  EXPECT_EQ(net.node(4).best, Confidence::kCutOff) << "at no moment was it anything else";
  EXPECT_EQ(net.view(4).rank, 4);
  EXPECT_EQ(net.view(4).live, 9) << "all silent: as the node of before";
  EXPECT_EQ(net.view(4).bound, 9);
  EXPECT_EQ(net.node(4).moves, 0);
}

TEST(View, ADeadNodesWorkIsTakenOverButNotItsPartOfABound) {
  Net net(10, 2);
  net.start_all();
  net.run(40);
  net.kill(3);
  ASSERT_TRUE(net.run_until(80, [&] {
    for (int i = 0; i < 10; ++i) {
      if (i != 3 && net.view(i).live != 9) return false;
    }
    return true;
  }));
  for (int i = 0; i < 10; ++i) {
    if (i == 3) continue;
    EXPECT_EQ(net.view(i).rank, i < 3 ? i : i - 1);
    EXPECT_EQ(net.view(i).bound, 10) << "it may be cut off, and go on sending";
    EXPECT_EQ(net.view(i).confidence, Confidence::kPart);
  }
}

TEST(View, OneThatSaidThatItEndsIsReckonedWithNoMore) {
  Net net(10, 2);
  net.start_all();
  net.run(40);
  net.leave(3);
  net.run(60);
  for (int i = 0; i < 10; ++i) {
    if (i == 3) continue;
    EXPECT_EQ(net.view(i).live, 9);
    EXPECT_EQ(net.view(i).bound, 9);
    EXPECT_EQ(net.view(i).confidence, Confidence::kWhole) << "all that there should be are there";
  }
}

TEST(View, SevenOfTenKilledLeaveThreeThatKnowThemselvesCutOff) {
  Net net(10, 5);
  net.start_all();
  net.run(40);
  for (const int dead : {0, 1, 2, 4, 5, 7, 8}) net.kill(dead);
  for (const int left : {3, 6, 9}) {
    EXPECT_TRUE(net.run_until(90, [&] { return net.view(left).confidence == Confidence::kCutOff; }));
  }
  net.run(200);
  for (const int left : {3, 6, 9}) {
    EXPECT_EQ(net.view(left).live, 10) << "they can't tell death from a cut: as told";
    EXPECT_EQ(net.view(left).bound, 10);
  }
  for (const int dead : {0, 1, 2, 4, 5, 7, 8}) net.start(dead);
  EXPECT_TRUE(net.run_until(120, [&] {
    for (int i = 0; i < 10; ++i) {
      if (net.view(i).confidence != Confidence::kWhole || net.view(i).live != 10) return false;
    }
    return true;
  }));
}

TEST(View, OfTheSmallerPartOfACutIsCutOffLongBeforeAllOthersHaveFailed) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Net net(60, seed);
    net.start_all();
    net.run(60);
    net.passes = [](int from, int to) { return (from % 3 == 1) == (to % 3 == 1); };
    int failed = -1;
    EXPECT_TRUE(net.run_until(60, [&] {
      if (net.view(1).confidence != Confidence::kCutOff) return false;
      failed = 0;
      for (Number k = 0; k < 60; ++k) failed += net.detector(1).record(k).state == State::kFailed ? 1 : 0;
      return true;
    })) << seed;
    EXPECT_LT(failed, 30);
    net.passes = {};
    EXPECT_TRUE(net.run_until(200, [&] { return net.view(1).confidence == Confidence::kWhole; })) << seed;
  }
}

// A node that comes and goes moves the others' parts of the work less and less often.
TEST(View, OneThatFlapsDoesNotMoveTheOthersEachTime) {
  Net net(8, 6);
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
    EXPECT_LT(net.node(i).moves, flaps) << "two a flap, without hysteresis";
    EXPECT_GT(net.node(i).moves, 0);
  }
}

TEST(View, ManyThatGoTogetherAreOneMoveAndNoTwoAreNearerThanStated) {
  ViewPlan plan;
  plan.hold = 0.5;  // so that it is the calm that holds them apart
  plan.most_hold = 0;
  const Self self{0, 12, 0, 1000, 1};
  Detector detector(self, {}, 1);
  std::vector<Output> out;
  detector.start(0, out);
  Views views(self, plan);
  double last = -100;
  FleetView before = views.now();
  int moves = 0;
  std::mt19937_64 random(3);
  std::uint32_t stamp = 0;
  std::vector<Incarnation> lives(12, incarnation_of(1000));
  const auto say = [&](double t, Kind kind, Number who, std::uint32_t answers) {
    Message m;
    m.kind = kind;
    m.from = m.target = who;
    m.fleet = 1;
    m.stamp = ++stamp;
    m.answers = answers;
    m.incarnation = lives[who];
    std::vector<Output> ignored;
    detector.receive(t, who, encode(m).view(), ignored);
  };
  for (double t = 0; t < 600; t += 0.25) {
    // Whoever is pinged answers.
    out.clear();
    detector.tick(t, out);
    for (const Output& o : out) {
      const auto* post = std::get_if<Post>(&o);
      Message ping;
      if (post != nullptr && decode(post->datagram.view(), 1, 12, ping) == Fault::kNone &&
          ping.kind == Kind::kPing)
        say(t, Kind::kAck, ping.target, ping.stamp);
    }
    // Each says now and then that it ends, or begins a new life.
    const auto who = static_cast<Number>(1 + random() % 11);
    lives[who] += Incarnation{1} << kObjectionBits;
    say(t, random() % 2 == 0 ? Kind::kLeaving : Kind::kAck, who, 0);
    if (const auto view = views.update(t, detector)) {
      if (view->confidence > Confidence::kCutOff && before.confidence > Confidence::kCutOff &&
          (view->rank != before.rank || view->live != before.live)) {
        EXPECT_GE(t - last, plan.calm - 1e-9);
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

// Ranks in order: when one goes, the others' parts move by the servers of one of them at most.
TEST(Coverage, OneThatGoesMovesTheOthersByNoMoreThanItsOwnPart) {
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

// While views differ: each node sees the live ones but for a few that it still misses, or still counts.
// Stated: each server is in at least one part, and in at most three times as many as in the mean.
TEST(Coverage, WhileViewsDifferEachServerIsInSomeNodesPartAndInNoneToMany) {
  std::mt19937_64 random(5);
  for (int round = 0; round < 4000; ++round) {
    const std::size_t told = 3 + random() % 120, servers = 1 + random() % 300;
    std::vector<bool> live(told);
    for (std::size_t i = 0; i < told; ++i) live[i] = random() % 10 != 0;
    live[random() % told] = true;
    const std::size_t wrong = 2;  // of the members, that a node sees otherwise than they are
    std::vector<std::size_t> covered(servers);
    std::size_t sum = 0;
    for (std::size_t i = 0; i < told; ++i) {
      if (!live[i]) continue;
      std::vector<bool> seen = live;
      for (std::size_t k = 0; k < wrong; ++k) {
        const std::size_t at = random() % told;
        if (at != i) seen[at] = !seen[at];
      }
      std::size_t rank = 0, count = 0;
      for (std::size_t k = 0; k < told; ++k) {
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
      ASSERT_GE(c, 1u) << told << " nodes, " << servers << " servers";
      ASSERT_LE(static_cast<double>(c), 3 * mean + 1) << told << " nodes, " << servers << " servers";
    }
  }
}

// By the told count alone, as before: what the dead covered stays bare.
TEST(Coverage, ByTheToldCountAServerCanBeBare) {
  constexpr std::size_t kNodes = 30, kServers = 300;
  std::vector<int> told(kServers), ranked(kServers);
  std::size_t rank = 0;
  for (std::size_t i = 0; i < kNodes; ++i) {
    const bool dead = i >= 10 && i < 16;
    if (dead) continue;
    for (const std::size_t s : subset_of(i, kNodes, kServers, size_of(kServers, kNodes))) told[s] += 1;
    for (const std::size_t s : subset_of(rank, kNodes - 6, kServers, size_of(kServers, kNodes - 6)))
      ranked[s] += 1;
    ++rank;
  }
  EXPECT_EQ(*std::min_element(told.begin(), told.end()), 0);
  EXPECT_GE(*std::min_element(ranked.begin(), ranked.end()), static_cast<int>(kCover) - 1);
}

}  // namespace
}  // namespace thymewood::membership
