// The graceful shutdown. The platform kills the node 0.7 s after the longest client timeout, or after 3.7 s,
// whichever is sooner: every accepted request is answered by then.
#include "node_harness.h"

namespace thymewood::node {
namespace {

double seconds_since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

constexpr double kKill = 3.7;  // s after SIGTERM, for client timeouts of 3 s or more

// Their own timeout is 15 s.
TEST(Drain, AcceptedRequestsAreAnsweredBeforeTheKill) {
  for (const char* cancel : {"true", "false"}) {
    FakeServer hangs([](RawConnection&, const std::string&) { return true; });
    ConfigText config;
    config.bounds = std::string(R"("cancel":)") + cancel +
                    R"(,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,"secondCopies":true,)"
                    R"("dialTimeout":0.5,"idleClose":60.0)";
    Deployment d({&hangs}, config);
    RawConnection unsafe = d.client(), safe = d.client();
    unsafe.write(ClientRequest{.id = "unsafe"}.text());
    safe.write(ClientRequest{.request_class = "look", .id = "safe", .method = "GET", .body = ""}.text());
    ASSERT_TRUE(eventually([&] { return hangs.requests().size() == 2; }));
    const auto start = std::chrono::steady_clock::now();
    d.program->signal(SIGTERM);
    EXPECT_EQ(status_of(unsafe.read_message()), 502) << "it may have been processed";
    EXPECT_LT(seconds_since(start), kKill);
    EXPECT_EQ(status_of(safe.read_message()), 503) << "it may be retried";
    EXPECT_LT(seconds_since(start), kKill);
    EXPECT_EQ(d.program->exit_status(), 0);
    EXPECT_LT(seconds_since(start), kKill + 1);
  }
}

// Their connection is not established.
TEST(Drain, RequestsWaitingForAConnectionAreAnsweredBeforeTheKill) {
  FullListener full;
  full.fill();
  FakeDiscovery discovery;
  ConfigText config;
  config.bounds = R"("cancel":true,"maxAttempts":1,"maxRetryAfter":2.0,"retryAfter":true,)"
                  R"("secondCopies":true,"dialTimeout":12.0,"idleClose":60.0)";
  config.known = endpoint_list_json(7, true, endpoint_json("s0", full.address()));
  config.discovery = discovery.address();
  Program program(config.text());
  RawConnection client = RawConnection::connect_to(program.port());
  client.write(ClientRequest{}.text());
  ASSERT_TRUE(eventually([&] { return full.pending_connects() > 0; }));
  const auto start = std::chrono::steady_clock::now();
  program.signal(SIGTERM);
  EXPECT_EQ(status_of(client.read_message()), 503) << "it was not processed";
  EXPECT_LT(seconds_since(start), kKill);
  EXPECT_EQ(program.exit_status(), 0);
}

// The kill comes 0.7 s after the client timeout of 0.5 s.
TEST(Drain, FollowsTheLongestClientTimeout) {
  FakeServer hangs([](RawConnection&, const std::string&) { return true; });
  ConfigText config;
  config.categories = R"({"name":"close","aim":0.2,"giveUp":0.5,"effect":"unsafe","lateWorth":0.5})";
  Deployment d({&hangs}, config);
  RawConnection client = d.client(), idle = d.client();
  client.write(ClientRequest{.timeout = "500"}.text());
  ASSERT_TRUE(eventually([&] { return hangs.requests().size() == 1; }));
  const auto start = std::chrono::steady_clock::now();
  d.program->signal(SIGTERM);
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_EQ(idle.read_until_close(), "");
  EXPECT_LT(seconds_since(start), 1.2) << "no connection is open when the kill comes";
  EXPECT_EQ(d.program->exit_status(), 0);
}

// A client sends on every connection that is open.
TEST(Drain, ResponseThatEndsAfterIdleConnectionsWereClosedEndsItsConnection) {
  FakeServer server(replies(200, std::string(std::size_t{1} << 20, 'a')));
  Deployment d({&server});
  RawConnection slow = d.client(true), idle = d.client();
  idle.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_EQ(status_of(idle.read_message()), 200);
  slow.write(ClientRequest{}.text());
  ASSERT_TRUE(slow.wait_readable()) << "its response has begun and exceeds the buffers";
  const auto start = std::chrono::steady_clock::now();
  d.program->signal(SIGTERM);
  ASSERT_EQ(idle.read_until_close(), "") << "idle connections are closed now";
  EXPECT_EQ(body_of(slow.read_message()).size(), std::size_t{1} << 20);
  EXPECT_EQ(slow.read_until_close(), "");
  EXPECT_LT(seconds_since(start), kKill + 1) << "it stayed open for 10 s";
  EXPECT_EQ(d.program->exit_status(), 0);
}

// A connection in the listener's queue has been established: its client gets a response.
TEST(Drain, ListenersQueueIsAnsweredWithoutFreeDescriptors) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "the sanitizer's check of vptrs opens a pipe; see Descriptors";
#endif
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  RawConnection known = d.client();
  known.write(ClientRequest{.id = "known"}.text());
  ASSERT_EQ(status_of(known.read_message()), 200);
  d.program->signal(SIGSTOP);
  ASSERT_TRUE(eventually([&] { return d.program->state() == 'T'; }));
  known.write(ClientRequest{.id = "again"}.text());  // so that it is not evicted
  std::vector<RawConnection> clients;
  for (int i = 0; i < 80; ++i) {
    clients.push_back(d.client());
    clients.back().write(ClientRequest{.id = "late" + std::to_string(i)}.text());
  }
  d.program->limit_descriptors(d.program->next_descriptor());
  d.program->signal(SIGTERM);
  d.program->signal(SIGCONT);
  // The first ones occupy the reserve descriptor for half a second each, beyond the accept period of 0.5 s.
  int answered = 0;
  for (std::size_t i = 0; i < clients.size(); ++i) {
    answered += status_of(clients[i].read_message()) != 0 ? 1 : 0;
    if (i >= 3) clients[i].close();
  }
  EXPECT_EQ(answered, 80);
  EXPECT_EQ(d.program->exit_status(), 0);
}

// A second SIGTERM, SIGINT, a reload before it and one during it: the accepted requests are answered.
TEST(Drain, FurtherSignalsAreIgnored) {
  Gate gate;
  FakeServer server([&](RawConnection& connection, const std::string&) {
    return gate.wait() && connection.write(http_response(200, "ok"));
  });
  Deployment d({&server});
  FakeDiscovery moved;
  RawConnection client = d.client();
  client.write(ClientRequest{}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  // All of them are pending before the node handles the first.
  d.program->signal(SIGSTOP);
  ASSERT_TRUE(eventually([&] { return d.program->state() == 'T'; }));
  ConfigText config = d.config;
  config.discovery = moved.address();
  d.program->reload(config.text());
  for (const int number : {SIGTERM, SIGINT}) d.program->signal(number);
  d.program->signal(SIGCONT);
  ASSERT_TRUE(eventually([&] { return moved.calls().size() == 1; }));
  d.program->signal(SIGTERM);
  d.program->reload("{}");
  ASSERT_TRUE(eventually([&] { return d.program->logged("event=reload_failed") == 1; }));
  gate.open();
  EXPECT_EQ(status_of(client.read_message()), 200);
  EXPECT_EQ(d.program->exit_status(), 0);
}

TEST(Drain, MayBeginBeforeTheStartIsComplete) {
  FakeServer server(replies(200, "ok"));
  for (int i = 0; i < 5; ++i) {
    FakeDiscovery discovery;
    ConfigText config;
    config.known = endpoint_list_json(7, true, endpoint_json("s0", server.address()));
    config.discovery = discovery.address();
    Program program(config.text());
    program.signal(SIGTERM);
    program.signal(SIGHUP);
    EXPECT_EQ(program.exit_status(), 0);
  }
}

}  // namespace
}  // namespace thymewood::node
