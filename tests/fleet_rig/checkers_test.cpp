// Each checker on constructed histories: violations are reported, permitted behavior is not.
#include "checkers.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

#include "figures.h"
#include "history_writer.h"

namespace thymewood::fleet {
namespace {

using What = Record::What;
const Actor kClients{ActorKind::kClients, 0}, kDiscovery{ActorKind::kDiscovery, 0};
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

// Builds a complete history as a run writes it, with the records of its beginning, actors and end.
class HistoryBuilder {
 public:
  HistoryBuilder() {
    add({.t = 0.001, .what = What::kBegin, .by = kDiscovery, .limit = 20});
    add({.t = 0.002, .what = What::kActorJoined, .by = kClients});
  }
  HistoryBuilder& add(const Record& record) {
    history_.records.push_back(record);
    return *this;
  }
  HistoryBuilder& request_sent(double t, const std::string& id, int request_class = kNotIdempotent,
                               int to = 0, double time = 1) {
    return add({.t = t,
                .what = What::kRequestSent,
                .by = kClients,
                .to = node(to),
                .id = id,
                .operation_id = id,
                .request_class = request_class,
                .limit = t + time});
  }
  HistoryBuilder& server_received(double t, const std::string& id, int at, int from = 0, bool executed = true,
                                  double last_byte_sent_at = 0) {
    return add({.t = t,
                .what = What::kServerReceived,
                .by = server(at),
                .to = node(from),
                .id = id,
                .flag = executed,
                .last_byte_sent_at = last_byte_sent_at > 0 ? last_byte_sent_at : t,
                .work = 0.1});
  }
  HistoryBuilder& response(double t, const std::string& id, int status) {
    return add({.t = t, .what = What::kResponse, .by = kClients, .to = node(0), .id = id, .status = status});
  }
  HistoryBuilder& client_event(double t, What what, const std::string& id) {
    return add({.t = t, .what = what, .by = kClients, .to = node(0), .id = id});
  }
  HistoryBuilder& actor_event(double t, What what, const Actor& by, const Actor& to = {}, bool flag = false) {
    return add({.t = t, .what = what, .by = by, .to = to, .flag = flag});
  }
  Verdict verdict(bool ended = true) {
    if (ended) add({.t = 19, .what = What::kClosed, .by = kClients});
    history_.sort();
    return check_history(history_, rules());
  }
  History& history() { return history_; }

 private:
  History history_;
};

void expect_only_violation_of(const Verdict& v, const std::string& rule, std::size_t times = 1) {
  EXPECT_EQ(v.violation_count(rule), times) << rule;
  EXPECT_EQ(v.violations.size(), times);
  for (const Finding& f : v.violations) {
    if (f.rule != rule) ADD_FAILURE() << f.rule << ": " << f.what;
  }
  EXPECT_TRUE(v.missing_input.empty()) << v.missing_input.front();
}

void expect_passed(const Verdict& v) {
  for (const Finding& f : v.violations) ADD_FAILURE() << f.rule << ": " << f.what;
  for (const std::string& problem : v.missing_input) ADD_FAILURE() << problem;
  EXPECT_TRUE(v.passed());
}

// ---------------------------------------------------------------- one final answer

TEST(FinalAnswer, WithinTheDeadlinePasses) {
  expect_passed(
      HistoryBuilder().request_sent(1, "a").server_received(1.1, "a", 0).response(1.5, "a", 200).verdict());
  expect_passed(HistoryBuilder().request_sent(1, "a").response(1.1, "a", 503).verdict());
}

TEST(FinalAnswer, LateLostMissingAndDuplicateAnswersAreReported) {
  expect_only_violation_of(HistoryBuilder().request_sent(1, "a").response(2.2, "a", 200).verdict(),
                           "one-final-answer");
  expect_only_violation_of(
      HistoryBuilder().request_sent(1, "a").client_event(1.4, What::kConnectionBroken, "a").verdict(),
      "one-final-answer");
  expect_only_violation_of(
      HistoryBuilder().request_sent(1, "a").client_event(2.3, What::kClientDisconnected, "a").verdict(),
      "one-final-answer");
  expect_only_violation_of(
      HistoryBuilder().request_sent(1, "a").response(1.2, "a", 200).response(1.3, "a", 200).verdict(),
      "one-final-answer");
}

TEST(FinalAnswer, IsNotRequiredForAClientThatDisconnectsEarly) {
  expect_passed(
      HistoryBuilder().request_sent(1, "a").client_event(1.4, What::kClientDisconnected, "a").verdict());
}

TEST(FinalAnswer, OfAKilledOrPartitionedNodeIsExcusedAndCounted) {
  const Verdict killed = HistoryBuilder()
                             .request_sent(1, "a")
                             .actor_event(1.2, What::kDown, node(0))
                             .client_event(1.3, What::kConnectionBroken, "a")
                             .verdict();
  expect_passed(killed);
  EXPECT_EQ(killed.excused, 1u);
  expect_passed(HistoryBuilder()
                    .actor_event(0.5, What::kPaused, node(0))
                    .request_sent(1, "a")
                    .client_event(2.3, What::kClientDisconnected, "a")
                    .actor_event(3, What::kResumed, node(0))
                    .verdict());
  expect_passed(HistoryBuilder()
                    .actor_event(0.5, What::kLinkFaulty, node(0), kClients)
                    .request_sent(1, "a")
                    .client_event(2.3, What::kClientDisconnected, "a")
                    .actor_event(3, What::kLinkRestored, node(0), kClients)
                    .verdict());
}

TEST(FinalAnswer, OfAnotherNodeOrAnotherTimeIsNotExcused) {
  expect_only_violation_of(HistoryBuilder()
                               .request_sent(1, "a")
                               .actor_event(1.2, What::kDown, node(1))
                               .client_event(1.3, What::kConnectionBroken, "a")
                               .verdict(),
                           "one-final-answer");
  expect_only_violation_of(HistoryBuilder()
                               .actor_event(0.5, What::kDown, node(0))
                               .actor_event(0.9, What::kUp, node(0))
                               .request_sent(1, "a")
                               .client_event(1.3, What::kConnectionBroken, "a")
                               .verdict(),
                           "one-final-answer");
  // A fault on the node's link to a server does not excuse the node's clients.
  expect_only_violation_of(HistoryBuilder()
                               .actor_event(0.5, What::kLinkFaulty, node(0), server(0))
                               .request_sent(1, "a")
                               .client_event(2.3, What::kClientDisconnected, "a")
                               .verdict(),
                           "one-final-answer");
}

TEST(FinalAnswer, IsRequiredFromADrainingNode) {
  expect_only_violation_of(HistoryBuilder()
                               .actor_event(0.9, What::kTerm, node(0))
                               .request_sent(1, "a")
                               .client_event(1.3, What::kConnectionBroken, "a")
                               .verdict(),
                           "one-final-answer");
  expect_passed(HistoryBuilder()
                    .actor_event(0.9, What::kTerm, node(0))
                    .request_sent(1.7, "a")
                    .client_event(1.8, What::kConnectionBroken, "a")
                    .verdict());
}

// ---------------------------------------------------------------- no double effect

TEST(DoubleEffect, OfANonIdempotentRequestThatRanTwiceIsReported) {
  expect_only_violation_of(HistoryBuilder()
                               .request_sent(1, "a")
                               .server_received(1.1, "a", 0)
                               .server_received(1.3, "a", 1)
                               .response(1.5, "a", 200)
                               .verdict(),
                           "no-double-effect");
  expect_passed(HistoryBuilder()
                    .request_sent(1, "a")
                    .server_received(1.1, "a", 0, 0, false)
                    .server_received(1.3, "a", 1)
                    .response(1.5, "a", 200)
                    .verdict());
}

TEST(DoubleEffect, OfAKeyedRequestOutsideItsScopeOrWindowIsReported) {
  expect_passed(HistoryBuilder()
                    .request_sent(1, "a", kIdempotentWithKey, 0, 9)
                    .server_received(1.1, "a", 0)
                    .server_received(1.3, "a", 1)
                    .response(1.5, "a", 200)
                    .verdict());
  expect_only_violation_of(HistoryBuilder()
                               .request_sent(1, "a", kIdempotentWithKey)
                               .server_received(1.1, "a", 0)
                               .server_received(1.3, "a", 2)
                               .response(1.5, "a", 200)
                               .verdict(),
                           "no-double-effect");
  expect_only_violation_of(HistoryBuilder()
                               .request_sent(1, "a", kIdempotentWithKey, 0, 9)
                               .server_received(1.1, "a", 0)
                               .server_received(5.3, "a", 1)
                               .response(5.5, "a", 200)
                               .verdict(),
                           "no-double-effect");
}

TEST(DoubleEffect, OfARejectionAfterAPossibleRunIsReported) {
  expect_only_violation_of(
      HistoryBuilder().request_sent(1, "a").server_received(1.1, "a", 0).response(1.5, "a", 503).verdict(),
      "no-double-effect");
  expect_passed(
      HistoryBuilder().request_sent(1, "a").server_received(1.1, "a", 0).response(1.5, "a", 502).verdict());
  expect_passed(HistoryBuilder()
                    .request_sent(1, "a")
                    .server_received(1.1, "a", 0, 0, false)
                    .response(1.5, "a", 503)
                    .verdict());
  expect_passed(HistoryBuilder()
                    .request_sent(1, "a", kIdempotent)
                    .server_received(1.1, "a", 0)
                    .response(1.5, "a", 503)
                    .verdict());
}

TEST(DoubleEffect, OfAnAttemptSentAfterTheAnswerIsReportedAndOneInFlightIsNot) {
  expect_only_violation_of(HistoryBuilder()
                               .request_sent(1, "a", kIdempotent)
                               .response(1.2, "a", 502)
                               .server_received(1.6, "a", 0)
                               .verdict(),
                           "no-double-effect");
  expect_passed(HistoryBuilder()
                    .request_sent(1, "a", kIdempotent)
                    .response(1.2, "a", 502)
                    .server_received(1.6, "a", 0, 0, true, 1.1)
                    .verdict());
}

// ---------------------------------------------------------------- drains, cold servers, disconnected clients

TEST(Drains, CountFromTheNodesOwnNotification) {
  const auto verdict_of = [](double received_at, int from, double last_byte_sent_at = 0) {
    return HistoryBuilder()
        .actor_event(1, What::kNotified, node(0), server(0), false)
        .request_sent(received_at - 0.1, "a", kIdempotent, from)
        .server_received(received_at, "a", 0, from, true, last_byte_sent_at)
        .response(received_at + 0.1, "a", 200)
        .verdict();
  };
  expect_passed(verdict_of(1.9, 0));
  expect_only_violation_of(verdict_of(2.2, 0), "drains-kept");
  expect_passed(verdict_of(2.2, 1));
  expect_passed(verdict_of(2.2, 0, 1.9));  // sent by the node in time
}

TEST(Drains, AreClearedWhenTheServerIsReadyAgainOrTheNodeRestarts) {
  expect_passed(HistoryBuilder()
                    .actor_event(1, What::kNotified, node(0), server(0), false)
                    .actor_event(1.5, What::kNotified, node(0), server(0), true)
                    .request_sent(3, "a")
                    .server_received(3.1, "a", 0)
                    .response(3.2, "a", 200)
                    .verdict());
  expect_passed(HistoryBuilder()
                    .actor_event(1, What::kNotified, node(0), server(0), false)
                    .actor_event(1.5, What::kDown, node(0))
                    .actor_event(1.8, What::kUp, node(0))
                    .request_sent(3, "a")
                    .server_received(3.1, "a", 0)
                    .response(3.2, "a", 200)
                    .verdict());
}

TEST(ColdServers, AreOverloadedByTheSumOfAllNodes) {
  const auto verdict_of = [](int nodes, double cold) {
    HistoryBuilder s;
    for (int i = 0; i < 20; ++i) {
      const std::string id = "a" + std::to_string(i);
      s.request_sent(1 + i * 0.01, id, kIdempotent, i % nodes);
      s.add({.t = 1.001 + i * 0.01,
             .what = What::kServerReceived,
             .by = server(0),
             .to = node(i % nodes),
             .id = id,
             .flag = true,
             .last_byte_sent_at = 1.001 + i * 0.01,
             .work = 0.1,
             .cold_capacity = cold});
      s.response(1.9, id, 200);
    }
    return s.verdict();
  };
  expect_only_violation_of(verdict_of(10, 0.4), "cold-servers");
  expect_passed(verdict_of(10, 0.6));  // 2 s of work, under 4 x 0.6
  expect_passed(verdict_of(10, 0));    // the server is warm
}

TEST(Abandoned, SendLongAfterTheClientDisconnectedIsReported) {
  const auto verdict_of = [](double received_at, double last_byte_sent_at) {
    return HistoryBuilder()
        .request_sent(1, "a", kIdempotent)
        .client_event(1.3, What::kClientDisconnected, "a")
        .server_received(received_at, "a", 0, 0, true, last_byte_sent_at)
        .verdict();
  };
  expect_passed(verdict_of(1.4, 1.4));
  expect_only_violation_of(verdict_of(3.5, 3.5), "abandoned");
  expect_passed(verdict_of(3.5, 1.4));
  // A paused node is not excused: it can see the disconnect as soon as it resumes.
  expect_only_violation_of(HistoryBuilder()
                               .actor_event(0.9, What::kPaused, node(0))
                               .request_sent(1, "a", kIdempotent)
                               .client_event(1.3, What::kClientDisconnected, "a")
                               .actor_event(3.4, What::kResumed, node(0))
                               .server_received(3.5, "a", 0)
                               .verdict(),
                           "abandoned");
  expect_passed(HistoryBuilder()
                    .actor_event(0.9, What::kLinkFaulty, kClients, node(0))
                    .request_sent(1, "a", kIdempotent)
                    .client_event(1.3, What::kClientDisconnected, "a")
                    .server_received(3.5, "a", 0)
                    .actor_event(4, What::kLinkRestored, kClients, node(0))
                    .verdict());
}

// Usage of two nodes in each second of a run of twenty, with a fault from 5 s to `healed`, by default 8 s.
// After 8 s node 1 has the given usage.
HistoryBuilder with_usage(int descriptors, int kilobytes, double healed = 8, int kept = 0) {
  HistoryBuilder s;
  s.request_sent(0.5, "a").response(0.6, "a", 200);
  s.actor_event(5, What::kFault, kDiscovery).actor_event(healed, What::kFaultEnded, kDiscovery);
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

TEST(Usage, OfDescriptorsAndMemoryMustReturnToTheBaseline) {
  expect_passed(with_usage(60, 12000).verdict());
  expect_only_violation_of(with_usage(100, 9000).verdict(), "levels");
  expect_passed(with_usage(100, 9000, 8, 50).verdict());  // clients keep 50 of them open
  expect_only_violation_of(with_usage(40, 30000).verdict(), "levels");
  expect_passed(with_usage(100, 30000, 15).verdict());  // the fault ends too late to compare
}

TEST(Crashes, AreReported) {
  expect_only_violation_of(HistoryBuilder()
                               .request_sent(1, "a")
                               .response(1.1, "a", 503)
                               .actor_event(2, What::kCrash, node(3))
                               .verdict(),
                           "crash");
}

// ---------------------------------------------------------------- completeness

TEST(Completeness, MissingCheckerInputFailsTheRun) {
  EXPECT_FALSE(HistoryBuilder().request_sent(1, "a").response(1.1, "a", 200).verdict(false).passed())
      << "an actor that did not write its last record";
  EXPECT_FALSE(HistoryBuilder().verdict().passed()) << "no client sent a request";
  EXPECT_FALSE(HistoryBuilder()
                   .request_sent(1, "a")
                   .response(1.1, "a", 200)
                   .server_received(1, "b", 0)
                   .verdict()
                   .passed())
      << "an attempt of a request that no client sent";
  HistoryBuilder truncated;
  truncated.request_sent(1, "a").response(1.1, "a", 200);
  truncated.history().unparsed_lines = 1;
  EXPECT_FALSE(truncated.verdict().passed()) << "a truncated line";
  History empty;
  EXPECT_FALSE(check_history(empty, rules()).passed());
}

TEST(Completeness, RigLatenessExtendsAllTolerancesAndVoidsTheRunBeyondALimit) {
  const auto verdict_of = [](double late) {
    return HistoryBuilder()
        .request_sent(1, "a")
        .response(2.3, "a", 200)
        .add({.t = 5, .what = What::kLate, .by = kDiscovery, .work = late})
        .verdict();
  };
  expect_only_violation_of(verdict_of(0.1), "one-final-answer");
  expect_passed(verdict_of(0.3));
  EXPECT_TRUE(verdict_of(1.5).void_run);
}

TEST(Records, RoundTripThroughTheirLines) {
  Record r{.t = 1.25,
           .what = What::kServerReceived,
           .by = server(3),
           .to = node(2),
           .id = "x\"y",
           .operation_id = "f",
           .request_class = 2,
           .tenant = 1,
           .tier = 1,
           .count = 7,
           .status = 503,
           .flag = true,
           .limit = 3.5,
           .last_byte_sent_at = 1.125,
           .work = 0.25,
           .cold_capacity = 0.5,
           .wait = 0.75,
           .note = "n"};
  const std::optional<Record> back = from_line(to_line(r));
  ASSERT_TRUE(back);
  EXPECT_EQ(to_line(*back), to_line(r));
  EXPECT_EQ(back->id, r.id);
  EXPECT_EQ(back->by, r.by);
  EXPECT_DOUBLE_EQ(back->last_byte_sent_at, r.last_byte_sent_at);
  for (const char* malformed :
       {"", "{", "[]", "{\"t\":1}", "{\"t\":1,\"what\":\"dance\"}", "{\"t\":1,\"what\":\"as"})
    EXPECT_FALSE(from_line(malformed)) << malformed;
}

TEST(Records, FromBeforeTheBeginningHaveNegativeTimes) {
  const std::string path = testing::TempDir() + "/history_" + std::to_string(::getpid()) + ".jsonl";
  {
    HistoryWriter writer(path);
    writer.add({.what = What::kUp, .by = node(1)});
    writer.begin(5);
    writer.add({.what = What::kBegin, .by = kDiscovery});
    writer.flush();
  }
  const History back = History::read(path);
  ASSERT_EQ(back.records.size(), 2u);
  EXPECT_EQ(back.records[0].what, What::kUp);
  EXPECT_LE(back.records[0].t, -5);
  std::ofstream(path, std::ios::app) << "{\"t\":1,\"wha";
  EXPECT_EQ(History::read(path).unparsed_lines, 1u);
  std::remove(path.c_str());
  EXPECT_THROW(History::read(path), std::runtime_error);
}

// ---------------------------------------------------------------- figures

TEST(Figures, CountOperationsClientAttemptsAndAttemptsAtEachTier) {
  bench::Scenario s = bench::parse_scenario(
      "seconds = 10\n[[class]]\nname = \"c\"\naim_ms = 1000\n[[load]]\nrate = 5\n[[servers]]\ncount = 4\n",
      "t");
  HistoryBuilder builder;
  for (int i = 0; i < 100; ++i) {
    const double t = 0.1 * i + 0.01;
    const std::string id = "w" + std::to_string(i);
    builder.add({.t = t, .what = What::kOperationBegan, .by = kClients, .operation_id = id});
    builder.request_sent(t + 0.001, id, 0);
    builder.server_received(t + 0.01, id, 0);
    if (i % 4 == 0) builder.server_received(t + 0.02, id, 1);
    const bool lost = i >= 40 && i < 60;  // while the fault lasts, from 4 to 6 s
    builder.add({.t = t + 0.05,
                 .what = What::kOperationEnded,
                 .by = kClients,
                 .operation_id = id,
                 .status = lost ? 503 : 200});
  }
  builder.add({.t = 4, .what = What::kFault, .by = kDiscovery, .note = "x"});
  builder.add({.t = 6, .what = What::kFaultEnded, .by = kDiscovery, .note = "x"});
  builder.history().sort();
  const Figures f = compute_figures(builder.history(), s);
  EXPECT_DOUBLE_EQ(f.wanted, 100);
  EXPECT_DOUBLE_EQ(f.served, 80);
  EXPECT_DOUBLE_EQ(f.rejected, 20);
  EXPECT_DOUBLE_EQ(f.client_attempts, 1);
  EXPECT_DOUBLE_EQ(f.first_tier, 1.25);
  EXPECT_DOUBLE_EQ(f.min_second_share, 0);
  EXPECT_DOUBLE_EQ(f.recovery_seconds, 0) << "recovered in the second in which the fault ended";
  ASSERT_EQ(f.faults.size(), 1u);
}

TEST(Figures, RecoveryRunsFromTheLastFaultsEndUntilServiceStaysNormal) {
  bench::Scenario s = bench::parse_scenario(
      "seconds = 20\n[[class]]\nname = \"c\"\n[[load]]\nrate = 5\n[[servers]]\ncount = 4\n", "t");
  const auto recovery = [&s](double until) {
    HistoryBuilder builder;
    for (int i = 0; i < 200; ++i) {
      const double t = 0.1 * i + 0.01;
      const std::string id = "w" + std::to_string(i);
      builder.add({.t = t, .what = What::kOperationBegan, .by = kClients, .operation_id = id});
      const bool lost = t > 4 && t < until;
      builder.add({.t = t + 0.01,
                   .what = What::kOperationEnded,
                   .by = kClients,
                   .operation_id = id,
                   .status = lost ? 0 : 200});
    }
    builder.add({.t = 4, .what = What::kFault, .by = kDiscovery, .note = "x"});
    builder.add({.t = 6, .what = What::kFaultEnded, .by = kDiscovery, .note = "x"});
    builder.history().sort();
    return compute_figures(builder.history(), s).recovery_seconds;
  };
  EXPECT_DOUBLE_EQ(recovery(6), 0);
  EXPECT_DOUBLE_EQ(recovery(9), 3);
  EXPECT_DOUBLE_EQ(recovery(30), -1) << "never recovers";
}

}  // namespace
}  // namespace thymewood::fleet
