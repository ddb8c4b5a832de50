// The judge of how nodes see their fleet, on histories that are planted.
#include "views.h"

#include <gtest/gtest.h>

#include "checkers.h"

namespace thymewood::fleet {
namespace {

using What = Record::What;
Actor node(int n) { return {ActorKind::kNode, n}; }

Record view(double t, int by, int live, int bound, int reached) {
  Record r;
  r.t = t;
  r.what = What::kView;
  r.by = node(by);
  r.note = "4: rank 0 of " + std::to_string(live) + ", reckons with " + std::to_string(bound) + ", reaches " +
           std::to_string(reached) + " of 3, part, moving";
  return r;
}
Record of(double t, What what, int by) {
  Record r;
  r.t = t;
  r.what = what;
  r.by = node(by);
  return r;
}

// Three nodes that see each other, and what comes then.
Verdict judged(std::vector<Record> more, double end = 20) {
  History h;
  for (int i = 0; i < 3; ++i) h.records.push_back(of(0, What::kUp, i));
  for (int i = 0; i < 3; ++i) h.records.push_back(view(1, i, 3, 3, 3));
  h.records.insert(h.records.end(), more.begin(), more.end());
  h.records.push_back(of(end, What::kUsage, 0));
  h.sort();
  Rules rules;
  rules.views_within = 5;
  Verdict out;
  check_views(h, rules, out);
  return out;
}

TEST(FleetViews, AreReadFromTheWordsOfTheLog) {
  Record r = view(1, 2, 9, 10, 8);
  const auto seen = seen_view(r);
  ASSERT_TRUE(seen);
  EXPECT_EQ(seen->epoch, 4);
  EXPECT_EQ(seen->live, 9);
  EXPECT_EQ(seen->bound, 10);
  EXPECT_EQ(seen->reached, 8);
  EXPECT_EQ(seen->confidence, "part");
  EXPECT_TRUE(seen->moving);
  r.note = "4: rank 0 of 3, reckons with 3, reaches 1 of 3, cut off";
  EXPECT_EQ(seen_view(r)->confidence, "cut off");
  EXPECT_FALSE(seen_view(r)->moving);
  r.note = "4: something else";
  EXPECT_FALSE(seen_view(r));
  r.what = What::kFault;
  EXPECT_FALSE(seen_view(r));
}

TEST(FleetViews, ThatFollowWhatIsThereAreWell) {
  const Verdict v = judged({of(8, What::kDown, 1), view(10, 0, 2, 3, 2), view(11, 2, 2, 3, 2)});
  EXPECT_TRUE(v.passed()) << (v.broken.empty() ? v.blind.front() : v.broken.front().what);
}

TEST(FleetViews, ThatStayBehindAreSeen) {
  EXPECT_EQ(judged({of(8, What::kDown, 1), view(10, 0, 2, 3, 2)}).of("fleet-views"), 1u)
      << "node 2 has not noticed";
  EXPECT_EQ(judged({of(8, What::kDown, 1), view(10, 0, 2, 3, 2), view(11, 2, 2, 3, 2), of(13, What::kUp, 1),
                    view(14, 0, 3, 3, 3), view(14, 1, 3, 3, 3)})
                .of("fleet-views"),
            1u)
      << "node 2 has not noticed that it is back";
}

TEST(FleetViews, AreNotJudgedWhileThingsChangeOrLinksAreBroken) {
  EXPECT_TRUE(judged({of(8, What::kDown, 1), of(12, What::kUp, 1), of(16, What::kDown, 1),
                      view(17, 0, 2, 3, 2), view(18, 2, 2, 3, 2)},
                     22)
                  .passed());
  EXPECT_TRUE(judged({of(8, What::kBadLink, 1)}).passed());
}

TEST(FleetViews, ThatReckonWithFewerThanRunAreSeenAtOnce) {
  EXPECT_EQ(judged({view(9, 0, 2, 2, 3), view(9.5, 0, 3, 3, 3)}).of("fleet-views"), 1u);
  EXPECT_EQ(judged({of(8, What::kTerm, 1), view(9, 0, 2, 2, 2), view(9, 2, 2, 2, 2), of(9.5, What::kDown, 1)})
                .of("fleet-views"),
            0u)
      << "one that was told to end may be left out";
  // A node that is stopped goes on when it wakes: it has to be reckoned with.
  EXPECT_EQ(judged({of(8, What::kPaused, 1), view(10, 0, 2, 2, 2), view(10, 2, 2, 3, 2)}).of("fleet-views"),
            1u);
}

TEST(FleetViews, OfNobodyOrInOtherWordsMakeTheJudgeBlind) {
  Record odd = view(9, 0, 3, 3, 3);
  odd.note = "all is well";
  EXPECT_EQ(judged({odd}).blind.size(), 1u);
  EXPECT_EQ(judged({of(8, What::kUp, 3)}).blind.size(), 1u) << "a fourth node says nothing";
  EXPECT_EQ(judged({of(18, What::kDown, 1)}).blind.size(), 1u) << "the day ends too soon to say";
}

}  // namespace
}  // namespace thymewood::fleet
