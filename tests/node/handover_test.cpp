// Connections to servers at the instants that matter: one that stood idle while the node was away, one that
// comes up when a request may no longer be sent on it.
#include "node_harness.h"

namespace thymewood::node {
namespace {

void pass(std::chrono::milliseconds span) { std::this_thread::sleep_for(span); }  // time is what is tested

// A server closes what has stood idle since its answer, not since the node has read that. Guards against a
// node that was stopped, keeps the connection for too long, and loses what may not be sent twice.
TEST(IdleConnections, CountFromWhenTheAnswerCame) {
  Gate gate;
  std::mutex mutex;
  std::chrono::steady_clock::time_point answered, ended;
  FakeServer server([&](Wire& wire, const std::string&) {
    gate.wait();
    wire.write(http_answer(200, "ok"));
    {
      const std::lock_guard lock(mutex);
      answered = std::chrono::steady_clock::now();
    }
    wire.read_rest();  // until the node closes it
    const std::lock_guard lock(mutex);
    ended = std::chrono::steady_clock::now();
    return false;
  });
  ConfigText config;
  config.bounds = R"("cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,)"
                  R"("secondCopies":true,"dialTimeout":0.5,"idleClose":3.0)";
  Deployment d({&server}, config);
  Wire client = d.client();
  client.write(Ask{}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  d.program->signal(SIGSTOP);
  ASSERT_TRUE(eventually([&] { return d.program->state() == 'T'; }));
  gate.open();
  pass(2000ms);
  d.program->signal(SIGCONT);
  EXPECT_EQ(status_of(client.read_message()), 200);
  ASSERT_TRUE(eventually([&] {
    const std::lock_guard lock(mutex);
    return ended.time_since_epoch().count() != 0;
  }));
  const std::lock_guard lock(mutex);
  EXPECT_LT(std::chrono::duration<double>(ended - answered).count(), 3) << "the server may close it by then";
}

// A keyed request goes again only while its group remembers it: until its last byte is written, not until
// that is decided. The window is 1.5 s; the connection for the second attempt comes up later.
TEST(KeyedWindow, IsOverForADialThatComesUpLater) {
  Gate gate;
  FakeServer first(
      [&](Wire& wire, const std::string&) { return gate.wait() && wire.write(http_answer(500, "")); });
  FakeServer other(replies(200, "ok"));
  FullListener full;
  full.fill();
  ConfigText text;
  text.bounds = R"("cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,)"
                R"("secondCopies":true,"dialTimeout":12.0,"idleClose":60.0)";
  text.categories =
      R"({"name":"mark","aim":5.0,"giveUp":15.0,"effect":"keyed","group":"all","dedupWindow":1.5,"lateWorth":0.5})";
  Deployment d({&first, &other}, text);
  // Until one of them is held at the first server, and the other one has been asked too.
  Wire caller;
  for (int i = 0; first.requests().empty() || other.requests().empty(); ++i) {
    Wire next = d.client();
    next.write(Ask{.kind = "mark", .id = "again" + std::to_string(i), .key = "k" + std::to_string(i)}.text());
    const std::size_t before = other.requests().size();
    ASSERT_TRUE(eventually([&] { return !first.requests().empty() || other.requests().size() > before; }));
    if (!caller.is_open() && !first.requests().empty()) {
      caller = std::move(next);
    } else if (other.requests().size() > before) {
      ASSERT_EQ(status_of(next.read_message()), 200);
    }
  }
  ASSERT_EQ(first.requests().size(), 1U);
  // The list is known to the node once it has closed what it had open to the server that goes.
  d.discovery.say(
      list(8, false, member("s2", full.address()) + "," + member("s1", other.address(), "removed")));
  ASSERT_TRUE(eventually([&] { return other.listener().open() == 0; }));
  gate.open();
  ASSERT_TRUE(eventually([&] { return full.dials() > 0; })) << "within the window it may go again";
  pass(1600ms);
  Fd up = full.accept();
  ASSERT_GE(up.get(), 0);
  char byte = 0;
  const auto has = [&](int fd) { return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0; };
  ASSERT_TRUE(eventually([&] { return has(caller.fd()) || has(up.get()); }));
  EXPECT_FALSE(has(up.get())) << "it was sent after its group had forgotten it";
  if (!has(up.get())) {
    EXPECT_EQ(status_of(caller.read_message()), 503) << "repeats are dropped by all";
  }
}

// What a server is told of the time is what the client has left when the request is written, not when its
// server was chosen: the dial takes a second here.
TEST(TimeTold, IsWhatIsLeftOnceTheConnectionIsUp) {
  FullListener full;
  full.fill();
  FakeDiscovery discovery;
  ConfigText text;
  text.bounds = R"("cancel":true,"maxAttempts":1,"maxRetryAfter":2.0,"retryAfter":true,)"
                R"("secondCopies":true,"dialTimeout":12.0,"idleClose":60.0)";
  text.known = list(7, true, member("s0", full.address()));
  text.discovery = discovery.address();
  Program program(text.text());
  Wire client = Wire::to(program.port());
  const auto start = std::chrono::steady_clock::now();
  client.write(Ask{.id = "late", .timeout = "9000"}.text());
  ASSERT_TRUE(eventually([&] { return full.dials() > 0; }));
  pass(1000ms);
  Wire server(full.accept());
  const std::string request = server.read_message();
  const double gone = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  ASSERT_FALSE(request.empty());
  EXPECT_LE(std::stoi(field_of(request, "X-Timeout-Ms")), 9000 - 1000 + 150) << gone;
  EXPECT_GT(std::stoi(field_of(request, "X-Timeout-Ms")), 1000);
}

// The same for a further attempt, after a first one that took a second.
TEST(TimeTold, IsWhatIsLeftForAFurtherAttempt) {
  std::mutex mutex;
  std::vector<int> told;
  const FakeServer::Reply turn_away = [&](Wire& wire, const std::string& request) {
    {
      const std::lock_guard lock(mutex);
      told.push_back(std::stoi(field_of(request, "X-Timeout-Ms")));
    }
    pass(1000ms);
    return wire.write(http_answer(503, "", "X-Not-Processed: 1\r\n"));
  };
  FakeServer one(turn_away), two(turn_away);
  Deployment d({&one, &two});
  Wire client = d.client();
  client.write(Ask{.id = "again", .timeout = "9000"}.text());
  EXPECT_EQ(status_of(client.read_message()), 503);
  const std::lock_guard lock(mutex);
  ASSERT_EQ(told.size(), 2U);
  EXPECT_LE(told[0], 9000 + 150);
  EXPECT_LE(told[1], 9000 - 1000 + 150);
  EXPECT_GT(told[1], 1000);
}

// A request whose first part is written when its server begins to drain, or goes: its last byte would reach
// the server long after the grace. It has not run there, so that another server may have it whole.
class HalfWrittenRequest : public testing::TestWithParam<const char*> {};

TEST_P(HalfWrittenRequest, GoesToAnotherOnceItsServerTakesNothingNew) {
  FullListener tight(true);
  FakeServer other(replies(200, "other"));
  FakeDiscovery discovery;
  ConfigText text;
  text.known = list(7, true, member("s0", tight.address()));
  text.discovery = discovery.address();
  Program program(text.text());
  Wire client = Wire::to(program.port());
  const std::string body(64 * 1024, 'b');
  client.write(Ask{.id = "half", .body = body}.text());
  Wire server(tight.accept());
  ASSERT_TRUE(server.is_open());
  // Danger: what is read from it lets the sender's buffer grow beyond the request.
  ASSERT_TRUE(server.has_come());
  discovery.say(
      list(8, false, member("s0", tight.address(), GetParam()) + "," + member("s1", other.address())));
  const std::string answer = client.read_message();
  EXPECT_EQ(status_of(answer), 200);
  EXPECT_EQ(body_of(answer), "other");
  const std::string all = server.read_rest();
  EXPECT_EQ(field_of(all, "X-Request-ID"), "half") << all.substr(0, 200);
  EXPECT_LT(body_of(all).size(), body.size()) << "its last byte was sent to a server that takes nothing new";
}
INSTANTIATE_TEST_SUITE_P(Each, HalfWrittenRequest, testing::Values("draining", "removed"));

}  // namespace
}  // namespace thymewood::node
