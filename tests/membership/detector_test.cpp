// The failure detector in a network of its own, in virtual time, over many seeds: who dies is found dead by
// all that live, who lives is not, and what false or old datagrams say changes nothing that they may not.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "simulated_network.h"

namespace thymewood::membership {
namespace {

// What the fleet as a whole takes, where all reach each other: some node's turn comes within a few periods,
// and others come to the same result, or the suspect's time runs out. `most_until_failed` is the bound for a
// single node that has nobody to help it; this is the usual case, and is what the operators' page states.
double soon(int nodes) {
  const Plan plan;
  const double log10 = std::max(1.0, std::log10(nodes));
  return 8 * plan.period + plan.suspicion * log10 * plan.suspicion_most * plan.period;
}

TEST(Detector, AFleetThatStartsTogetherHearsOfEveryone) {
  for (const int nodes : {2, 3, 10, 60}) {
    Net net(nodes, 7);
    net.start_all();
    EXPECT_TRUE(net.run_until(4.0 * nodes + 10, [&] {
      for (int i = 0; i < nodes; ++i) {
        for (int k = 0; k < nodes; ++k) {
          if (net.detector(i).record(static_cast<Number>(k)).incarnation == 0) return false;
        }
      }
      return true;
    })) << nodes;
    EXPECT_EQ(net.falsely_failed(), 0);
    EXPECT_LE(net.longest, kMostBytes);
  }
}

// Completeness, over seeds and sizes.
TEST(Detector, ADeadNodeIsFailedAtAllThatLive) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const int nodes = 2 + static_cast<int>(seed * 7 % 39);
    Net net(nodes, seed);
    net.weather.loss = seed % 3 == 0 ? 0.05 : 0;
    net.start_all();
    net.run(15);
    const int dead = static_cast<int>(seed) % nodes;
    net.kill(dead);
    EXPECT_TRUE(net.run_until(2 * soon(nodes),
                              [&] { return net.all_hold(static_cast<Number>(dead), State::kFailed); }))
        << nodes << " nodes, seed " << seed;
    net.run(30);
    EXPECT_TRUE(net.all_hold(static_cast<Number>(dead), State::kFailed)) << "and stays so";
    EXPECT_EQ(net.falsely_failed({dead}), 0) << nodes << " nodes, seed " << seed;
  }
}

TEST(Detector, ADeadNodeOfThreeHundredIsFailedInTheStatedTime) {
  Net net(300, 11);
  net.start_all();
  net.run(20);
  net.kill(123);
  EXPECT_TRUE(net.run_until(soon(300), [&] { return net.all_hold(123, State::kFailed); }));
  EXPECT_EQ(net.falsely_failed({123}), 0);
}

TEST(Detector, OfTwoTheOneThatIsLeftFindsItWithinTheBound) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Net net(2, seed);
    net.start_all();
    net.run(5);
    net.kill(1);
    // Its own doubt stretches its periods: nobody else is there to say that it is well.
    EXPECT_TRUE(net.run_until(Detector::most_until_failed({}, 2) * (1 + Plan{}.most_doubt), [&] {
      return net.all_hold(1, State::kFailed);
    })) << seed;
  }
}

// Accuracy: with a fifth of all datagrams lost, and others doubled and overtaken.
TEST(Detector, LossAloneFailsNobodyForLong) {
  int failed = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Net net(30, seed);
    net.weather = {0.005, 0.02, 0.2, 0.1, 0.1};
    net.start_all();
    net.run(300);
    failed += net.falsely_failed();
    net.weather.loss = 0;
    EXPECT_TRUE(net.run_until(60, [&] { return net.agree(); })) << "seed " << seed;
  }
  EXPECT_EQ(failed, 0) << "in ten node hours";
}

// What is said of suspects and by them has to get through in what datagrams can carry.
TEST(Detector, LossInAFleetOfHundredsDoesNotDrownTheObjections) {
  Net net(160, 5);
  net.weather.loss = 0.2;
  net.start_all();
  net.run(120);
  EXPECT_EQ(net.falsely_failed(), 0);
  std::uint64_t suspicions = 0;
  for (int i = 0; i < net.size(); ++i) suspicions += net.detector(i).counts().suspicions;
  EXPECT_LT(suspicions / 160, 60u)
      << "accusations that each node had to hear of, in two minutes of 160 pings a second";
}

TEST(Detector, WithoutFaultsNobodyIsEvenSuspected) {
  Net net(50, 3);
  net.start_all();
  net.run(600);
  for (int i = 0; i < net.size(); ++i) {
    EXPECT_EQ(net.detector(i).counts().suspicions, 0u);
    EXPECT_EQ(net.detector(i).doubt(), 0);
    EXPECT_EQ(net.detector(i).counts().unanswered, 0u);
  }
}

TEST(Detector, BytesANodeDoNotHangOnTheSizeOfTheFleet) {
  std::map<int, double> a_second;
  for (const int nodes : {3, 30, 150}) {
    Net net(nodes, 5);
    net.start_all();
    net.run(60);  // until all have met
    const std::uint64_t before = net.detector(0).counts().sent_bytes;
    net.run(60);
    a_second[nodes] = static_cast<double>(net.detector(0).counts().sent_bytes - before) / 60;
  }
  for (const auto& [nodes, bytes] : a_second) {
    EXPECT_LE(bytes, 3 * kMostBytes) << nodes << ": a ping and an answer a second, and rarely more";
    EXPECT_GT(bytes, 0);
  }
}

// ---------------------------------------------------------------- links

TEST(Detector, AOneWayLinkIsGoneRoundByOthers) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Net net(8, seed);
    net.passes = [](int from, int to) { return !(from == 2 && to == 5); };
    net.start_all();
    net.run(200);
    EXPECT_EQ(net.falsely_failed(), 0) << seed;
    EXPECT_GT(net.detector(2).counts().helped + net.detector(5).counts().helped, 0u);
  }
}

TEST(Detector, TwoThatDoNotMeetAreHeldTogetherByTheThird) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Net net(3, seed);
    net.passes = [](int from, int to) { return !(from + to == 1); };  // 0 and 1
    net.start_all();
    net.run(300);
    EXPECT_EQ(net.falsely_failed(), 0) << seed;
    EXPECT_GT(net.detector(0).counts().helped, 0u);
  }
}

TEST(Detector, AZoneThatIsCutOffIsFailedOutsideAndComesBackWhenItIsHealed) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Net net(12, seed);
    net.start_all();
    net.run(15);
    net.passes = [](int from, int to) { return (from % 3 == 1) == (to % 3 == 1); };
    net.run(150);
    std::vector<int> outside;
    for (int i = 0; i < 12; ++i) {
      if (i % 3 != 1) outside.push_back(i);
    }
    for (const int gone : {1, 4, 7, 10}) {
      EXPECT_TRUE(net.all_hold(static_cast<Number>(gone), State::kFailed, outside)) << seed;
      EXPECT_EQ(net.detector(1).record(static_cast<Number>(gone)).state, State::kAlive)
          << "within it all is well";
    }
    net.passes = {};
    EXPECT_TRUE(net.run_until(60, [&] { return net.agree(); })) << "seed " << seed;
  }
}

// ---------------------------------------------------------------- lives

TEST(Detector, ARestartWithinAPeriodIsANewLifeAndNobodyFails) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Net net(6, seed);
    net.weather = {0.01, 0.2, 0, 0, 0.2};  // the old life's datagrams are still on their way
    net.start_all();
    net.run(10);
    const Incarnation before = net.detector(0).record(4).incarnation;
    net.kill(4);
    net.run(0.05);
    net.start(4);
    net.run(30);
    for (const int i : {0, 1, 2, 3, 5}) EXPECT_GT(net.detector(i).record(4).incarnation, before);
    net.weather = {};
    EXPECT_TRUE(net.run_until(30, [&] { return net.agree(); })) << seed;
    EXPECT_EQ(net.falsely_failed(), 0) << seed;
  }
}

TEST(Detector, ANodeWhoseClockWasSetBackIsHeardAllTheSame) {
  Net net(6, 9);
  net.start_all();
  net.run(10);
  net.kill(4);
  net.node(4).clock = 3'600'000;
  net.node(4).clock_back = true;
  net.run(0.5);
  net.start(4);
  const Incarnation old = net.detector(0).record(4).incarnation;
  EXPECT_TRUE(net.run_until(60, [&] {
    const Incarnation own = net.detector(4).record(4).incarnation;
    for (const int i : {0, 1, 2, 3, 5}) {
      if (net.detector(i).record(4).incarnation != own) return false;
    }
    return own > old && net.agree();
  }));
  EXPECT_FALSE(net.detector(4).conflict()) << "its own old life is no other node";
}

TEST(Detector, AllThatStartAnewAtOnceFindEachOther) {
  Net net(40, 13);
  net.start_all();
  net.run(20);
  for (int i = 0; i < 40; ++i) net.kill(i);
  net.run(1);
  net.start_all();
  EXPECT_TRUE(net.run_until(120, [&] { return net.agree(); }));
  EXPECT_EQ(net.falsely_failed(), 0);
}

TEST(Detector, ANodeThatEndsByItsOwnWordIsNeverSuspected) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Net net(20, seed);
    net.start_all();
    net.run(10);
    net.leave(6);
    net.run(0.1);
    EXPECT_TRUE(net.all_hold(6, State::kLeft));
    net.run(60);
    EXPECT_TRUE(net.all_hold(6, State::kLeft));
    for (int i = 0; i < 20; ++i) EXPECT_EQ(net.detector(i).counts().suspicions, 0u);
    net.start(6);
    EXPECT_TRUE(net.run_until(60, [&] { return net.agree(); })) << "and comes back";
  }
}

// ---------------------------------------------------------------- pauses

TEST(Detector, ANodeThatWasStoppedAndWakesBlamesNobody) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Net net(10, seed);
    net.start_all();
    net.run(10);
    net.pause(3);
    net.run(10);
    net.resume(3);
    net.run(60);
    for (const Change& c : net.node(3).changes) EXPECT_NE(c.now.state, State::kFailed) << "seed " << seed;
    EXPECT_GE(net.detector(3).counts().aways, 1u);
    EXPECT_TRUE(net.run_until(30, [&] { return net.agree(); })) << "and it is one of them again";
  }
}

TEST(Detector, AStarvedNodeDoubtsItselfBeforeOthers) {
  int failed = 0, suspected = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Net net(15, seed);
    net.node(2).late = 0.9;
    net.start_all();
    net.run(200);
    for (const Change& c : net.node(2).changes) failed += c.now.state == State::kFailed ? 1 : 0;
    suspected += static_cast<int>(net.detector(2).counts().suspicions);
  }
  EXPECT_EQ(failed, 0) << "of " << suspected << " that it suspected";
}

// Its own link is the likelier fault: it takes longer over everything, and accuses the fewer.
TEST(Detector, ANodeThatHearsNobodyDoubtsItself) {
  Net net(20, 3);
  net.start_all();
  net.run(30);
  const std::uint64_t before = net.detector(7).counts().pings;
  net.passes = [](int, int to) { return to != 7; };
  net.run(90);
  EXPECT_EQ(net.detector(7).doubt(), Plan{}.most_doubt);
  EXPECT_LT(net.detector(7).counts().pings - before, 20u) << "of 90 without doubt";
  EXPECT_EQ(net.view(7).confidence, Confidence::kCutOff);
  net.passes = {};
  EXPECT_TRUE(net.run_until(200, [&] { return net.agree() && net.detector(7).doubt() == 0; }))
      << "and gets over it";
}

// ---------------------------------------------------------------- false datagrams

Message from_node(Net& net, int from) {
  Message m;
  m.kind = Kind::kPing;
  m.fleet = net.fleet();
  m.from = static_cast<Number>(from);
  m.target = 0;
  m.stamp = 1'000'000;
  m.peers = static_cast<std::uint16_t>(net.size());
  m.incarnation = net.detector(from).record(static_cast<Number>(from)).incarnation;
  return m;
}

// "Nothing that one false datagram says may remove more than its own sender."
TEST(FalseWord, OfOneDatagramTakesAwayNobodyElse) {
  for (const State state : {State::kSuspect, State::kFailed, State::kLeft}) {
    Net net(16, 4);
    net.start_all();
    net.run(60);
    Message m = from_node(net, 5);
    for (int i = 0; i < 16; ++i) {
      if (i == 0 || i == 5 || m.records.size() == kMostRecords) continue;
      Record r = net.detector(0).record(static_cast<Number>(i));
      r.state = state;
      r.by = static_cast<Number>((i + 1) % 16);
      m.records.push_back(r);
    }
    net.inject(0, 5, encode(m));
    for (int i = 1; i < 16; ++i) {
      EXPECT_LT(net.detector(0).record(static_cast<Number>(i)).state, State::kFailed) << "at once";
    }
    net.run(120);
    EXPECT_EQ(net.falsely_failed(), 0) << "nor later: each objects in time, though all were accused at once";
    EXPECT_TRUE(net.agree());
  }
}

TEST(FalseWord, OfManyAccusersInOneDatagramCountsOnce) {
  Net net(9, 4);
  net.passes = [](int, int to) { return to != 0; };  // node 0 hears nobody but what is injected
  net.start_all();
  net.run(0.01);
  Message m = from_node(net, 5);
  Record accused;
  accused.number = 3;
  accused.state = State::kSuspect;
  accused.incarnation = net.detector(3).record(3).incarnation;
  for (const int by : {1, 2, 4, 5, 6, 7}) {
    accused.by = static_cast<Number>(by);
    m.records.push_back(accused);
  }
  net.inject(0, 5, encode(m));
  ASSERT_EQ(net.detector(0).record(3).state, State::kSuspect);
  const double least = Detector::least_suspicion({}, 9);
  net.run(least * 1.5);
  EXPECT_EQ(net.detector(0).record(3).state, State::kSuspect) << "six accusers would be done by now";
  net.run(least * Plan{}.suspicion_most);
  EXPECT_EQ(net.detector(0).record(3).state, State::kFailed);
}

TEST(FalseWord, OfAHigherLifeRaisesItsOwnerAboveIt) {
  Net net(8, 4);
  net.start_all();
  net.run(30);
  Message m = from_node(net, 5);
  Record r = net.detector(0).record(2);
  r.incarnation += Incarnation{1} << 30;
  m.records.push_back(r);
  net.inject(0, 5, encode(m));
  EXPECT_TRUE(net.run_until(
      60, [&] { return net.detector(2).record(2).incarnation > r.incarnation && net.agree(); }));
}

TEST(FalseWord, IsCountedByItsKindAndDropped) {
  Net net(4, 4);
  net.start_all();
  net.run(20);
  const auto inject = [&](std::optional<Number> from, const std::function<void(Message&)>& change) {
    Message m = from_node(net, 2);
    change(m);
    net.inject(0, from, encode(m));
  };
  const Record before = net.detector(0).record(2);
  const auto ending = [](Message& m) { m.kind = Kind::kLeaving; };
  inject(std::nullopt, ending);
  inject(Number{3}, ending);
  EXPECT_EQ(net.detector(0).counts().strangers, 2u) << "from nobody's address, and from another's";
  inject(Number{2}, [&](Message& m) {
    ending(m);
    m.fleet += 1;
  });
  EXPECT_EQ(net.detector(0).counts().other_fleet, 1u);
  inject(Number{2}, [&](Message& m) {
    ending(m);
    m.incarnation -= Incarnation{1} << kObjectionBits;
  });
  EXPECT_EQ(net.detector(0).counts().old, 1u);
  Datagram d = encode(from_node(net, 2));
  d.bytes[20] ^= 1;
  net.inject(0, Number{2}, d);
  EXPECT_EQ(net.detector(0).counts().damaged, 1u);
  EXPECT_EQ(net.detector(0).record(2), before) << "none of them said anything";
  inject(Number{2}, ending);
  EXPECT_EQ(net.detector(0).record(2).state, State::kLeft) << "the same from its own address does";
}

TEST(FalseWord, ThatWasTrueOnceIsDroppedWhenItIsPlayedAgain) {
  Net net(6, 8);
  net.keep = true;
  net.start_all();
  net.run(20);
  const auto seen = net.seen;
  net.keep = false;
  // An accusation that was objected to, a life that is over, pings: all of it, from the addresses it came
  // from.
  net.kill(3);
  net.run(0.2);
  net.start(3);
  net.run(20);
  std::vector<Incarnation> before;
  for (int i = 0; i < 6; ++i) {
    for (Number k = 0; k < 6; ++k) before.push_back(net.detector(i).record(k).incarnation);
  }
  const std::uint64_t repeated = net.detector(0).counts().repeated, old = net.detector(0).counts().old;
  for (const auto& [from, to, datagram] : seen) net.inject(to, static_cast<Number>(from), datagram);
  net.run(60);
  std::size_t at = 0;
  for (int i = 0; i < 6; ++i) {
    for (Number k = 0; k < 6; ++k)
      EXPECT_EQ(net.detector(i).record(k).incarnation, before[at++]) << "at " << i << " of " << k;
  }
  EXPECT_GT(net.detector(0).counts().repeated, repeated);
  EXPECT_GT(net.detector(0).counts().old, old);
  EXPECT_EQ(net.falsely_failed(), 0);
}

// No incarnation ever goes down, at any node, whatever happens.
TEST(Detector, NeverTakesALowerIncarnation) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Net net(8, seed);
    net.weather = {0.01, 0.3, 0.1, 0.3, 0.3};
    net.start_all();
    std::map<std::pair<int, int>, Incarnation> highest;
    std::mt19937_64 random(seed);
    for (int step = 0; step < 60; ++step) {
      const int who = static_cast<int>(random() % 8);
      Net::Node& n = net.node(who);
      switch (random() % 5) {
        case 0:
          if (n.up && !n.paused) net.pause(who);
          break;
        case 1:
          if (n.up && n.paused) net.resume(who);
          break;
        case 2:
          net.kill(who);
          break;
        case 3:
          if (n.up && !n.paused) net.leave(who);
          break;
        default:
          if (!n.up) {
            net.start(who);
            for (int k = 0; k < 8; ++k) highest.erase({who, k});  // a new life knows nothing
          }
      }
      net.run(1.5);
      for (int i = 0; i < 8; ++i) {
        if (!net.node(i).up) continue;
        for (int k = 0; k < 8; ++k) {
          const Incarnation now = net.detector(i).record(static_cast<Number>(k)).incarnation;
          ASSERT_GE(now, (highest[{i, k}])) << "seed " << seed << " step " << step;
          highest[{i, k}] = now;
        }
      }
    }
    for (int i = 0; i < 8; ++i) {
      if (!net.node(i).up) net.start(i);
      if (net.node(i).paused) net.resume(i);
    }
    net.weather = {};
    EXPECT_TRUE(net.run_until(90, [&] { return net.agree(); })) << "and all find together, seed " << seed;
    EXPECT_LE(net.longest, kMostBytes);
  }
}

// ---------------------------------------------------------------- installations

TEST(Detector, AFleetThatGrowsMixesOnceAllKnowOfAll) {
  Net net(12, 21);
  for (int i = 0; i < 8; ++i) net.start(i, 8);
  net.run(20);
  for (int i = 8; i < 12; ++i) net.start(i, 12);
  net.run(60);
  for (int i = 0; i < 8; ++i) {
    for (Number k = 0; k < 8; ++k)
      EXPECT_EQ(net.detector(i).record(k).state, State::kAlive)
          << "the old ones do not hear the new ones' word";
  }
  EXPECT_GT(net.detector(0).counts().senseless, 0u) << "a number that it does not know";
  for (int i = 0; i < 8; ++i) {
    net.kill(i);
    net.start(i, 12);
    net.run(3);
  }
  EXPECT_TRUE(net.run_until(120, [&] { return net.agree(); }));
}

TEST(Detector, TwoWithOneNumberAreSeenAndTheRestGoesOn) {
  Net net(5, 17);
  net.start_all();
  net.run(20);
  // Another process that has node 4's number and address, started later: as 4 speaks, it speaks.
  for (int i = 0; i < 4; ++i) {
    net.run(3);
    Message m = from_node(net, 1);
    Record r = net.detector(4).record(4);
    r.incarnation += Incarnation{1} << kObjectionBits;
    m.records.push_back(r);
    m.stamp += static_cast<std::uint32_t>(i);
    net.inject(4, 1, encode(m));
  }
  EXPECT_TRUE(net.detector(4).conflict());
  EXPECT_EQ(net.view(4).confidence, Confidence::kCutOff)
      << "it does not know which part of the work is its own";
  net.run(60);
  for (int i = 0; i < 4; ++i) {
    for (Number k = 0; k < 4; ++k) EXPECT_EQ(net.detector(i).record(k).state, State::kAlive);
  }
}

TEST(Detector, RefusesPlansThatCanNotBe) {
  const auto refuses = [](Self self, Plan plan) {
    try {
      Detector(self, plan, 1);
      return std::string();
    } catch (const std::invalid_argument& problem) {
      return std::string(problem.what());
    }
  };
  const Self good{1, 3, 0, 1000, 1};
  EXPECT_EQ(refuses(good, {}), "");
  Self self = good;
  self.number = 3;
  EXPECT_NE(refuses(self, {}).find("number"), std::string::npos);
  self = good;
  self.start_ms = 0;
  EXPECT_NE(refuses(self, {}).find("start_ms"), std::string::npos);
  Plan plan;
  plan.period = 0;
  EXPECT_NE(refuses(good, plan).find("period"), std::string::npos);
  plan = {};
  plan.answer_part = 1;
  EXPECT_NE(refuses(good, plan).find("answer_part"), std::string::npos);
}

}  // namespace
}  // namespace thymewood::membership
