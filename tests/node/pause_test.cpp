// A node that was away: stopped, or starved of its core, while the world went on. What it finds when it comes
// back is as old as the kernel says, not as new as the node's first look at it.
#include <optional>

#include "memory_budget.h"
#include "node_harness.h"
#include "upstream.h"

namespace thymewood::node {
namespace {

// Stopped for good once this returns: a signal alone may come a moment later.
void stop(const Program& program) {
  program.signal(SIGSTOP);
  ASSERT_TRUE(eventually([&] { return program.state() == 'T'; }));
}

void pass(std::chrono::milliseconds span) { std::this_thread::sleep_for(span); }  // time is what is tested

int requests_named(FakeServer& server, const std::string& prefix) {
  int out = 0;
  for (const std::string& request : server.requests())
    out += field_of(request, "X-Request-ID").starts_with(prefix) ? 1 : 0;
  return out;
}

// A request of its own that has come back: all that lay before it in the node's sockets has been looked at.
void ask_and_wait(Deployment& d, const std::string& id) {
  Wire client = d.client();
  client.write(Ask{.id = id}.text());
  ASSERT_EQ(status_of(client.read_message()), 200);
}

// Guards against work for callers who have long gone: 8 to 13 of 20 once reached a server.
TEST(PausedNode, SendsNothingForCallersWhoGaveUpInTheListeningQueue) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  ask_and_wait(d, "before");
  stop(*d.program);
  std::vector<Wire> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(d.client());
    callers.back().write(Ask{.id = "late" + std::to_string(i), .timeout = "500"}.text());
  }
  pass(600ms);
  for (Wire& caller : callers) caller.close();
  pass(900ms);
  d.program->signal(SIGCONT);
  ask_and_wait(d, "after");
  EXPECT_EQ(requests_named(server, "late"), 0);
}

// The same on connections that the node knows, with a time that is not over: their close alone tells.
TEST(PausedNode, SendsNothingForCallersWhoClosedThoughTheyHadTime) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  std::vector<Wire> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(d.client());
    callers.back().write(Ask{.id = "early" + std::to_string(i)}.text());
    ASSERT_EQ(status_of(callers.back().read_message()), 200);
  }
  stop(*d.program);
  for (int i = 0; i < 20; ++i) {
    callers[static_cast<std::size_t>(i)].write(Ask{.id = "late" + std::to_string(i)}.text());
  }
  pass(200ms);
  for (Wire& caller : callers) caller.close();
  d.program->signal(SIGCONT);
  ask_and_wait(d, "after");
  EXPECT_EQ(requests_named(server, "late"), 0);
  EXPECT_EQ(requests_named(server, "early"), 20);
}

// A request's time counts from its last byte.
TEST(PausedNode, RefusesAtOnceWhatIsOverAndTellsServersWhatIsLeft) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  ask_and_wait(d, "before");
  stop(*d.program);
  Wire over = d.client(), patient = d.client();
  over.write(Ask{.id = "over", .timeout = "500"}.text());
  patient.write(Ask{.id = "patient", .timeout = "9000"}.text());
  pass(1500ms);
  d.program->signal(SIGCONT);
  EXPECT_EQ(status_of(over.read_message()), 503) << "never sent: it may come again";
  EXPECT_EQ(status_of(patient.read_message()), 200);
  EXPECT_EQ(requests_named(server, "over"), 0);
  const std::vector<std::string> requests = server.requests();
  const int left = std::stoi(field_of(requests.back(), "X-Timeout-Ms"));
  EXPECT_LE(left, 7500) << "1.5 s of its 9 s have gone by";
  EXPECT_GT(left, 3000);
}

// Guards against timers that are looked at before what came in their time.
TEST(PausedNode, ServesAFirstRequestThatCameInTimeThoughItIsReadLate) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  Wire client = d.client();
  ask_and_wait(d, "before");  // by then the connection above has been taken in too
  stop(*d.program);
  client.write(Ask{.id = "first"}.text());
  pass(2800ms);  // more than the 2.5 s that a first request may take
  d.program->signal(SIGCONT);
  EXPECT_EQ(status_of(client.read_message()), 200);
}

// Guards against a send to a server whose drain was told while the node was away: the word lies in the socket
// of the watch, but a caller's request may be read before it.
TEST(PausedNode, ReadsWhatDiscoverySaidBeforeItSendsAnything) {
  FakeServer drained(replies(200, "drained")), other(replies(200, "other"));
  Deployment d({&drained, &other});
  ASSERT_TRUE(eventually([&] { return !d.discovery.calls().empty(); }));
  std::vector<Wire> callers;
  for (int i = 0; i < 40; ++i) {
    callers.push_back(d.client());
    callers.back().write(Ask{.id = "early" + std::to_string(i)}.text());
    ASSERT_EQ(status_of(callers.back().read_message()), 200);
  }
  ASSERT_GT(requests_named(drained, "early"), 0);
  stop(*d.program);
  for (int i = 0; i < 40; ++i) {
    callers[static_cast<std::size_t>(i)].write(Ask{.id = "late" + std::to_string(i)}.text());
  }
  d.discovery.say(list(8, false, member("s0", drained.address(), "draining")));
  pass(1200ms);
  d.program->signal(SIGCONT);
  // All at once they may be more than the node has learned that one server bears.
  int served = 0;
  for (Wire& caller : callers) served += status_of(caller.read_message()) == 200 ? 1 : 0;
  EXPECT_EQ(requests_named(drained, "late"), 0);
  EXPECT_EQ(requests_named(other, "late"), served);
  EXPECT_GT(served, 0);
}

// The same for an attempt whose connection comes up while the node is away.
TEST(PausedNode, LooksAgainBeforeItWritesToAConnectionThatCameUpMeanwhile) {
  FullListener full;
  full.fill();
  FakeDiscovery discovery;
  ConfigText config;
  config.bounds = R"("cancel":true,"maxAttempts":1,"maxRetryAfter":2.0,"retryAfter":true,)"
                  R"("secondCopies":true,"dialTimeout":12.0,"idleClose":60.0)";
  config.known = list(7, true, member("s0", full.address()));
  config.discovery = discovery.address();
  Program program(config.text());
  Wire caller = Wire::to(program.port());
  caller.write(Ask{.id = "late"}.text());
  ASSERT_TRUE(eventually([&] { return full.dials() > 0; }));
  stop(program);
  Fd up = full.accept();
  ASSERT_GE(up.get(), 0);
  caller.close();
  pass(100ms);
  program.signal(SIGCONT);
  Wire server(std::move(up));
  EXPECT_EQ(server.read_rest(), "") << "its caller has gone";
}

// Guards against servers that are blamed for the time in which their answers lay unread.
TEST(StarvedLoop, CountsForAnAnswerOnlyTheTimeUntilItCame) {
  FakeServer server(replies(200, "ok"));
  boost::asio::io_context io(1);
  MemoryBudget budget;
  budget.set_limit(1 << 20);
  Upstream upstream(io, {0.5, 60, 10}, budget);
  upstream.place(
      "s0", {boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(server.listener().port())},
      0, true);
  const auto request = std::make_shared<HttpRequest>();
  request->method(boost::beast::http::verb::post);
  request->target("/close/k");
  request->set("X-Request-ID", "r");
  request->prepare_payload();
  std::optional<Upstream::End> end;
  const Upstream::Handle attempt = upstream.start(
      "s0", request, {10}, true, {[] { return true; }, [&](Upstream::End&& e) { end = std::move(e); }});
  // Until the request is out; then nobody turns the loop.
  while (server.requests().empty()) io.run_one_for(2ms);
  EXPECT_FALSE(end);
  pass(400ms);
  ASSERT_TRUE(eventually([&] {
    io.poll();
    return end.has_value();
  }));
  EXPECT_EQ(end->outcome, Outcome::kSuccess);
  EXPECT_GT(end->unread, 0.3);
  EXPECT_LT(end->unread, 10);
}

// Guards against an attempt whose permission has gone by the time its connection is up.
TEST(StarvedLoop, EndsUnsentWhatMayNotBeSentAnyMore) {
  FakeServer server(replies(200, "ok"));
  boost::asio::io_context io(1);
  MemoryBudget budget;
  budget.set_limit(1 << 20);
  Upstream upstream(io, {0.5, 60, 10}, budget);
  const boost::asio::ip::tcp::endpoint where{boost::asio::ip::address_v4::loopback(),
                                             static_cast<unsigned short>(server.listener().port())};
  upstream.place("s0", where, 0, true);
  const auto request = std::make_shared<HttpRequest>();
  std::vector<Outcome> ends;
  const auto start = [&](double timeout, std::function<bool()> may) {
    const std::size_t before = ends.size();
    const Upstream::Handle attempt =
        upstream.start("s0", request, {timeout}, true,
                       {std::move(may), [&](Upstream::End&& e) { ends.push_back(e.outcome); }});
    pass(30ms);
    io.restart();
    ASSERT_TRUE(eventually([&] {
      io.poll();
      return ends.size() > before;
    }));
  };
  start(10, [] { return false; });
  start(0.02, [] { return true; });
  start(10, [&] {
    upstream.place("s0", where, 0, false);  // a drain that is heard of in the last moment
    return true;
  });
  upstream.place("s0", where, 0, true);
  start(10, [&] {
    upstream.place("s0", where, 12, true);  // another process stands there by now
    return true;
  });
  ASSERT_EQ(ends.size(), 4U);
  for (const std::size_t i : {0, 2, 3}) EXPECT_EQ(ends[i], Outcome::kNotSent) << i;
  EXPECT_TRUE(ends[1] == Outcome::kNotSent || ends[1] == Outcome::kConnectFailed)
      << "as the timer or the dial is first";
  EXPECT_TRUE(server.requests().empty());
}

// A core that the node gets for a moment now and then.
TEST(StarvedNode, SendsNothingForCallersWhoGaveUp) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  ask_and_wait(d, "before");
  for (int round = 0; round < 8; ++round) {
    stop(*d.program);
    std::vector<Wire> callers;
    for (int i = 0; i < 4; ++i) {
      callers.push_back(d.client());
      callers.back().write(
          Ask{.id = "late" + std::to_string(round) + "_" + std::to_string(i), .timeout = "100"}.text());
    }
    pass(150ms);
    for (Wire& caller : callers) caller.close();
    d.program->signal(SIGCONT);
    pass(2ms);
  }
  ask_and_wait(d, "after");
  EXPECT_EQ(requests_named(server, "late"), 0);
}

}  // namespace
}  // namespace thymewood::node
