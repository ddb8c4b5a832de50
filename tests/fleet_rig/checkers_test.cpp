// Each checker on made-up histories: what it has to report, and what it must not.
#include "checkers.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

#include "figures.h"
#include "history_writer.h"

namespace thymewood::fleet {
namespace {

using What = Record::What;
const Actor kFront{ActorKind::kClients, 0}, kList{ActorKind::kDiscovery, 0};
Actor node(int n) { return {ActorKind::kNode, n}; }
Actor server(int n) { return {ActorKind::kServer, n}; }

constexpr int kIdempotent = 0, kIdempotentWithKey = 1, kNotIdempotent = 2;

Rules rules() {
  Rules out;
  out.classes.resize(3);
  out.classes[kIdempotent].idempotency = Idempotency::kIdempotent;
  out.classes[kIdempotentWithKey].idempotency = Idempotency::kIdempotentWithKey;
  out.classes[kIdempotentWithKey].dedup_scope = DedupScope::kCell;
  out.classes[kIdempotentWithKey].dedup_window = 4;
  out.classes[kNotIdempotent].idempotency = Idempotency::kNotIdempotent;
  out.server_cells = {0, 0, 1, 1};
  out.server_zones = {0, 0, 0, 0};
  return out;
}

// A history that is written as a run writes it: with its beginning, its actors and their ends.
class Story {
 public:
  Story() {
    add({.t = 0.001, .what = What::kBegin, .by = kList, .limit = 20});
    add({.t = 0.002, .what = What::kActorJoined, .by = kFront});
  }
  Story& add(const Record& record) {
    history_.records.push_back(record);
    return *this;
  }
  Story& ask(double t, const std::string& id, int request_class = kNotIdempotent, int to = 0,
             double time = 1) {
    return add({.t = t,
                .what = What::kRequestSent,
                .by = kFront,
                .to = node(to),
                .id = id,
                .first = id,
                .request_class = request_class,
                .limit = t + time});
  }
  Story& came(double t, const std::string& id, int at, int from = 0, bool taken = true, double left = 0) {
    return add({.t = t,
                .what = What::kServerReceived,
                .by = server(at),
                .to = node(from),
                .id = id,
                .yes = taken,
                .left = left > 0 ? left : t,
                .work = 0.1});
  }
  Story& answer(double t, const std::string& id, int status) {
    return add({.t = t, .what = What::kResponse, .by = kFront, .to = node(0), .id = id, .status = status});
  }
  Story& just(double t, What what, const std::string& id) {
    return add({.t = t, .what = what, .by = kFront, .to = node(0), .id = id});
  }
  Story& of(double t, What what, const Actor& by, const Actor& to = {}, bool yes = false) {
    return add({.t = t, .what = what, .by = by, .to = to, .yes = yes});
  }
  Verdict verdict(bool ended = true) {
    if (ended) add({.t = 19, .what = What::kClosed, .by = kFront});
    history_.sort();
    return check_history(history_, rules());
  }
  History& history() { return history_; }

 private:
  History history_;
};

void expect_only(const Verdict& v, const std::string& rule, std::size_t times = 1) {
  EXPECT_EQ(v.of(rule), times) << rule;
  EXPECT_EQ(v.broken.size(), times);
  for (const Finding& f : v.broken) {
    if (f.rule != rule) ADD_FAILURE() << f.rule << ": " << f.what;
  }
  EXPECT_TRUE(v.blind.empty()) << v.blind.front();
}

void expect_well(const Verdict& v) {
  for (const Finding& f : v.broken) ADD_FAILURE() << f.rule << ": " << f.what;
  for (const std::string& what : v.blind) ADD_FAILURE() << what;
  EXPECT_TRUE(v.passed());
}

// ---------------------------------------------------------------- one final answer

TEST(FinalAnswer, WithinTheDeadlinePasses) {
  expect_well(Story().ask(1, "a").came(1.1, "a", 0).answer(1.5, "a", 200).verdict());
  expect_well(Story().ask(1, "a").answer(1.1, "a", 503).verdict());
}

TEST(FinalAnswer, LateLostMissingAndDuplicateAnswersAreReported) {
  expect_only(Story().ask(1, "a").answer(2.2, "a", 200).verdict(), "one-final-answer");
  expect_only(Story().ask(1, "a").just(1.4, What::kConnectionBroken, "a").verdict(), "one-final-answer");
  expect_only(Story().ask(1, "a").just(2.3, What::kClientLeft, "a").verdict(), "one-final-answer");
  expect_only(Story().ask(1, "a").answer(1.2, "a", 200).answer(1.3, "a", 200).verdict(), "one-final-answer");
}

TEST(FinalAnswer, IsNotRequiredForAClientThatDisconnectsEarly) {
  expect_well(Story().ask(1, "a").just(1.4, What::kClientLeft, "a").verdict());
}

TEST(FinalAnswer, OfAKilledOrPartitionedNodeIsExcusedAndCounted) {
  const Verdict killed =
      Story().ask(1, "a").of(1.2, What::kDown, node(0)).just(1.3, What::kConnectionBroken, "a").verdict();
  expect_well(killed);
  EXPECT_EQ(killed.excused, 1u);
  expect_well(Story()
                  .of(0.5, What::kPaused, node(0))
                  .ask(1, "a")
                  .just(2.3, What::kClientLeft, "a")
                  .of(3, What::kResumed, node(0))
                  .verdict());
  expect_well(Story()
                  .of(0.5, What::kBadLink, node(0), kFront)
                  .ask(1, "a")
                  .just(2.3, What::kClientLeft, "a")
                  .of(3, What::kGoodLink, node(0), kFront)
                  .verdict());
}

TEST(FinalAnswer, OfAnotherNodeOrAnotherTimeIsNotExcused) {
  expect_only(
      Story().ask(1, "a").of(1.2, What::kDown, node(1)).just(1.3, What::kConnectionBroken, "a").verdict(),
      "one-final-answer");
  expect_only(Story()
                  .of(0.5, What::kDown, node(0))
                  .of(0.9, What::kUp, node(0))
                  .ask(1, "a")
                  .just(1.3, What::kConnectionBroken, "a")
                  .verdict(),
              "one-final-answer");
  // A link to a server is not that to its clients.
  expect_only(Story()
                  .of(0.5, What::kBadLink, node(0), server(0))
                  .ask(1, "a")
                  .just(2.3, What::kClientLeft, "a")
                  .verdict(),
              "one-final-answer");
}

TEST(FinalAnswer, IsRequiredFromADrainingNode) {
  expect_only(
      Story().of(0.9, What::kTerm, node(0)).ask(1, "a").just(1.3, What::kConnectionBroken, "a").verdict(),
      "one-final-answer");
  expect_well(
      Story().of(0.9, What::kTerm, node(0)).ask(1.7, "a").just(1.8, What::kConnectionBroken, "a").verdict());
}

// ---------------------------------------------------------------- no double effect

TEST(DoubleEffect, OfANonIdempotentRequestThatRanTwiceIsReported) {
  expect_only(Story().ask(1, "a").came(1.1, "a", 0).came(1.3, "a", 1).answer(1.5, "a", 200).verdict(),
              "no-double-effect");
  expect_well(
      Story().ask(1, "a").came(1.1, "a", 0, 0, false).came(1.3, "a", 1).answer(1.5, "a", 200).verdict());
}

TEST(DoubleEffect, OfAKeyedRequestOutsideItsScopeOrWindowIsReported) {
  expect_well(Story()
                  .ask(1, "a", kIdempotentWithKey, 0, 9)
                  .came(1.1, "a", 0)
                  .came(1.3, "a", 1)
                  .answer(1.5, "a", 200)
                  .verdict());
  expect_only(Story()
                  .ask(1, "a", kIdempotentWithKey)
                  .came(1.1, "a", 0)
                  .came(1.3, "a", 2)
                  .answer(1.5, "a", 200)
                  .verdict(),
              "no-double-effect");
  expect_only(Story()
                  .ask(1, "a", kIdempotentWithKey, 0, 9)
                  .came(1.1, "a", 0)
                  .came(5.3, "a", 1)
                  .answer(5.5, "a", 200)
                  .verdict(),
              "no-double-effect");
}

TEST(DoubleEffect, OfARejectionAfterAPossibleRunIsReported) {
  expect_only(Story().ask(1, "a").came(1.1, "a", 0).answer(1.5, "a", 503).verdict(), "no-double-effect");
  expect_well(Story().ask(1, "a").came(1.1, "a", 0).answer(1.5, "a", 502).verdict());
  expect_well(Story().ask(1, "a").came(1.1, "a", 0, 0, false).answer(1.5, "a", 503).verdict());
  expect_well(Story().ask(1, "a", kIdempotent).came(1.1, "a", 0).answer(1.5, "a", 503).verdict());
}

TEST(DoubleEffect, OfAnAttemptSentAfterTheAnswerIsReportedAndOneInFlightIsNot) {
  expect_only(Story().ask(1, "a", kIdempotent).answer(1.2, "a", 502).came(1.6, "a", 0).verdict(),
              "no-double-effect");
  expect_well(
      Story().ask(1, "a", kIdempotent).answer(1.2, "a", 502).came(1.6, "a", 0, 0, true, 1.1).verdict());
}

// ---------------------------------------------------------------- drains, cold servers, clients who left

TEST(Drains, CountFromTheNodesOwnNotification) {
  const auto story = [](double came, int from, double left = 0) {
    return Story()
        .of(1, What::kNotified, node(0), server(0), false)
        .ask(came - 0.1, "a", kIdempotent, from)
        .came(came, "a", 0, from, true, left)
        .answer(came + 0.1, "a", 200)
        .verdict();
  };
  expect_well(story(1.9, 0));
  expect_only(story(2.2, 0), "drains-kept");
  expect_well(story(2.2, 1));
  expect_well(story(2.2, 0, 1.9));  // it had left the node in time
}

TEST(Drains, AreClearedWhenTheServerIsReadyAgainOrTheNodeRestarts) {
  expect_well(Story()
                  .of(1, What::kNotified, node(0), server(0), false)
                  .of(1.5, What::kNotified, node(0), server(0), true)
                  .ask(3, "a")
                  .came(3.1, "a", 0)
                  .answer(3.2, "a", 200)
                  .verdict());
  expect_well(Story()
                  .of(1, What::kNotified, node(0), server(0), false)
                  .of(1.5, What::kDown, node(0))
                  .of(1.8, What::kUp, node(0))
                  .ask(3, "a")
                  .came(3.1, "a", 0)
                  .answer(3.2, "a", 200)
                  .verdict());
}

TEST(ColdServers, AreOverloadedByTheSumOfAllNodes) {
  const auto story = [](int nodes, double cold) {
    Story s;
    for (int i = 0; i < 20; ++i) {
      const std::string id = "a" + std::to_string(i);
      s.ask(1 + i * 0.01, id, kIdempotent, i % nodes);
      s.add({.t = 1.001 + i * 0.01,
             .what = What::kServerReceived,
             .by = server(0),
             .to = node(i % nodes),
             .id = id,
             .yes = true,
             .left = 1.001 + i * 0.01,
             .work = 0.1,
             .cold = cold});
      s.answer(1.9, id, 200);
    }
    return s.verdict();
  };
  expect_only(story(10, 0.4), "cold-servers");
  expect_well(story(10, 0.6));  // 2 s of work, under 4 x 0.6
  expect_well(story(10, 0));    // it is warm
}

TEST(Abandoned, SendLongAfterTheClientDisconnectedIsReported) {
  const auto story = [](double came, double left) {
    return Story()
        .ask(1, "a", kIdempotent)
        .just(1.3, What::kClientLeft, "a")
        .came(came, "a", 0, 0, true, left)
        .verdict();
  };
  expect_well(story(1.4, 1.4));
  expect_only(story(3.5, 3.5), "abandoned");
  expect_well(story(3.5, 1.4));
  // That the node was stopped is no excuse: the close was there to be seen when it woke.
  expect_only(Story()
                  .of(0.9, What::kPaused, node(0))
                  .ask(1, "a", kIdempotent)
                  .just(1.3, What::kClientLeft, "a")
                  .of(3.4, What::kResumed, node(0))
                  .came(3.5, "a", 0)
                  .verdict(),
              "abandoned");
  expect_well(Story()
                  .of(0.9, What::kBadLink, kFront, node(0))
                  .ask(1, "a", kIdempotent)
                  .just(1.3, What::kClientLeft, "a")
                  .came(3.5, "a", 0)
                  .of(4, What::kGoodLink, kFront, node(0))
                  .verdict());
}

// Usage of two nodes each second of twenty, with a fault from 5 to 8 s; node 1 ends as it is said.
Story with_usage(int descriptors, int kilobytes, double healed = 8, int kept = 0) {
  Story s;
  s.ask(0.5, "a").answer(0.6, "a", 200);
  s.of(5, What::kFault, kList).of(healed, What::kHealed, kList);
  for (int t = 1; t < 19; ++t) {
    for (int n = 0; n < 2; ++n) {
      const bool late = n == 1 && t > 8;
      Record r;
      r.t = t;
      r.what = What::kUsage;
      r.by = node(n);
      r.count = late ? descriptors : 40;
      r.tier = late ? kept : 0;
      r.status = late ? kilobytes : 9000;
      s.add(r);
    }
  }
  return s;
}

TEST(Levels, OfDescriptorsAndMemoryMustReturnToTheBaseline) {
  expect_well(with_usage(60, 12000).verdict());
  expect_only(with_usage(100, 9000).verdict(), "levels");
  expect_well(with_usage(100, 9000, 8, 50).verdict());  // its clients keep them open
  expect_only(with_usage(40, 30000).verdict(), "levels");
  expect_well(with_usage(100, 30000, 15).verdict());  // too soon to say
}

TEST(Crashes, AreReported) {
  expect_only(Story().ask(1, "a").answer(1.1, "a", 503).of(2, What::kCrash, node(3)).verdict(), "crash");
}

// ---------------------------------------------------------------- sight

TEST(Sight, CheckerWithoutItsInputReportsItself) {
  EXPECT_FALSE(Story().ask(1, "a").answer(1.1, "a", 200).verdict(false).passed())
      << "a party that was killed";
  EXPECT_FALSE(Story().verdict().passed()) << "nobody asked anything";
  EXPECT_FALSE(Story().ask(1, "a").answer(1.1, "a", 200).came(1, "b", 0).verdict().passed())
      << "a request that nobody asked";
  Story cut;
  cut.ask(1, "a").answer(1.1, "a", 200);
  cut.history().unread = 1;
  EXPECT_FALSE(cut.verdict().passed()) << "a line that is cut short";
  History none;
  EXPECT_FALSE(check_history(none, rules()).passed());
}

TEST(Sight, RigLatenessExtendsAllSlacksAndVoidsTheRunBeyondALimit) {
  const auto story = [](double late) {
    return Story()
        .ask(1, "a")
        .answer(2.3, "a", 200)
        .add({.t = 5, .what = What::kLate, .by = kList, .work = late})
        .verdict();
  };
  expect_only(story(0.1), "one-final-answer");
  expect_well(story(0.3));
  EXPECT_TRUE(story(1.5).void_run);
}

TEST(Records, RoundTripThroughTheirLines) {
  Record r{.t = 1.25,
           .what = What::kServerReceived,
           .by = server(3),
           .to = node(2),
           .id = "x\"y",
           .first = "f",
           .request_class = 2,
           .tenant = 1,
           .tier = 1,
           .count = 7,
           .status = 503,
           .yes = true,
           .limit = 3.5,
           .left = 1.125,
           .work = 0.25,
           .cold = 0.5,
           .wait = 0.75,
           .note = "n"};
  const std::optional<Record> back = from_line(to_line(r));
  ASSERT_TRUE(back);
  EXPECT_EQ(to_line(*back), to_line(r));
  EXPECT_EQ(back->id, r.id);
  EXPECT_EQ(back->by, r.by);
  EXPECT_DOUBLE_EQ(back->left, r.left);
  for (const char* bad :
       {"", "{", "[]", "{\"t\":1}", "{\"t\":1,\"what\":\"dance\"}", "{\"t\":1,\"what\":\"as"})
    EXPECT_FALSE(from_line(bad)) << bad;
}

TEST(Records, FromBeforeTheBeginningHaveNegativeTimes) {
  const std::string path = testing::TempDir() + "/history_" + std::to_string(::getpid()) + ".jsonl";
  {
    HistoryWriter historian(path);
    historian.add({.what = What::kUp, .by = node(1)});
    historian.begin(5);
    historian.add({.what = What::kBegin, .by = kList});
    historian.flush();
  }
  const History back = History::read(path);
  ASSERT_EQ(back.records.size(), 2u);
  EXPECT_EQ(back.records[0].what, What::kUp);
  EXPECT_LE(back.records[0].t, -5);
  std::ofstream(path, std::ios::app) << "{\"t\":1,\"wha";
  EXPECT_EQ(History::read(path).unread, 1u);
  std::remove(path.c_str());
  EXPECT_THROW(History::read(path), std::runtime_error);
}

// ---------------------------------------------------------------- figures

TEST(Figures, CountOperationsClientAttemptsAndAttemptsAtEachTier) {
  bench::Scenario s = bench::parse_scenario(
      "seconds = 10\n[[class]]\nname = \"c\"\naim_ms = 1000\n[[load]]\nrate = 5\n[[servers]]\ncount = 4\n",
      "t");
  Story story;
  for (int i = 0; i < 100; ++i) {
    const double t = 0.1 * i + 0.01;
    const std::string id = "w" + std::to_string(i);
    story.add({.t = t, .what = What::kOperationBegan, .by = kFront, .first = id});
    story.ask(t + 0.001, id, 0);
    story.came(t + 0.01, id, 0);
    if (i % 4 == 0) story.came(t + 0.02, id, 1);
    const bool lost = i >= 40 && i < 60;  // a fault from 4 to 6 s
    story.add({.t = t + 0.05,
               .what = What::kOperationEnded,
               .by = kFront,
               .first = id,
               .status = lost ? 503 : 200});
  }
  story.add({.t = 4, .what = What::kFault, .by = kList, .note = "x"});
  story.add({.t = 6, .what = What::kHealed, .by = kList, .note = "x"});
  story.history().sort();
  const Figures f = figures_of(story.history(), s);
  EXPECT_DOUBLE_EQ(f.wanted, 100);
  EXPECT_DOUBLE_EQ(f.served, 80);
  EXPECT_DOUBLE_EQ(f.rejected, 20);
  EXPECT_DOUBLE_EQ(f.client_attempts, 1);
  EXPECT_DOUBLE_EQ(f.first_tier, 1.25);
  EXPECT_DOUBLE_EQ(f.worst_second, 0);
  EXPECT_DOUBLE_EQ(f.recovery, 0) << "well from the second in which it was over";
  ASSERT_EQ(f.faults.size(), 1u);
}

TEST(Figures, RecoveryRunsFromTheLastFaultsEndUntilServiceStaysNormal) {
  bench::Scenario s = bench::parse_scenario(
      "seconds = 20\n[[class]]\nname = \"c\"\n[[load]]\nrate = 5\n[[servers]]\ncount = 4\n", "t");
  const auto recovery = [&s](double until) {
    Story story;
    for (int i = 0; i < 200; ++i) {
      const double t = 0.1 * i + 0.01;
      const std::string id = "w" + std::to_string(i);
      story.add({.t = t, .what = What::kOperationBegan, .by = kFront, .first = id});
      const bool lost = t > 4 && t < until;
      story.add({.t = t + 0.01,
                 .what = What::kOperationEnded,
                 .by = kFront,
                 .first = id,
                 .status = lost ? 0 : 200});
    }
    story.add({.t = 4, .what = What::kFault, .by = kList, .note = "x"});
    story.add({.t = 6, .what = What::kHealed, .by = kList, .note = "x"});
    story.history().sort();
    return figures_of(story.history(), s).recovery;
  };
  EXPECT_DOUBLE_EQ(recovery(6), 0);
  EXPECT_DOUBLE_EQ(recovery(9), 3);
  EXPECT_DOUBLE_EQ(recovery(30), -1) << "never";
}

}  // namespace
}  // namespace thymewood::fleet
