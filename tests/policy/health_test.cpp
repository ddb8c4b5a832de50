// Health, time-outs and further attempts.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>

#include "balancer_harness.h"

namespace thymewood {
namespace {

// An allowance that no test here reaches: admission stays out of the way.
Settings roomy_settings() {
  Settings s = basic_settings();
  s.tenants = {{1000.0}};
  return s;
}

// Plays calls of which those to `sick` end with `outcome`, after `elapsed`; counts the first sends to each
// server.
std::map<std::string, int> play(Copy& copy, const std::string& sick, Outcome outcome, double from,
                                double seconds, double rate, const std::string& prefix,
                                double elapsed = 0.1) {
  std::map<std::string, int> firsts;
  for (int i = 0; i < static_cast<int>(seconds * rate); ++i) {
    copy.now = from + i / rate;
    const std::string id = prefix + std::to_string(i);
    auto sends = all<Send>(copy.request(id));
    if (!sends.empty()) ++firsts[sends[0].server];
    for (int attempt = 0; !sends.empty(); ++attempt) {
      const bool is_sick = sends[0].server == sick;
      sends =
          all<Send>(copy.end(id, is_sick ? outcome : Outcome::kSuccess, attempt, is_sick ? elapsed : 0.1));
    }
  }
  return firsts;
}

// Danger: a server that fails at once has nothing in flight and looks the least busy of all.
TEST(Health, AFastFailingServerIsShunnedAndComesBack) {
  Copy copy(roomy_settings());
  copy.at(0, members(6));
  const auto ill = play(copy, "s2", Outcome::kError, 0, 10, 50, "a");
  EXPECT_LT(ill.at("s2"), 25);
  const auto back = play(copy, "", Outcome::kSuccess, 10, 30, 50, "b");
  EXPECT_GT(back.at("s2"), 100);
}

// Danger: where callers wait for less than an answer takes, all servers in turn would look ill.
TEST(Health, ACallerThatGivesUpEarlyTellsNothingOfTheServer) {
  for (const bool early : {true, false}) {
    Copy copy(roomy_settings());
    copy.at(0, members(4));
    play(copy, "", Outcome::kSuccess, 0, 10, 50, "a");
    auto firsts = play(copy, "s0", Outcome::kTimedOut, 10, 4, 50, "b", early ? 0.09 : 0.5);
    EXPECT_EQ(firsts["s0"] + firsts["s1"] + firsts["s2"] + firsts["s3"], 200);
    if (early) {
      EXPECT_GT(firsts["s0"], 30) << "as any other";
    } else {
      EXPECT_LT(firsts["s0"], 20) << "shunned";
    }
  }
}

// Danger: judging each server alone would leave nobody to send to when the cause is shared.
TEST(Health, WhenAllFailTheFleetIsNotEmptied) {
  Copy copy(roomy_settings());
  copy.at(0, members(4));
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    copy.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto sends = all<Send>(copy.request(id));
    sent += static_cast<int>(sends.size());
    for (int attempt = 0; !sends.empty(); ++attempt)
      sends = all<Send>(copy.end(id, Outcome::kError, attempt));
  }
  EXPECT_EQ(sent, 200);
}

TEST(Health, FurtherAttemptsHaveABudget) {
  Copy copy(basic_settings());
  copy.at(0, members(4));
  int firsts = 0;
  int others = 0;
  for (int i = 0; i < 300; ++i) {
    copy.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto sends = all<Send>(copy.request(id));
    firsts += static_cast<int>(sends.size());
    for (int attempt = 0; !sends.empty(); ++attempt) {
      sends = all<Send>(copy.end(id, Outcome::kError, attempt));
      others += static_cast<int>(sends.size());
    }
  }
  EXPECT_GT(others, 0);
  EXPECT_LT(others, firsts / 4 + 10);
}

// A connection that is refused, or was dropped while idle, has cost no server any work; an error has, and so
// has a reset after a while.
TEST(Health, AttemptsThatFailAtOnceTakeNothingOfTheBudget) {
  struct Case {
    Outcome outcome;
    double elapsed;
    bool free;
  };
  for (const Case& c : {Case{Outcome::kConnectFailed, 0.001, true}, Case{Outcome::kReset, 0.001, true},
                        Case{Outcome::kReset, 0.1, false}, Case{Outcome::kConnectFailed, 0.25, false},
                        Case{Outcome::kError, 0.001, false}}) {
    Copy copy(roomy_settings());
    copy.at(0, members(4));
    int others = 0;
    for (int i = 0; i < 100; ++i) {
      copy.now = i * 0.02;
      const std::string id = std::to_string(i);
      ASSERT_EQ(all<Send>(copy.request(id)).size(), 1U);
      const auto more = all<Send>(copy.end(id, c.outcome, 0, c.elapsed));
      others += static_cast<int>(more.size());
      if (!more.empty()) copy.end(id, Outcome::kSuccess, 1);
    }
    if (c.free) {
      EXPECT_EQ(others, 100);
    } else {
      EXPECT_LT(others, 15);
    }
  }
}

// Asks once and ends each attempt as `outcome` has it for its server, until nothing is sent any more; returns
// who was asked. A delivered answer takes 50 ms, what is turned away 1 ms.
template <typename OutcomeOf>
std::vector<std::string> ask_until_over(Copy& copy, const std::string& id, const OutcomeOf& outcome_of) {
  std::vector<std::string> asked;
  for (auto sends = all<Send>(copy.request(id)); !sends.empty();) {
    asked.push_back(sends[0].server);
    const Outcome outcome = outcome_of(asked.back());
    sends = all<Send>(copy.end(id, outcome, static_cast<int>(asked.size()) - 1,
                               outcome == Outcome::kSuccess ? 0.05 : 0.001));
  }
  return asked;
}

// Danger: those attempts are bounded all the same, and an unsafe request is not sent again after a reset,
// however soon.
TEST(Health, FreeAttemptsKeepTheRules) {
  Copy copy(roomy_settings());
  copy.at(0, members(4));
  int sent = static_cast<int>(all<Send>(copy.request("r")).size());
  for (int attempt = 0; attempt < 20; ++attempt)
    sent += static_cast<int>(all<Send>(copy.end("r", Outcome::kConnectFailed, attempt, 0.001)).size());
  EXPECT_EQ(sent, 4) << "max_attempts";
  Copy full(roomy_settings());
  full.at(0, members(8));
  EXPECT_EQ(ask_until_over(full, "r", [](const std::string&) { return Outcome::kRejected; }).size(), 4U)
      << "max_attempts";
  Settings s = roomy_settings();
  s.classes = {class_of(Idempotency::kNotIdempotent)};
  Copy unsafe(s);
  unsafe.at(0, members(4));
  ASSERT_EQ(all<Send>(unsafe.request("u")).size(), 1U);
  EXPECT_EQ(all<Fail>(unsafe.end("u", Outcome::kReset, 0, 0.001)).size(), 1U);
}

// A full server draws no further calls for a while, and what it turns away goes elsewhere, however much it
// is.
TEST(Health, AFullServerIsLeftAloneUntilACallCanHaveEndedThere) {
  Settings s = roomy_settings();
  s.classes = {class_of(Idempotency::kNotIdempotent)};
  Copy copy(s);
  copy.at(0, members(4));
  long turned_away = 0;
  for (int i = 0; i < 200; ++i) {
    copy.now = i * 0.005;
    const auto asked = ask_until_over(copy, std::to_string(i), [](const std::string& server) {
      return server == "s0" ? Outcome::kRejected : Outcome::kSuccess;
    });
    ASSERT_FALSE(asked.empty());
    EXPECT_NE(asked.back(), "s0") << "three servers are idle";
    turned_away += std::count(asked.begin(), asked.end(), "s0");
  }
  EXPECT_GE(turned_away, 2) << "it is tried again";
  EXPECT_LE(turned_away, 25) << "in 1 s, at 50 ms for an answer; it would have drawn 50 and more";
}

// Danger: what is turned away is free to go elsewhere, and everybody may be full.
TEST(Health, WhereAllAreFullFewCallsGoRound) {
  Copy copy(roomy_settings());
  copy.at(0, members(4));
  std::size_t sent = 0;
  for (int i = 0; i < 500; ++i) {
    copy.now = i * 0.002;
    sent +=
        ask_until_over(copy, std::to_string(i), [](const std::string&) { return Outcome::kRejected; }).size();
  }
  EXPECT_LE(sent, 4U * 20) << "each is asked now and then, not for each of 500 calls";
}

TEST(Health, AFurtherAttemptGoesElsewhere) {
  Copy copy(basic_settings());
  copy.at(0, members(3));
  const auto first = all<Send>(copy.request("r"));
  const auto second = all<Send>(copy.end("r", Outcome::kReset));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(first[0].server, second[0].server);
}

// A call that is given up sooner than it can be answered is refused at once, so that its caller may come
// back.
struct HastyCallers {
  explicit HastyCallers(int tier = 0, Idempotency idempotency = Idempotency::kNotIdempotent) {
    Settings s = roomy_settings();
    s.classes = {class_of(idempotency)};
    s.tier = tier;
    copy.emplace(s);
    copy->at(0, members(4));
  }
  // How many of so many calls are sent.
  int sent(double time_left, int calls = 100) {
    int out = 0;
    for (int i = 0; i < calls; ++i) {
      Request r;
      r.id = "h" + std::to_string(++asked);
      r.time_left = time_left;
      const auto actions = copy->at(copy->now + 0.02, r);
      out += static_cast<int>(all<Send>(actions).size());
      EXPECT_EQ(all<Send>(actions).size() + all<Reject>(actions).size(), 1U);
      if (!all<Send>(actions).empty()) copy->end(r.id, Outcome::kSuccess);
    }
    return out;
  }
  std::optional<Copy> copy;
  int asked = 0;
};

TEST(Hopeless, ACallGivenLessTimeThanCallsTakeIsRefused) {
  HastyCallers callers;
  EXPECT_EQ(callers.sent(0.05, 19), 19) << "nothing is learned yet";
  for (int i = 0; i < 5; ++i) callers.sent(6);  // answers take 0.1 s
  EXPECT_LT(callers.sent(0.05), 15);
  EXPECT_EQ(callers.sent(0.2), 100);
}

// Danger: an answer time learned in a bad hour would shut out those callers for good.
TEST(Hopeless, SomeAreTriedAllTheSame) {
  HastyCallers callers;
  for (int i = 0; i < 5; ++i) callers.sent(6);
  int tried = 0;
  for (int i = 0; i < 10; ++i) tried += callers.sent(0.05);
  EXPECT_GT(tried, 20);
}

TEST(Hopeless, PastTheFirstTierTheWorkAboveIsSpent) {
  HastyCallers callers(1);
  for (int i = 0; i < 5; ++i) callers.sent(6);
  EXPECT_EQ(callers.sent(0.05), 100);
}

// Danger: calls to a server that has stopped answering wait for nothing, and behind each other.
TEST(Room, CallsInFlightAreBoundByWhatAServerAnswers) {
  Copy copy(roomy_settings());
  copy.at(0, members(3));
  int sent = 0;
  int refused = 0;
  for (int i = 0; i < 300; ++i) {
    copy.now = i * 0.01;
    const auto actions = copy.request(std::to_string(i));
    sent += static_cast<int>(all<Send>(actions).size());
    refused += static_cast<int>(all<Reject>(actions).size());
  }
  EXPECT_EQ(sent + refused, 300);
  EXPECT_GT(sent, 3);
  EXPECT_LT(sent, 40);
}

// Danger: what each of many copies takes for a small start is a crowd when all of them start together.
TEST(Room, TheStartIsSharedOutOverTheCopies) {
  std::map<std::string, int> held;
  for (int index = 0; index < 8; ++index) {
    Settings s = roomy_settings();
    s.replica_index = index;
    s.replica_count = 8;
    Copy copy(s, static_cast<std::uint64_t>(index) + 1);
    copy.at(0, members(10));
    for (int i = 0; i < 100; ++i) {
      for (const Send& send : all<Send>(copy.request(std::to_string(i)))) ++held[send.server];
    }
  }
  EXPECT_EQ(held.size(), 10U);
  for (const auto& [address, calls] : held) EXPECT_LE(calls, 16) << address;
}

// Danger: at many copies a server's room is a part of a call each; counted strictly, chance refuses.
TEST(Room, AFewCallsASecondAreNotRefusedByChance) {
  Settings s = roomy_settings();
  s.replica_count = 500;
  s.tenants = {{100000.0}};
  Copy copy(s);
  copy.at(0, members(100));
  std::map<int, std::string> open;  // by the step in which each ends
  int refused = 0;
  for (int i = 0; i < 3000; ++i) {
    copy.now = 10 + i * 0.02;
    if (open.count(i) != 0) copy.end(open[i], Outcome::kSuccess, 0, 0.4);
    if (i % 25 > 1) continue;  // two calls close together, twice a second
    const std::string id = std::to_string(i);
    const auto actions = copy.request(id);
    refused += static_cast<int>(all<Reject>(actions).size());
    if (!all<Send>(actions).empty()) open[i + 20] = id;
  }
  EXPECT_EQ(refused, 0);
}

// Danger: a refusal past the first tier throws away the work that was done above it.
TEST(Room, PastTheFirstTierNothingIsRefusedForIt) {
  Settings s = roomy_settings();
  s.tier = 1;
  Copy copy(s);
  copy.at(0, members(3));
  for (int i = 0; i < 300; ++i) EXPECT_EQ(all<Send>(copy.request(std::to_string(i))).size(), 1U);
}

// Sends calls that nobody answers until one is refused; returns how many went out.
int fill(Copy& copy, const std::string& prefix) {
  int sent = 0;
  while (!all<Send>(copy.request(prefix + std::to_string(sent))).empty()) ++sent;
  return sent;
}

// Danger: past the first tier room is a wish; an ill server with room must not come before a well one
// without.
TEST(Room, PastTheFirstTierAFastFailingServerStaysSpared) {
  Settings s = roomy_settings();
  s.tier = 1;
  Copy copy(s);
  copy.at(0, members(4));
  int to_sick = 0;
  for (int i = 0; i < 400; ++i) {
    copy.now = i * 0.02;
    const std::string id = std::to_string(i);
    const auto sends = all<Send>(copy.request(id));
    if (sends.empty() || sends[0].server != "s2") continue;  // the others hold what they get
    to_sick += i >= 50 ? 1 : 0;
    copy.end(id, Outcome::kError);
  }
  EXPECT_LT(to_sick, 40);
}

// Danger: over many copies, what chance needs at each is a crowd; it is given in calm only.
TEST(Room, SlowAnswersTakeBackWhatIsLeftToChance) {
  const auto held = [](double answer) {
    Copy copy(roomy_settings());
    copy.at(0, members(20));
    for (int i = 0; i < 200; ++i) {
      copy.now = i * 0.2;
      const std::string id = "a" + std::to_string(i);
      if (!all<Send>(copy.request(id)).empty()) copy.end(id, Outcome::kSuccess, 0, i < 100 ? 0.4 : answer);
    }
    return fill(copy, "b");
  };
  EXPECT_GT(held(0.4), held(1.9));
}

// Danger: a bound rounded up to a whole call at each of many copies is far above the bound over all of them.
TEST(Room, ACrowdIsThinnedToLessThanACallACopy) {
  Settings s = roomy_settings();
  s.replica_count = 500;
  s.tenants = {{1000000.0}};
  Copy copy(s);
  copy.at(0, members(20));
  const auto admitted = [&](double from, double answer) {
    int sent = 0;
    for (int i = 0; i < 200; ++i) {
      copy.now = from + i;  // one call at a time, too few to fill a rate of answers
      const std::string id = std::to_string(copy.now);
      if (all<Send>(copy.request(id)).empty()) continue;
      ++sent;
      copy.end(id, Outcome::kSuccess, 0, answer);
    }
    return sent;
  };
  EXPECT_EQ(admitted(0, 0.3), 200) << "in calm chance has its room";
  const int crowded = admitted(1000, 1.9);
  EXPECT_GT(crowded, 20) << "or the end of the crowd would never be seen";
  EXPECT_LT(crowded, 190);
}

// Danger: chance, or one server's fault, taken for a crowd of the tier. A bound that was learned from servers
// that looked slow once cut the room again and again, down to one call, on an idle tier.
TEST(Room, AServerThatTurnsSlowCutsNoRoomThatTheOthersHave) {
  const auto room_after = [](double slow_answer) {
    Copy copy(roomy_settings());
    copy.at(0, members(4));
    for (int i = 0; i < 800; ++i) {
      copy.now = i * 0.025;
      const std::string id = "calm" + std::to_string(i);
      copy.request(id);
      copy.end(id, Outcome::kSuccess, 0, 0.2);
    }
    for (int i = 0; i < 4; ++i) copy.request("held" + std::to_string(i));
    for (int i = 0; i < 60; ++i) {
      copy.now += 0.025;
      const std::string id = "slow" + std::to_string(i);
      const auto sends = all<Send>(copy.request(id));
      if (!sends.empty()) copy.end(id, Outcome::kSuccess, 0, sends[0].server == "s0" ? slow_answer : 0.2);
    }
    return 4 + fill(copy, "more");
  };
  const int calm = room_after(0.2);
  const int crowded = room_after(1.5);
  EXPECT_GT(calm, 8);
  EXPECT_GE(crowded, calm * 3 / 4);
}

TEST(Timeouts, FollowTheObservedLatency) {
  Copy copy(basic_settings());
  copy.at(0, members(4));
  const double before = all<Send>(copy.request("first"))[0].timeout;
  for (int i = 0; i < 100; ++i) {
    copy.now = i * 0.1;
    copy.request(std::to_string(i));
    copy.end(std::to_string(i), Outcome::kSuccess, 0, 0.05);
  }
  const double after = all<Send>(copy.request("last"))[0].timeout;
  EXPECT_LT(after, before / 2);
  EXPECT_GT(after, 0.05);
}

}  // namespace
}  // namespace thymewood
