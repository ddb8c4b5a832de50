// Guards against sending a request on an upstream connection that became unusable just before: one that was
// idle for too long, one whose connect completed too late, or one to a server that accepts no more requests.
#include "node_harness.h"

namespace thymewood::node {
namespace {

// The server's idle timeout starts when it sends the response. A node that was stopped reads the response
// late, and must not count its own idle timeout from that read.
TEST(IdleConnections, IdleTimeCountsFromTheArrivalOfTheResponse) {
  Gate gate;
  std::mutex mutex;
  std::chrono::steady_clock::time_point responded_at, closed_at;
  FakeServer server([&](RawConnection& connection, const std::string&) {
    gate.wait();
    connection.write(http_response(200, "ok"));
    {
      const std::lock_guard lock(mutex);
      responded_at = std::chrono::steady_clock::now();
    }
    connection.read_until_close();  // returns when the node closes the connection
    const std::lock_guard lock(mutex);
    closed_at = std::chrono::steady_clock::now();
    return false;
  });
  NodeConfig config;
  config.bounds = R"("cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,)"
                  R"("secondCopies":true,"dialTimeout":0.5,"idleClose":3.0)";
  Deployment d({&server}, config);
  RawConnection client = d.client();
  client.write(ClientRequest{}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  d.program->signal(SIGSTOP);
  ASSERT_TRUE(eventually([&] { return d.program->state() == 'T'; }));
  gate.open();
  sleep_for(2000ms);
  d.program->signal(SIGCONT);
  EXPECT_EQ(status_of(client.read_message()), 200);
  ASSERT_TRUE(eventually([&] {
    const std::lock_guard lock(mutex);
    return closed_at.time_since_epoch().count() != 0;
  }));
  const std::lock_guard lock(mutex);
  EXPECT_LT(std::chrono::duration<double>(closed_at - responded_at).count(), 3)
      << "the server may close the connection after 3 s";
}

// A retry with an idempotency key has to be written completely within the deduplication window. The window
// is 1.5 s here, and the connect for the retry completes after it.
TEST(DedupWindow, IsCheckedAgainWhenTheConnectCompletes) {
  Gate gate;
  FakeServer first([&](RawConnection& connection, const std::string&) {
    return gate.wait() && connection.write(http_response(500, ""));
  });
  FakeServer other(respond_with(200, "ok"));
  ManualAcceptListener full;
  full.fill_accept_queue();
  NodeConfig config;
  config.bounds = R"("cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,)"
                  R"("secondCopies":true,"dialTimeout":12.0,"idleClose":60.0)";
  config.categories =
      R"({"name":"mark","aim":5.0,"giveUp":15.0,"effect":"keyed","group":"all","dedupWindow":1.5,"lateWorth":0.5})";
  Deployment d({&first, &other}, config);
  // Sends requests until one is pending at the first server and the other server has received one too.
  RawConnection client;
  for (int i = 0; first.requests().empty() || other.requests().empty(); ++i) {
    RawConnection next = d.client();
    next.write(ClientRequest{
        .request_class = "mark", .id = "again" + std::to_string(i), .key = "k" + std::to_string(i)}
                   .text());
    const std::size_t before = other.requests().size();
    ASSERT_TRUE(eventually([&] { return !first.requests().empty() || other.requests().size() > before; }));
    if (!client.is_open() && !first.requests().empty()) {
      client = std::move(next);
    } else if (other.requests().size() > before) {
      ASSERT_EQ(status_of(next.read_message()), 200);
    }
  }
  ASSERT_EQ(first.requests().size(), 1U);
  // The node has applied the endpoint update once it has closed its connections to the removed server.
  d.discovery.push(endpoint_list_json(
      8, false, endpoint_json("s2", full.address()) + "," + endpoint_json("s1", other.address(), "removed")));
  ASSERT_TRUE(eventually([&] { return other.listener().open_connections() == 0; }));
  gate.open();
  ASSERT_TRUE(eventually([&] { return full.pending_connects() > 0; }))
      << "a retry within the window is allowed";
  sleep_for(1600ms);
  Fd connected = full.accept();
  ASSERT_GE(connected.get(), 0);
  char byte = 0;
  const auto has_data = [&](int fd) { return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0; };
  ASSERT_TRUE(eventually([&] { return has_data(client.fd()) || has_data(connected.get()); }));
  EXPECT_FALSE(has_data(connected.get())) << "the retry was sent after the deduplication window";
  if (!has_data(connected.get())) {
    EXPECT_EQ(status_of(client.read_message()), 503)
        << "not 502, since every server would deduplicate a repeated request";
  }
}

// X-Timeout-Ms is computed when the request is written, not when its server was chosen: the connect takes a
// second.
TEST(ForwardedTimeout, ExcludesTheTimeOfTheConnect) {
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
  const auto start = std::chrono::steady_clock::now();
  client.write(ClientRequest{.id = "late", .timeout = "9000"}.text());
  ASSERT_TRUE(eventually([&] { return full.pending_connects() > 0; }));
  sleep_for(1000ms);
  RawConnection server(full.accept());
  const std::string request = server.read_message();
  const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  ASSERT_FALSE(request.empty());
  EXPECT_LE(std::stoi(header_of(request, "X-Timeout-Ms")), 9000 - 1000 + 150) << elapsed;
  EXPECT_GT(std::stoi(header_of(request, "X-Timeout-Ms")), 1000);
}

TEST(ForwardedTimeout, OfARetryExcludesTheFirstAttempt) {
  std::mutex mutex;
  std::vector<int> timeouts_ms;
  const FakeServer::Handler reject = [&](RawConnection& connection, const std::string& request) {
    {
      const std::lock_guard lock(mutex);
      timeouts_ms.push_back(std::stoi(header_of(request, "X-Timeout-Ms")));
    }
    sleep_for(1000ms);
    return connection.write(http_response(503, "", "X-Not-Processed: 1\r\n"));
  };
  FakeServer one(reject), two(reject);
  Deployment d({&one, &two});
  RawConnection client = d.client();
  client.write(ClientRequest{.id = "again", .timeout = "9000"}.text());
  EXPECT_EQ(status_of(client.read_message()), 503);
  const std::lock_guard lock(mutex);
  ASSERT_EQ(timeouts_ms.size(), 2U);
  EXPECT_LE(timeouts_ms[0], 9000 + 150);
  EXPECT_LE(timeouts_ms[1], 9000 - 1000 + 150);
  EXPECT_GT(timeouts_ms[1], 1000);
}

// The server starts draining, or is removed, when part of the request has been written. The last byte would
// arrive long after the drain's grace period. Without it the server cannot have processed the request, so a
// retry is safe.
class PartlyWrittenRequest : public testing::TestWithParam<const char*> {};

TEST_P(PartlyWrittenRequest, IsRetriedOnAnotherServerOnceItsServerIsUnusable) {
  ManualAcceptListener listener(true);
  FakeServer other(respond_with(200, "other"));
  FakeDiscovery discovery;
  NodeConfig config;
  config.known = endpoint_list_json(7, true, endpoint_json("s0", listener.address()));
  config.discovery = discovery.address();
  NodeProcess program(config.text());
  RawConnection client = RawConnection::connect_to(program.port());
  const std::string body(64 * 1024, 'b');
  client.write(ClientRequest{.id = "half", .body = body}.text());
  RawConnection server(listener.accept());
  ASSERT_TRUE(server.is_open());
  // Reading here would let the node's send buffer grow until it holds the whole request.
  ASSERT_TRUE(server.wait_readable());
  discovery.push(endpoint_list_json(
      8, false,
      endpoint_json("s0", listener.address(), GetParam()) + "," + endpoint_json("s1", other.address())));
  const std::string response = client.read_message();
  EXPECT_EQ(status_of(response), 200);
  EXPECT_EQ(body_of(response), "other");
  const std::string received = server.read_until_close();
  EXPECT_EQ(header_of(received, "X-Request-ID"), "half") << received.substr(0, 200);
  EXPECT_LT(body_of(received).size(), body.size())
      << "the last byte of the request was sent to a server that accepts no requests";
}
INSTANTIATE_TEST_SUITE_P(Each, PartlyWrittenRequest, testing::Values("draining", "removed"));

}  // namespace
}  // namespace thymewood::node
