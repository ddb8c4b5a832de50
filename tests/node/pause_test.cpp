// A node that was suspended or starved of CPU time: the age of received data counts from its arrival in the
// kernel, not from the read.
#include <optional>

#include "memory_budget.h"
#include "node_harness.h"
#include "upstream.h"

namespace thymewood::node {
namespace {

// Suspends the process and waits until the signal has taken effect.
void suspend(const NodeProcess& program) {
  program.signal(SIGSTOP);
  ASSERT_TRUE(eventually([&] { return program.state() == 'T'; }));
}

int count_requests(FakeServer& server, const std::string& prefix) {
  int out = 0;
  for (const std::string& request : server.requests())
    out += header_of(request, "X-Request-ID").starts_with(prefix) ? 1 : 0;
  return out;
}

// Once this request is answered, the node has processed all data that was in its sockets before.
void request_and_wait(Deployment& d, const std::string& id) {
  RawConnection client = d.client();
  client.write(ClientRequest{.id = id}.text());
  ASSERT_EQ(status_of(client.read_message()), 200);
}

TEST(PausedNode, ForwardsNothingForClientsThatLeftTheListenersQueue) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  request_and_wait(d, "before");
  suspend(*d.program);
  std::vector<RawConnection> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(d.client());
    clients.back().write(ClientRequest{.id = "late" + std::to_string(i), .timeout = "500"}.text());
  }
  sleep_for(600ms);
  for (RawConnection& client : clients) client.close();
  sleep_for(900ms);
  d.program->signal(SIGCONT);
  request_and_wait(d, "after");
  EXPECT_EQ(count_requests(server, "late"), 0);
}

// On open connections and before the timeout, only the FIN shows that the clients have disconnected.
TEST(PausedNode, ForwardsNothingForClientsThatClosedBeforeTheirTimeout) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  std::vector<RawConnection> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(d.client());
    clients.back().write(ClientRequest{.id = "early" + std::to_string(i)}.text());
    ASSERT_EQ(status_of(clients.back().read_message()), 200);
  }
  suspend(*d.program);
  for (int i = 0; i < 20; ++i) {
    clients[static_cast<std::size_t>(i)].write(ClientRequest{.id = "late" + std::to_string(i)}.text());
  }
  sleep_for(200ms);
  for (RawConnection& client : clients) client.close();
  d.program->signal(SIGCONT);
  request_and_wait(d, "after");
  EXPECT_EQ(count_requests(server, "late"), 0);
  EXPECT_EQ(count_requests(server, "early"), 20);
}

// The timeout counts from the arrival of the request's last byte.
TEST(PausedNode, ShedsExpiredRequestsAndForwardsTheRemainingTimeout) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  request_and_wait(d, "before");
  suspend(*d.program);
  RawConnection expired = d.client(), unexpired = d.client();
  expired.write(ClientRequest{.id = "expired", .timeout = "500"}.text());
  unexpired.write(ClientRequest{.id = "unexpired", .timeout = "9000"}.text());
  sleep_for(1500ms);
  d.program->signal(SIGCONT);
  EXPECT_EQ(status_of(expired.read_message()), 503)
      << "the request was not forwarded, so the client may retry it";
  EXPECT_EQ(status_of(unexpired.read_message()), 200);
  EXPECT_EQ(count_requests(server, "expired"), 0);
  const std::vector<std::string> requests = server.requests();
  const int remaining_ms = std::stoi(header_of(requests.back(), "X-Timeout-Ms"));
  EXPECT_LE(remaining_ms, 7500) << "1.5 s of the timeout of 9 s have passed";
  EXPECT_GT(remaining_ms, 3000);
}

// Data that arrived before a timeout expired takes precedence over the timeout.
TEST(PausedNode, ServesAFirstRequestThatArrivedInTimeButWasReadLate) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  RawConnection client = d.client();
  request_and_wait(d, "before");  // by then the first connection has been accepted too
  suspend(*d.program);
  client.write(ClientRequest{.id = "first"}.text());
  sleep_for(2800ms);  // longer than the first-request timeout of 2.5 s
  d.program->signal(SIGCONT);
  EXPECT_EQ(status_of(client.read_message()), 200);
}

// The endpoint update is unread in the socket of the watch, and client requests may be read before it.
TEST(PausedNode, ReadsTheEndpointListBeforeItForwards) {
  FakeServer drained(respond_with(200, "drained")), other(respond_with(200, "other"));
  Deployment d({&drained, &other});
  ASSERT_TRUE(eventually([&] { return !d.discovery.requests().empty(); }));
  std::vector<RawConnection> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(d.client());
    clients.back().write(ClientRequest{.id = "early" + std::to_string(i)}.text());
    ASSERT_EQ(status_of(clients.back().read_message()), 200);
  }
  ASSERT_GT(count_requests(drained, "early"), 0);
  suspend(*d.program);
  for (int i = 0; i < 40; ++i) {
    clients[static_cast<std::size_t>(i)].write(ClientRequest{.id = "late" + std::to_string(i)}.text());
  }
  d.discovery.push(endpoint_list_json(8, false, endpoint_json("s0", drained.address(), "draining")));
  sleep_for(1200ms);
  d.program->signal(SIGCONT);
  // All requests together may exceed the server's concurrency limit.
  int served = 0;
  for (RawConnection& client : clients) served += status_of(client.read_message()) == 200 ? 1 : 0;
  EXPECT_EQ(count_requests(drained, "late"), 0);
  EXPECT_EQ(count_requests(other, "late"), served);
  EXPECT_GT(served, 0);
}

TEST(PausedNode, ChecksTheClientBeforeItWritesToANewConnection) {
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
  client.write(ClientRequest{.id = "late"}.text());
  ASSERT_TRUE(eventually([&] { return full.pending_connects() > 0; }));
  suspend(program);
  Fd connected = full.accept();
  ASSERT_GE(connected.get(), 0);
  client.close();
  sleep_for(100ms);
  program.signal(SIGCONT);
  RawConnection server(std::move(connected));
  EXPECT_EQ(server.read_until_close(), "") << "the request was sent although its client has disconnected";
}

// The time for which a response was unread is not part of the server's response time.
TEST(StarvedLoop, MeasuresAResponseUntilItsArrival) {
  FakeServer server(respond_with(200, "ok"));
  boost::asio::io_context io(1);
  MemoryBudget budget;
  budget.set_limit(1 << 20);
  Upstream upstream(io, {0.5, 60, 10}, budget);
  upstream.update_endpoint(
      "s0", {boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(server.listener().port())},
      0, true);
  const auto request = std::make_shared<HttpRequest>();
  request->method(boost::beast::http::verb::post);
  request->target("/close/k");
  request->set("X-Request-ID", "r");
  request->prepare_payload();
  std::optional<Upstream::Result> end;
  const Upstream::Handle attempt = upstream.start(
      "s0", request, {10}, true, {[] { return true; }, [&](Upstream::Result&& e) { end = std::move(e); }});
  // Runs the loop until the request is sent, and not after that.
  while (server.requests().empty()) io.run_one_for(2ms);
  EXPECT_FALSE(end);
  sleep_for(400ms);
  ASSERT_TRUE(eventually([&] {
    io.poll();
    return end.has_value();
  }));
  EXPECT_EQ(end->outcome, Outcome::kSuccess);
  EXPECT_GT(end->unread_time, 0.3);
  EXPECT_LT(end->unread_time, 10);
}

// Whether a request may be sent is checked again once the connection is established.
TEST(StarvedLoop, ChecksPermissionAndDeadlineBeforeSending) {
  FakeServer server(respond_with(200, "ok"));
  boost::asio::io_context io(1);
  MemoryBudget budget;
  budget.set_limit(1 << 20);
  Upstream upstream(io, {0.5, 60, 10}, budget);
  const boost::asio::ip::tcp::endpoint address{boost::asio::ip::address_v4::loopback(),
                                               static_cast<unsigned short>(server.listener().port())};
  upstream.update_endpoint("s0", address, 0, true);
  const auto request = std::make_shared<HttpRequest>();
  std::vector<Outcome> ends;
  const auto start = [&](double timeout, std::function<bool()> may_send) {
    const std::size_t before = ends.size();
    const Upstream::Handle attempt =
        upstream.start("s0", request, {timeout}, true,
                       {std::move(may_send), [&](Upstream::Result&& e) { ends.push_back(e.outcome); }});
    sleep_for(30ms);
    io.restart();
    ASSERT_TRUE(eventually([&] {
      io.poll();
      return ends.size() > before;
    }));
  };
  start(10, [] { return false; });
  start(0.02, [] { return true; });
  start(10, [&] {
    upstream.update_endpoint("s0", address, 0, false);  // the server begins to drain
    return true;
  });
  upstream.update_endpoint("s0", address, 0, true);
  start(10, [&] {
    upstream.update_endpoint("s0", address, 12, true);  // the server has restarted
    return true;
  });
  ASSERT_EQ(ends.size(), 4U);
  for (const std::size_t i : {0U, 2U, 3U}) EXPECT_EQ(ends[i], Outcome::kNotSent) << i;
  EXPECT_TRUE(ends[1] == Outcome::kNotSent || ends[1] == Outcome::kConnectFailed)
      << "depends on whether the timer or the connect completes first";
  EXPECT_TRUE(server.requests().empty());
}

// The node gets short slices of CPU time between suspensions.
TEST(StarvedNode, ForwardsNothingForClientsThatDisconnected) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  request_and_wait(d, "before");
  for (int round = 0; round < 8; ++round) {
    suspend(*d.program);
    std::vector<RawConnection> clients;
    for (int i = 0; i < 4; ++i) {
      clients.push_back(d.client());
      clients.back().write(
          ClientRequest{.id = "late" + std::to_string(round) + "_" + std::to_string(i), .timeout = "100"}
              .text());
    }
    sleep_for(150ms);
    for (RawConnection& client : clients) client.close();
    d.program->signal(SIGCONT);
    sleep_for(2ms);
  }
  request_and_wait(d, "after");
  EXPECT_EQ(count_requests(server, "late"), 0);
}

}  // namespace
}  // namespace thymewood::node
