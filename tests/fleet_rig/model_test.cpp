// The deterministic parts of the fleet rig: selection of actors, planning of faults, and link shaping.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <set>

#include "actors.h"
#include "link_table.h"
#include "planner.h"
#include "player.h"
#include "scenario.h"

namespace thymewood::fleet {
namespace {

using bench::ActorKind;
using bench::Scenario;
using bench::Selector;

constexpr const char* kBaseScenario =
    "seconds = 10\n[[class]]\nname = \"c\"\n[[load]]\nrate = 5\n[[servers]]\ncount = 3\nzone = "
    "0\n[[servers]]\n"
    "count = 2\nzone = 1\n[[node]]\ncount = 2\nzone = 0\n[[node]]\ncount = 2\nzone = 1\n";

Scenario scenario_of(const std::string& rest) {
  return bench::parse_scenario(kBaseScenario + rest, "t.toml");
}

std::string error_of(const std::string& rest) {
  try {
    scenario_of(rest);
    return "";
  } catch (const std::runtime_error& error) {
    return error.what();
  }
}

std::vector<int> numbers(const std::vector<Actor>& all) {
  std::vector<int> out;
  for (const Actor& actor : all) out.push_back(actor.number);
  return out;
}

std::vector<int> picked(const std::string& text, std::uint64_t seed = 1) {
  std::string why;
  const std::optional<Selector> selector = Selector::parse(text, why);
  EXPECT_TRUE(selector) << why;
  bench::Random random(seed);
  return numbers(selector->pick(scenario_of("").topology(), random));
}

// ---------------------------------------------------------------- selectors

TEST(Selectors, SelectOneARangeAllAndAShare) {
  EXPECT_EQ(picked("node:2"), std::vector<int>{2});
  EXPECT_EQ(picked("server:1-3"), (std::vector<int>{1, 2, 3}));
  EXPECT_EQ(picked("node:*"), (std::vector<int>{0, 1, 2, 3}));
  EXPECT_EQ(picked("discovery"), std::vector<int>{0});
  EXPECT_EQ(picked(""), std::vector<int>{});
  EXPECT_EQ(picked("node:50%").size(), 2u);
  EXPECT_EQ(picked("server:100%").size(), 5u);
  EXPECT_EQ(picked("server:40%", 7), picked("server:40%", 7)) << "the seed determines the draw";
  std::set<std::vector<int>> drawn;
  for (std::uint64_t seed = 0; seed < 50; ++seed) drawn.insert(picked("node:25%", seed));
  EXPECT_EQ(drawn.size(), 4u) << "every node is drawn with some seed";
}

TEST(Selectors, OfAZoneSelectItsNodesAndServers) {
  std::string why;
  bench::Random random(1);
  const std::vector<Actor> zone = Selector::parse("zone:1", why)->pick(scenario_of("").topology(), random);
  EXPECT_EQ(
      zone,
      (std::vector<Actor>{
          {ActorKind::kNode, 2}, {ActorKind::kNode, 3}, {ActorKind::kServer, 3}, {ActorKind::kServer, 4}}));
}

TEST(Selectors, ThatMatchNothingAreErrorsWithTheirLine) {
  for (const char* who : {"node:4", "node:3-9", "server:x", "nodes", "zone:9", "zone:", "node:120%",
                          "node:2-1", "callers:1", "backend:0", "inner:*", ""}) {
    const std::string error =
        error_of("[[fault]]\nat = 1\nwhat = \"cut\"\nwho = \"" + std::string(who) + "\"\n");
    EXPECT_NE(error.find("t.toml:"), std::string::npos) << who << ": " << error;
    EXPECT_NE(error.find("who"), std::string::npos) << who << ": " << error;
  }
}

// ---------------------------------------------------------------- fleet tables of a scenario

TEST(FleetTables, InvalidValueIsAnErrorThatNamesTheLine) {
  const std::pair<const char*, const char*> invalid[] = {
      {"[[fault]]\nwhat = \"explode\"\nwho = \"node:0\"\n", "has to be one of kill"},
      {"[[fault]]\nwhat = \"pause\"\nwho = \"server:0\"\n", "meets nodes alone"},
      {"[[fault]]\nwhat = \"pause\"\nwho = \"zone:0\"\n", "meets nodes alone"},
      {"[[fault]]\nwhat = \"pause\"\nwho = \"node:0\"\nto = \"server:0\"\n", "'to' is for faults of links"},
      {"[[fault]]\nwhat = \"clock\"\nwho = \"server:0\"\n", "meets nodes alone"},
      {"[[fault]]\nwhat = \"disk_read_only\"\nwho = \"server:0\"\n", "meets nodes alone"},
      {"[[fault]]\nwhat = \"lag\"\nwho = \"node:0\"\n", "meets discovery alone"},
      {"[[fault]]\nwhat = \"slow_link\"\nwho = \"node:0\"\n", "bytes a second"},
      {"[[fault]]\nwhat = \"starve\"\nwho = \"node:0\"\nshare = 1\n", "between 0 and 1"},
      {"[[fault]]\nwhat = \"cut\"\nwho = \"node:0\"\nflap = 1\n", "needs 'lasts'"},
      {"[[fault]]\nwhat = \"cut\"\nwho = \"node:0\"\nlast = 1\n", "is not a key here"},
      {"[clients]\nretry = 1\n", "is not a key here"},
      {"[chain]\ncalls = 2\n", "[[backend]]"},
      {"[[backend]]\ncount = 2\n", "[chain]"},
      {"[[link]]\nfrom = \"node:0\"\nto = \"server:9\"\n", "there are 5 of these"},
      {"[[link]]\nfrom = \"node:0\"\nloss = 2\n", "from 0 to 1"}};
  for (const auto& [text, what] : invalid) {
    const std::string error = error_of(text);
    EXPECT_NE(error.find(what), std::string::npos) << text << error;
    EXPECT_EQ(error.find("t.toml:"), 0u) << error;
  }
  EXPECT_NE(error_of("copies = 2\n"), "") << "not allowed together with [[node]]";
}

TEST(FleetTables, VirtualTimePlayerNamesUnsupportedTables) {
  for (const char* text : {"[[fault]]\nwhat = \"kill\"\nwho = \"node:0\"\n", "[clients]\nnotice_s = 1\n"}) {
    const Scenario s = bench::parse_scenario(
        "seconds = 1\n[[class]]\nname = \"c\"\n[[load]]\nrate = 5\n[[servers]]\ncount = 3\n" +
            std::string(text),
        "t.toml");
    try {
      bench::play(s, bench::Front::kModule, 1);
      FAIL() << "ignored without an error: " << text;
    } catch (const std::runtime_error& error) {
      EXPECT_EQ(std::string(error.what()).find("t.toml:8: "), 0u) << error.what();
    }
  }
}

TEST(FleetTables, AllScenariosCanBeReadAndPlanned) {
  int scenario_count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(FLEET_SCENARIOS)) {
    const Scenario s = bench::read_scenario(entry.path());
    const std::vector<Step> steps = plan(s, 1);
    for (const Step& step : steps) {
      EXPECT_GE(step.at, 0) << entry.path();
      EXPECT_LE(step.at, s.seconds) << entry.path() << ": a fault that ends after the run";
    }
    ++scenario_count;
  }
  EXPECT_GE(scenario_count, 12);
}

// ---------------------------------------------------------------- planning

TEST(Planner, PlanIsDeterminedByTheSeed) {
  const Scenario s = scenario_of(
      "[[fault]]\nat = 1\nlasts = 2\nwhat = \"kill\"\nwho = \"node:50%\"\n"
      "[[fault]]\nat = 2\nlasts = 2\nwhat = \"pause\"\nwho = \"node:50%\"\n");
  const auto who = [&s](std::uint64_t seed) {
    std::vector<std::vector<int>> out;
    for (const Step& step : plan(s, seed)) out.push_back(numbers(step.actors));
    return out;
  };
  EXPECT_EQ(who(3), who(3));
  std::set<std::vector<std::vector<int>>> all;
  for (std::uint64_t seed = 1; seed < 40; ++seed) all.insert(who(seed));
  EXPECT_GT(all.size(), 10u) << "the actors of the two faults are drawn independently";
}

TEST(Planner, FaultEndsForTheSameActorsItBeganFor) {
  const std::vector<Step> steps =
      plan(scenario_of("[[fault]]\nat = 1\nlasts = 2\nwhat = \"kill\"\nwho = \"node:50%\"\n"), 5);
  ASSERT_EQ(steps.size(), 2u);
  EXPECT_EQ(steps[0].what, Step::What::kFaultBegins);
  EXPECT_EQ(steps[1].what, Step::What::kFaultEnds);
  EXPECT_EQ(steps[0].actors, steps[1].actors);
  EXPECT_EQ(steps[0].interval_id, steps[1].interval_id);
  EXPECT_DOUBLE_EQ(steps[1].at, 3);
}

TEST(Planner, ExpandsFlappingAndStaggeredFaults) {
  const std::vector<Step> flaps =
      plan(scenario_of("[[fault]]\nat = 1\nlasts = 1.5\nflap = 0.5\nwhat = \"cut\"\nwho = \"node:0\"\n"), 1);
  std::vector<double> times;
  for (const Step& step : flaps) times.push_back(step.at);
  EXPECT_EQ(times, (std::vector<double>{1, 1.5, 2, 2.5}));
  const std::vector<Step> staggered = plan(
      scenario_of("[[fault]]\nat = 1\nlasts = 0.5\nstagger = 2\nwhat = \"kill\"\nwho = \"node:0-1\"\n"), 1);
  ASSERT_EQ(staggered.size(), 4u);
  EXPECT_EQ(numbers(staggered[0].actors), std::vector<int>{0});
  EXPECT_EQ(numbers(staggered[2].actors), std::vector<int>{1});
  EXPECT_DOUBLE_EQ(staggered[2].at, 3);
}

bool has(const std::vector<DirectedLink>& links, Actor from, Actor to) {
  return std::find(links.begin(), links.end(), DirectedLink{from, to}) != links.end();
}

TEST(Planner, CutIsBidirectionalAndCutToIsOneWay) {
  const Actor node{ActorKind::kNode, 0}, server{ActorKind::kServer, 3}, clients{ActorKind::kClients, 0};
  const auto links = [](const std::string& what, const std::string& to) {
    return plan(scenario_of("[[fault]]\nat = 1\nwhat = \"" + what + "\"\nwho = \"node:0\"\nto = \"" + to +
                            "\"\n"),
                1)
        .front()
        .links;
  };
  const std::vector<DirectedLink> both = links("cut", "server:3");
  EXPECT_EQ(both.size(), 2u);
  EXPECT_TRUE(has(both, node, server) && has(both, server, node));
  const std::vector<DirectedLink> one = links("cut_to", "server:3");
  EXPECT_EQ(one, (std::vector<DirectedLink>{{node, server}}));
  const std::vector<DirectedLink> back =
      plan(scenario_of("[[fault]]\nat = 1\nwhat = \"cut_to\"\nwho = \"server:3\"\nto = "
                       "\"node:0\"\n"),
           1)
          .front()
          .links;
  EXPECT_EQ(back, (std::vector<DirectedLink>{{server, node}}))
      << "against the direction in which the link connects";
  EXPECT_TRUE(has(links("cut", ""), clients, node)) << "from all other actors";
}

TEST(Planner, ZonePartitionLeavesLinksWithinTheZone) {
  const std::vector<DirectedLink> links =
      plan(scenario_of("[[fault]]\nat = 1\nwhat = \"cut\"\nwho = \"zone:1\"\n"), 1).front().links;
  const Actor inside{ActorKind::kNode, 2}, outside{ActorKind::kNode, 0}, inside_server{ActorKind::kServer, 3},
      outside_server{ActorKind::kServer, 0};
  EXPECT_TRUE(has(links, inside, outside_server) && has(links, outside_server, inside) &&
              has(links, inside_server, outside));
  EXPECT_TRUE(has(links, inside, outside) && has(links, outside, inside))
      << "the datagram links between nodes too";
  EXPECT_FALSE(has(links, inside, inside_server) || has(links, inside_server, inside) ||
               has(links, outside, outside_server));
  // Clients and discovery belong to no zone, so they are cut off too, unless 'to' selects other actors.
  EXPECT_TRUE(has(links, inside, {ActorKind::kDiscovery, 0}));
}

// ---------------------------------------------------------------- link shaping

TEST(Direction, CombinesActiveFaultsAndDropsEndedOnes) {
  Direction d;
  d.add_fault(1, {.delay = 0.1});
  d.add_fault(2, {.delay = 0.2, .loss = 0.5, .rate = 1000});
  d.add_fault(3, {.loss = 0.5, .rate = 500, .cut = true});
  EXPECT_DOUBLE_EQ(d.shape().delay, 0.1 + 0.2);
  EXPECT_DOUBLE_EQ(d.shape().loss, 0.75);
  EXPECT_DOUBLE_EQ(d.shape().rate, 500);
  EXPECT_TRUE(d.cut());
  d.remove_fault(3);
  EXPECT_FALSE(d.cut());
  EXPECT_DOUBLE_EQ(d.shape().rate, 1000);
  d.remove_fault(1);
  d.remove_fault(2);
  EXPECT_DOUBLE_EQ(d.shape().delay, 0);
}

TEST(Direction, StreamStaysInOrderAndWithinItsRate) {
  Direction d;
  d.add_fault(1, {.delay = 0.05, .jitter = 0.1, .loss = 0.2});
  bench::Random random(1);
  double free = 0, last = 0, now = 0;
  for (int i = 0; i < 1000; ++i, now += 0.001) {
    const double due = d.stream_delivery_time(now, 100, free, random);
    EXPECT_GE(due, last);
    EXPECT_GE(due, now + 0.05);
    last = due;
  }
  Direction slow;
  slow.add_fault(1, {.rate = 1000});
  free = 0;
  for (int i = 0; i < 10; ++i) last = slow.stream_delivery_time(0, 100, free, random);
  EXPECT_NEAR(last, 1, 1e-9) << "1,000 bytes at 1,000 bytes a second";
}

TEST(Direction, DatagramLossDuplicationAndReorderingMatchTheirShares) {
  bench::Random random(1);
  const auto count = [&random](const Shape& shape) {
    Direction d;
    d.add_fault(1, shape);
    int lost = 0, duplicated = 0, reordered = 0;
    double latest = 0;
    constexpr int kDatagrams = 20000;
    for (int i = 0; i < kDatagrams; ++i) {
      const std::vector<double> dues = d.datagram_delivery_times(i * 0.001, 10, random);
      lost += dues.empty() ? 1 : 0;
      duplicated += dues.size() == 2 ? 1 : 0;
      if (dues.empty()) continue;
      reordered += dues[0] < latest ? 1 : 0;
      latest = std::max(latest, dues[0]);
    }
    return std::vector<double>{lost / double{kDatagrams}, duplicated / double{kDatagrams},
                               reordered / double{kDatagrams}};
  };
  EXPECT_EQ(count({}), (std::vector<double>{0, 0, 0}));
  EXPECT_EQ(count({.cut = true})[0], 1);
  EXPECT_NEAR(count({.loss = 0.2})[0], 0.2, 0.02);
  EXPECT_NEAR(count({.duplicate = 0.3})[1], 0.3, 0.02);
  EXPECT_GT(count({.reorder = 0.1})[2], 0.05);
  EXPECT_EQ(count({.delay = 0.01})[2], 0) << "a constant delay reorders no datagrams";
}

}  // namespace
}  // namespace thymewood::fleet
