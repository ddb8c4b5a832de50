// The checker of the nodes' views of the replica set (fleet-views), on constructed histories.
#include "views.h"

#include <gtest/gtest.h>

#include "checkers.h"

namespace thymewood::fleet {
namespace {

using What = Record::What;
Actor node(int n) { return {ActorKind::kNode, n}; }

Record view(double t, int by, int live_count, int max_count, int reachable_count) {
  Record r;
  r.t = t;
  r.what = What::kView;
  r.by = node(by);
  r.note = "epoch=4 rank=0 live_count=" + std::to_string(live_count) +
           " max_count=" + std::to_string(max_count) + " reachable_count=" + std::to_string(reachable_count) +
           " configured_count=3 connectivity=partial settling=true";
  return r;
}
Record of(double t, What what, int by) {
  Record r;
  r.t = t;
  r.what = what;
  r.by = node(by);
  return r;
}

// Checks a history of three nodes that all reach each other, followed by the records of `more`.
Verdict verdict_with(std::vector<Record> more, double end = 20) {
  History h;
  for (int i = 0; i < 3; ++i) h.records.push_back(of(0, What::kUp, i));
  for (int i = 0; i < 3; ++i) h.records.push_back(view(1, i, 3, 3, 3));
  h.records.insert(h.records.end(), more.begin(), more.end());
  h.records.push_back(of(end, What::kUsage, 0));
  h.sort();
  Rules rules;
  rules.view_convergence_time = 5;
  Verdict out;
  check_views(h, rules, out);
  return out;
}

TEST(ReplicaSetViews, AreParsedFromLogFieldsAndEarlierSentences) {
  Record r = view(1, 2, 9, 10, 8);
  const std::string suppressed = "suppressed=7 " + r.note;
  const std::string sentence = "4: rank 0 of 9, reckons with 10, reaches 8 of 3, part, moving";
  for (const std::string& note : {r.note, suppressed, sentence}) {
    r.note = note;
    const auto seen = parse_view(r);
    ASSERT_TRUE(seen) << note;
    EXPECT_EQ(seen->epoch, 4);
    EXPECT_EQ(seen->rank, 0);
    EXPECT_EQ(seen->live_count, 9);
    EXPECT_EQ(seen->max_count, 10);
    EXPECT_EQ(seen->reachable_count, 8);
    EXPECT_EQ(seen->configured_count, 3);
    EXPECT_EQ(seen->connectivity, "partial");
    EXPECT_TRUE(seen->is_settling);
  }
  for (const char* note : {"4: rank 0 of 3, reckons with 3, reaches 1 of 3, cut off",
                           "epoch=4 rank=0 live_count=3 max_count=3 reachable_count=1 configured_count=3 "
                           "connectivity=partitioned settling=false"}) {
    r.note = note;
    ASSERT_TRUE(parse_view(r)) << note;
    EXPECT_EQ(parse_view(r)->connectivity, "partitioned");
    EXPECT_FALSE(parse_view(r)->is_settling);
  }
  for (const char* note : {"4: something else", "epoch=4 rank=0 live_count=3"}) {
    r.note = note;
    EXPECT_FALSE(parse_view(r)) << note;
  }
  r = view(1, 2, 9, 10, 8);
  r.what = What::kFault;
  EXPECT_FALSE(parse_view(r));
}

TEST(ReplicaSetViews, ThatFollowTheRunningNodesPass) {
  const Verdict v = verdict_with({of(8, What::kDown, 1), view(10, 0, 2, 3, 2), view(11, 2, 2, 3, 2)});
  EXPECT_TRUE(v.passed()) << (v.violations.empty() ? v.missing_input.front() : v.violations.front().what);
}

TEST(ReplicaSetViews, ThatStayOutdatedAreReported) {
  EXPECT_EQ(verdict_with({of(8, What::kDown, 1), view(10, 0, 2, 3, 2)}).violation_count("fleet-views"), 1u)
      << "node 2 has not noticed that node 1 is down";
  EXPECT_EQ(verdict_with({of(8, What::kDown, 1), view(10, 0, 2, 3, 2), view(11, 2, 2, 3, 2),
                          of(13, What::kUp, 1), view(14, 0, 3, 3, 3), view(14, 1, 3, 3, 3)})
                .violation_count("fleet-views"),
            1u)
      << "node 2 has not noticed that node 1 is up again";
}

TEST(ReplicaSetViews, AreNotCheckedDuringChangesOrBrokenLinks) {
  EXPECT_TRUE(verdict_with({of(8, What::kDown, 1), of(12, What::kUp, 1), of(16, What::kDown, 1),
                            view(17, 0, 2, 3, 2), view(18, 2, 2, 3, 2)},
                           22)
                  .passed());
  EXPECT_TRUE(verdict_with({of(8, What::kLinkFaulty, 1)}).passed());
}

TEST(ReplicaSetViews, ThatCountFewerNodesThanRunAreReportedAtOnce) {
  EXPECT_EQ(verdict_with({view(9, 0, 2, 2, 3), view(9.5, 0, 3, 3, 3)}).violation_count("fleet-views"), 1u);
  EXPECT_EQ(
      verdict_with({of(8, What::kTerm, 1), view(9, 0, 2, 2, 2), view(9, 2, 2, 2, 2), of(9.5, What::kDown, 1)})
          .violation_count("fleet-views"),
      0u)
      << "a node that was sent SIGTERM does not have to be counted";
  // A paused node continues when it resumes, so it has to be counted.
  EXPECT_EQ(verdict_with({of(8, What::kPaused, 1), view(10, 0, 2, 2, 2), view(10, 2, 2, 3, 2)})
                .violation_count("fleet-views"),
            1u);
}

TEST(ReplicaSetViews, ThatAreMissingOrUnreadableLeaveTheCheckInconclusive) {
  Record unreadable = view(9, 0, 3, 3, 3);
  unreadable.note = "all is well";
  EXPECT_EQ(verdict_with({unreadable}).missing_input.size(), 1u);
  EXPECT_EQ(verdict_with({of(8, What::kUp, 3)}).missing_input.size(), 1u) << "a fourth node logs no view";
  EXPECT_EQ(verdict_with({of(18, What::kDown, 1)}).missing_input.size(), 1u)
      << "the run ends too soon after the last change";
}

}  // namespace
}  // namespace thymewood::fleet
