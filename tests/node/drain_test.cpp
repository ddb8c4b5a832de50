// Graceful shutdown. The platform kills the node 0.7 s after the longest client timeout, or after 3.7 s,
// whichever is sooner: every accepted request must be answered by then.
#include "node_harness.h"

namespace thymewood::node {
namespace {

double seconds_since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

constexpr double kKillTime = 3.7;  // s after SIGTERM, for client timeouts of 3 s or more

// The requests' own timeout is 15 s, long after the kill.
TEST(Drain, AcceptedRequestsAreAnsweredBeforeTheKill) {
  for (const char* cancel : {"true", "false"}) {
    FakeServer hanging_server([](RawConnection&, const std::string&) { return true; });
    NodeConfig config;
    config.bounds = std::string(R"("cancel":)") + cancel +
                    R"(,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,"secondCopies":true,)"
                    R"("dialTimeout":0.5,"idleClose":60.0)";
    Deployment d({&hanging_server}, config);
    RawConnection non_idempotent = d.client(), idempotent = d.client();
    non_idempotent.write(ClientRequest{.id = "unsafe"}.text());
    idempotent.write(
        ClientRequest{.request_class = "look", .id = "safe", .method = "GET", .body = ""}.text());
    ASSERT_TRUE(eventually([&] { return hanging_server.requests().size() == 2; }));
    const auto start = std::chrono::steady_clock::now();
    d.program->signal(SIGTERM);
    EXPECT_EQ(status_of(non_idempotent.read_message()), 502) << "the request may have been processed";
    EXPECT_LT(seconds_since(start), kKillTime);
    EXPECT_EQ(status_of(idempotent.read_message()), 503) << "the client may retry the request";
    EXPECT_LT(seconds_since(start), kKillTime);
    EXPECT_EQ(d.program->exit_status(), 0);
    EXPECT_LT(seconds_since(start), kKillTime + 1);
  }
}

// The connection to the server is never established.
TEST(Drain, RequestsWaitingForAConnectionAreAnsweredBeforeTheKill) {
  ManualAcceptListener full;
  full.fill_accept_queue();
  FakeDiscovery discovery;
  NodeConfig config;
  config.bounds = R"("cancel":true,"maxAttempts":1,"maxRetryAfter":2.0,"retryAfter":true,)"
                  R"("secondCopies":true,"dialTimeout":12.0,"idleClose":60.0)";
  config.known = endpoint_list_json(7, true, endpoint_json("s0", full.address()));
  config.discovery = discovery.address();
  NodeProcess program(config.text());
  RawConnection client = RawConnection::connect_to(program.port());
  client.write(ClientRequest{}.text());
  ASSERT_TRUE(eventually([&] { return full.pending_connects() > 0; }));
  const auto start = std::chrono::steady_clock::now();
  program.signal(SIGTERM);
  EXPECT_EQ(status_of(client.read_message()), 503) << "the request was not processed";
  EXPECT_LT(seconds_since(start), kKillTime);
  EXPECT_EQ(program.exit_status(), 0);
}

// With a client timeout of 0.5 s, the kill comes 0.7 s after it.
TEST(Drain, FollowsTheLongestClientTimeout) {
  FakeServer hanging_server([](RawConnection&, const std::string&) { return true; });
  NodeConfig config;
  config.categories = R"({"name":"close","aim":0.2,"giveUp":0.5,"effect":"unsafe","lateWorth":0.5})";
  Deployment d({&hanging_server}, config);
  RawConnection client = d.client(), idle = d.client();
  client.write(ClientRequest{.timeout = "500"}.text());
  ASSERT_TRUE(eventually([&] { return hanging_server.requests().size() == 1; }));
  const auto start = std::chrono::steady_clock::now();
  d.program->signal(SIGTERM);
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_EQ(idle.read_until_close(), "");
  EXPECT_LT(seconds_since(start), 1.2) << "all connections must be closed before the kill";
  EXPECT_EQ(d.program->exit_status(), 0);
}

// Clients may send on any open connection, so a session whose response is still being written when idle
// connections are closed must close once it is complete.
TEST(Drain, ResponseThatEndsAfterIdleConnectionsWereClosedEndsItsConnection) {
  FakeServer server(respond_with(200, std::string(std::size_t{1} << 20, 'a')));
  Deployment d({&server});
  RawConnection slow = d.client(true), idle = d.client();
  idle.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_EQ(status_of(idle.read_message()), 200);
  slow.write(ClientRequest{}.text());
  ASSERT_TRUE(slow.wait_readable()) << "the response has started and exceeds the socket buffers";
  const auto start = std::chrono::steady_clock::now();
  d.program->signal(SIGTERM);
  ASSERT_EQ(idle.read_until_close(), "") << "idle connections must be closed by now";
  EXPECT_EQ(body_of(slow.read_message()).size(), std::size_t{1} << 20);
  EXPECT_EQ(slow.read_until_close(), "");
  EXPECT_LT(seconds_since(start), kKillTime + 1)
      << "connection was kept open, as for the keep-alive timeout of 10 s";
  EXPECT_EQ(d.program->exit_status(), 0);
}

// Connections in the listen queue are established, so their clients must get a response, even if the node has
// run out of descriptors.
TEST(Drain, ListenersQueueIsAnsweredWithoutFreeDescriptors) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP()
      << "the sanitizer's vptr check opens a pipe, which needs descriptors; see the Descriptors tests";
#endif
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  RawConnection known = d.client();
  known.write(ClientRequest{.id = "known"}.text());
  ASSERT_EQ(status_of(known.read_message()), 200);
  d.program->signal(SIGSTOP);
  ASSERT_TRUE(eventually([&] { return d.program->state() == 'T'; }));
  known.write(ClientRequest{.id = "again"}.text());  // keeps this session from being evicted
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

// Sends a second SIGTERM, SIGINT, and a reload before and during the shutdown. Accepted requests are still
// answered.
TEST(Drain, FurtherSignalsAreIgnored) {
  Gate gate;
  FakeServer server([&](RawConnection& connection, const std::string&) {
    return gate.wait() && connection.write(http_response(200, "ok"));
  });
  Deployment d({&server});
  FakeDiscovery new_discovery;
  RawConnection client = d.client();
  client.write(ClientRequest{}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  // All signals are pending before the node handles the first one.
  d.program->signal(SIGSTOP);
  ASSERT_TRUE(eventually([&] { return d.program->state() == 'T'; }));
  NodeConfig config = d.config;
  config.discovery = new_discovery.address();
  d.program->reload(config.text());
  for (const int number : {SIGTERM, SIGINT}) d.program->signal(number);
  d.program->signal(SIGCONT);
  ASSERT_TRUE(eventually([&] { return new_discovery.requests().size() == 1; }));
  d.program->signal(SIGTERM);
  d.program->reload("{}");
  ASSERT_TRUE(eventually([&] { return d.program->count_in_log("event=reload_failed") == 1; }));
  gate.open();
  EXPECT_EQ(status_of(client.read_message()), 200);
  EXPECT_EQ(d.program->exit_status(), 0);
}

TEST(Drain, SignalsDuringStartupEndTheNodeCleanly) {
  FakeServer server(respond_with(200, "ok"));
  for (int i = 0; i < 5; ++i) {
    FakeDiscovery discovery;
    NodeConfig config;
    config.known = endpoint_list_json(7, true, endpoint_json("s0", server.address()));
    config.discovery = discovery.address();
    NodeProcess program(config.text());
    program.signal(SIGTERM);
    program.signal(SIGHUP);
    EXPECT_EQ(program.exit_status(), 0);
  }
}

}  // namespace
}  // namespace thymewood::node
