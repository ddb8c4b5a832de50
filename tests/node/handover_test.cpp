// Connections to servers that become unusable just before a request: idle for too long, connected too late,
// or to a server that accepts no more requests.
#include "node_harness.h"

namespace thymewood::node {
namespace {

// The server's idle timeout begins with its response, not with the node's read of it, which is late in a node
// that was suspended.
TEST(IdleConnections, IdleTimeCountsFromTheArrivalOfTheResponse) {
  Gate gate;
  std::mutex mutex;
  std::chrono::steady_clock::time_point answered, ended;
  FakeServer server([&](RawConnection& connection, const std::string&) {
    gate.wait();
    connection.write(http_response(200, "ok"));
    {
      const std::lock_guard lock(mutex);
      answered = std::chrono::steady_clock::now();
    }
    connection.read_until_close();  // until the node closes it
    const std::lock_guard lock(mutex);
    ended = std::chrono::steady_clock::now();
    return false;
  });
  ConfigText config;
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
    return ended.time_since_epoch().count() != 0;
  }));
  const std::lock_guard lock(mutex);
  EXPECT_LT(std::chrono::duration<double>(ended - answered).count(), 3) << "the server may close it by then";
}

// A request with an idempotency key is retried only within the dedup window, by the time its last byte is
// written. The window is 1.5 s; the connection for the retry is established later.
TEST(DedupWindow, IsOverForAConnectThatCompletesLater) {
  Gate gate;
  FakeServer first([&](RawConnection& connection, const std::string&) {
    return gate.wait() && connection.write(http_response(500, ""));
  });
  FakeServer other(replies(200, "ok"));
  FullListener full;
  full.fill();
  ConfigText text;
  text.bounds = R"("cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,)"
                R"("secondCopies":true,"dialTimeout":12.0,"idleClose":60.0)";
  text.categories =
      R"({"name":"mark","aim":5.0,"giveUp":15.0,"effect":"keyed","group":"all","dedupWindow":1.5,"lateWorth":0.5})";
  Deployment d({&first, &other}, text);
  // Until one request is pending at the first server, and the other server has had one too.
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
  // The node has read the list once it has closed its connections to the removed server.
  d.discovery.push(endpoint_list_json(
      8, false, endpoint_json("s2", full.address()) + "," + endpoint_json("s1", other.address(), "removed")));
  ASSERT_TRUE(eventually([&] { return other.listener().open() == 0; }));
  gate.open();
  ASSERT_TRUE(eventually([&] { return full.pending_connects() > 0; }))
      << "within the window it may be retried";
  sleep_for(1600ms);
  Fd connected = full.accept();
  ASSERT_GE(connected.get(), 0);
  char byte = 0;
  const auto has = [&](int fd) { return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0; };
  ASSERT_TRUE(eventually([&] { return has(client.fd()) || has(connected.get()); }));
  EXPECT_FALSE(has(connected.get())) << "it was sent after the dedup window";
  if (!has(connected.get())) {
    EXPECT_EQ(status_of(client.read_message()), 503) << "every server would deduplicate a retry";
  }
}

// As of the time when the request is written, not when its server was chosen: the connect takes a second.
TEST(ForwardedTimeout, IsWhatIsLeftOnceConnected) {
  FullListener full;
  full.fill();
  FakeDiscovery discovery;
  ConfigText text;
  text.bounds = R"("cancel":true,"maxAttempts":1,"maxRetryAfter":2.0,"retryAfter":true,)"
                R"("secondCopies":true,"dialTimeout":12.0,"idleClose":60.0)";
  text.known = endpoint_list_json(7, true, endpoint_json("s0", full.address()));
  text.discovery = discovery.address();
  Program program(text.text());
  RawConnection client = RawConnection::connect_to(program.port());
  const auto start = std::chrono::steady_clock::now();
  client.write(ClientRequest{.id = "late", .timeout = "9000"}.text());
  ASSERT_TRUE(eventually([&] { return full.pending_connects() > 0; }));
  sleep_for(1000ms);
  RawConnection server(full.accept());
  const std::string request = server.read_message();
  const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  ASSERT_FALSE(request.empty());
  EXPECT_LE(std::stoi(field_of(request, "X-Timeout-Ms")), 9000 - 1000 + 150) << elapsed;
  EXPECT_GT(std::stoi(field_of(request, "X-Timeout-Ms")), 1000);
}

TEST(ForwardedTimeout, IsWhatIsLeftForARetry) {
  std::mutex mutex;
  std::vector<int> timeouts_ms;
  const FakeServer::Reply reject = [&](RawConnection& connection, const std::string& request) {
    {
      const std::lock_guard lock(mutex);
      timeouts_ms.push_back(std::stoi(field_of(request, "X-Timeout-Ms")));
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

// The server begins to drain, or is removed, when a part of the request is written. Its last byte would
// arrive long after the drain's grace period; without it the request has not been processed.
class PartlyWrittenRequest : public testing::TestWithParam<const char*> {};

TEST_P(PartlyWrittenRequest, GoesToAnotherServerOnceItsServerAcceptsNone) {
  FullListener tight(true);
  FakeServer other(replies(200, "other"));
  FakeDiscovery discovery;
  ConfigText text;
  text.known = endpoint_list_json(7, true, endpoint_json("s0", tight.address()));
  text.discovery = discovery.address();
  Program program(text.text());
  RawConnection client = RawConnection::connect_to(program.port());
  const std::string body(64 * 1024, 'b');
  client.write(ClientRequest{.id = "half", .body = body}.text());
  RawConnection server(tight.accept());
  ASSERT_TRUE(server.is_open());
  // Nothing is read here: a read would let the sender's buffer grow beyond the request.
  ASSERT_TRUE(server.wait_readable());
  discovery.push(endpoint_list_json(
      8, false,
      endpoint_json("s0", tight.address(), GetParam()) + "," + endpoint_json("s1", other.address())));
  const std::string answer = client.read_message();
  EXPECT_EQ(status_of(answer), 200);
  EXPECT_EQ(body_of(answer), "other");
  const std::string all = server.read_until_close();
  EXPECT_EQ(field_of(all, "X-Request-ID"), "half") << all.substr(0, 200);
  EXPECT_LT(body_of(all).size(), body.size())
      << "its last byte was sent to a server that accepts no requests";
}
INSTANTIATE_TEST_SUITE_P(Each, PartlyWrittenRequest, testing::Values("draining", "removed"));

}  // namespace
}  // namespace thymewood::node
