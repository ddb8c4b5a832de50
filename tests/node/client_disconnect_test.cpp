// A caller that leaves while its request waits: whatever it waits for, and however its caller goes, nothing
// of it is sent to a server any more, from 0.1 s later on; here each wait is a little longer than that.
#include "node_harness.h"

namespace thymewood::node {
namespace {

constexpr auto kTerm = 110ms;                                                     // more than the 0.1 s
void pass(std::chrono::milliseconds span) { std::this_thread::sleep_for(span); }  // time is what is tested

enum class Leaves { kCloses, kResets, kSendsMuchAhead };
enum class Kernel { kTells, kSaysNothing };

struct Case {
  Leaves how = Leaves::kCloses;
  bool cancel = true;  // as the settings allow it
  Kernel kernel = Kernel::kTells;
};

std::string name_of(const testing::TestParamInfo<Case>& info) {
  const char* how[] = {"Closes", "Resets", "SendsMuchAhead"};
  return std::string(how[static_cast<int>(info.param.how)]) + (info.param.cancel ? "" : "NoCancels") +
         (info.param.kernel == Kernel::kTells ? "" : "KernelSilent");
}

std::vector<Case> all_cases() {
  std::vector<Case> out;
  for (const Leaves how : {Leaves::kCloses, Leaves::kResets, Leaves::kSendsMuchAhead})
    for (const bool cancel : {true, false})
      for (const Kernel kernel : {Kernel::kTells, Kernel::kSaysNothing}) out.push_back({how, cancel, kernel});
  return out;
}

class GoneCaller : public testing::TestWithParam<Case> {
 protected:
  ConfigText config(double dial_timeout = 12) const {
    ConfigText out;
    out.bounds = std::string(R"("cancel":)") + (GetParam().cancel ? "true" : "false") +
                 R"(,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,"secondCopies":true,)"
                 R"("idleClose":60.0,"dialTimeout":)" +
                 std::to_string(dial_timeout);
    return out;
  }
  static void (*in_child())() { return GetParam().kernel == Kernel::kTells ? nullptr : refuse_tcp_info; }
  // What it has sent ahead is more than the node and its socket hold, so that its end stands behind it.
  static void leave(Wire& caller) {
    if (GetParam().how == Leaves::kSendsMuchAhead)
      caller.flood(Ask{.id = "ahead", .body = std::string(8000, 'x')}.text(), std::size_t{16} << 20);
    if (GetParam().how == Leaves::kResets) return caller.reset();
    caller.close();
  }
};

// It waits for a connection to come up.
TEST_P(GoneCaller, WhileADialIsOut) {
  FullListener full;
  full.fill();
  FakeDiscovery discovery;
  ConfigText text = config();
  text.known = list(7, true, member("s0", full.address()));
  text.discovery = discovery.address();
  Program program(text.text(), 0, true, "", in_child());
  Wire caller = Wire::to(program.port());
  caller.write(Ask{.id = "gone"}.text());
  ASSERT_TRUE(eventually([&] { return full.dials() > 0; }));
  leave(caller);
  pass(kTerm);
  Wire next = Wire::to(program.port());
  next.write(Ask{.id = "next"}.text());
  Wire server(full.accept());
  ASSERT_TRUE(server.is_open());
  // The connection is of use for the next caller, or closed; a second one may be dialled for that.
  std::string first = server.read_message();
  if (first.empty()) first = Wire(full.accept()).read_message();
  EXPECT_EQ(field_of(first, "X-Request-ID"), "next") << first;
}

// Half of it is written, and the server takes no more for now.
TEST_P(GoneCaller, WhileTheServerTakesNoMore) {
  FullListener tight(true);
  FakeDiscovery discovery;
  ConfigText text = config();
  text.known = list(7, true, member("s0", tight.address()));
  text.discovery = discovery.address();
  Program program(text.text(), 0, true, "", in_child());
  Wire caller = Wire::to(program.port());
  const std::string body(64 * 1024, 'b');
  caller.write(Ask{.id = "gone", .body = body}.text());
  Wire server(tight.accept());
  ASSERT_TRUE(server.is_open());
  // Danger: what is read from it lets the sender's buffer grow beyond the request.
  ASSERT_TRUE(server.has_come());
  leave(caller);
  pass(kTerm);
  const std::string all = server.read_rest();
  EXPECT_EQ(field_of(all, "X-Request-ID"), "gone") << all.substr(0, 200);
  EXPECT_LT(body_of(all).size(), body.size()) << "its last byte was sent though its caller had gone";
}

// The first attempt never ran: another would follow.
TEST_P(GoneCaller, WhileItsFirstAttemptIsOut) {
  Gate gate;
  const FakeServer::Reply turn_away = [&](Wire& wire, const std::string&) {
    return gate.wait() && wire.write(http_answer(503, "", "X-Not-Processed: 1\r\n"));
  };
  FakeServer one(turn_away), two(turn_away);
  Deployment d({&one, &two}, config(), 0, in_child());
  Wire caller = d.client();
  caller.write(Ask{.id = "gone"}.text());
  ASSERT_TRUE(eventually([&] { return one.requests().size() + two.requests().size() == 1; }));
  leave(caller);
  pass(kTerm);
  gate.open();
  // What the node does about the answer it has done by the time it has served two more.
  for (const char* id : {"a", "b"}) {
    Wire next = d.client();
    next.write(Ask{.id = id}.text());
    EXPECT_EQ(status_of(next.read_message()), 503);
  }
  int gone = 0;
  for (FakeServer* server : {&one, &two})
    for (const std::string& request : server->requests()) gone += field_of(request, "X-Request-ID") == "gone";
  EXPECT_EQ(gone, 1);
}

// Both at once: the node is stopped while its caller leaves and the answer comes. Either may be read first.
TEST_P(GoneCaller, WhileTheNodeIsStoppedWithAnAttemptOut) {
  Gate gate;
  std::atomic<bool> answered = false;
  const FakeServer::Reply turn_away = [&](Wire& wire, const std::string&) {
    const bool well = gate.wait() && wire.write(http_answer(503, "", "X-Not-Processed: 1\r\n"));
    answered = true;
    return well;
  };
  FakeServer one(turn_away), two(turn_away);
  Deployment d({&one, &two}, config(), 0, in_child());
  Wire caller = d.client();
  caller.write(Ask{.id = "gone"}.text());
  ASSERT_TRUE(eventually([&] { return one.requests().size() + two.requests().size() == 1; }));
  d.program->signal(SIGSTOP);
  ASSERT_TRUE(eventually([&] { return d.program->state() == 'T'; }));
  gate.open();
  ASSERT_TRUE(eventually([&] { return answered.load(); }));
  leave(caller);
  pass(kTerm);
  d.program->signal(SIGCONT);
  for (const char* id : {"a", "b"}) {
    Wire next = d.client();
    next.write(Ask{.id = id}.text());
    EXPECT_EQ(status_of(next.read_message()), 503);
  }
  int gone = 0;
  for (FakeServer* server : {&one, &two})
    for (const std::string& request : server->requests()) gone += field_of(request, "X-Request-ID") == "gone";
  EXPECT_EQ(gone, 1);
}

// Nobody has taken it in yet: it came and went in the listener's queue, or on a connection that the node
// knows.
TEST_P(GoneCaller, BeforeTheNodeHasReadIt) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server}, config(), 0, in_child());
  Wire known = d.client();
  known.write(Ask{.id = "before"}.text());
  ASSERT_EQ(status_of(known.read_message()), 200);
  d.program->signal(SIGSTOP);
  ASSERT_TRUE(eventually([&] { return d.program->state() == 'T'; }));
  Wire fresh = d.client();
  fresh.write(Ask{.id = "gone1"}.text());
  known.write(Ask{.id = "gone2"}.text());
  for (Wire* caller : {&fresh, &known}) leave(*caller);
  pass(kTerm);
  d.program->signal(SIGCONT);
  Wire next = d.client();
  next.write(Ask{.id = "after"}.text());
  EXPECT_EQ(status_of(next.read_message()), 200);
  for (const std::string& request : server.requests())
    EXPECT_FALSE(field_of(request, "X-Request-ID").starts_with("gone"));
}

INSTANTIATE_TEST_SUITE_P(All, GoneCaller, testing::ValuesIn(all_cases()), name_of);

// Its end is read while the answer before is written, and what it sent ahead stands in the node's buffer.
TEST(PipelinedCaller, NothingIsSentForOneThatEndedWhileItsAnswerWasWritten) {
  FakeServer server(replies(200, std::string(std::size_t{1} << 20, 'a')));
  // Where the kernel tells, a look at the second request's age would show it too, if that is old enough.
  Deployment d({&server}, {}, 0, refuse_tcp_info);
  Wire caller = d.client(true);
  caller.write(Ask{.id = "first"}.text());
  ASSERT_TRUE(caller.has_come()) << "its answer has begun, and does not fit in between";
  caller.write(Ask{.id = "second"}.text());
  caller.end_sending();
  // Both are there once somebody who came later has been served.
  Wire other = d.client();
  other.write(Ask{.id = "other"}.text());
  ASSERT_EQ(status_of(other.read_message()), 200);
  const std::string answers = caller.read_rest();
  EXPECT_EQ(body_of(answers).size(), std::size_t{1} << 20) << "the one that was begun is finished";
  for (const std::string& request : server.requests()) EXPECT_NE(field_of(request, "X-Request-ID"), "second");
}

// What is sent far ahead of its turn is not kept without bound: what was kept is answered, then the rest is
// told so and closed.
TEST(PipelinedCaller, WhatWasKeptIsAnsweredAndTheRestToldSo) {
  Gate gate;
  FakeServer server([&](Wire& wire, const std::string& request) {
    return gate.wait() && wire.write(http_answer(200, field_of(request, "X-Request-ID")));
  });
  Deployment d({&server});
  Wire caller = d.client();
  std::string all = Ask{.id = "r0"}.text();
  for (int i = 1; i < 40; ++i)
    all += Ask{.id = "r" + std::to_string(i), .body = std::string(2000, 'x')}.text();
  std::thread sender([&] { caller.write(all); });
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  sender.join();
  gate.open();
  int answered = 0;
  for (std::string answer = caller.read_message(); !answer.empty(); answer = caller.read_message()) {
    if (status_of(answer) != 200) {
      EXPECT_EQ(status_of(answer), 413) << answer;
      EXPECT_EQ(field_of(answer, "Connection"), "close");
      break;
    }
    EXPECT_EQ(body_of(answer), "r" + std::to_string(answered));
    ++answered;
  }
  EXPECT_GE(answered, 5);
  EXPECT_EQ(server.requests().size(), static_cast<std::size_t>(answered)) << "none is sent and not answered";
}

}  // namespace
}  // namespace thymewood::node
