// Misbehaving clients and servers, exhausted limits, and reused server addresses.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "node_harness.h"

namespace thymewood::node {
namespace {

double seconds_since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

// ---------------------------------------------------------------- misbehaving clients

TEST(MisbehavingClients, SilentConnectionIsClosed) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  const auto start = std::chrono::steady_clock::now();
  RawConnection client = d.client();
  EXPECT_EQ(client.read_until_close(), "");
  EXPECT_LT(seconds_since(start), 10) << "the protocol allows 3 s";
}

// The timeout of the first request counts from the accept: it neither starts with the first byte nor restarts
// with each byte.
TEST(MisbehavingClients, SlowFirstRequestTimesOutByTheAgeOfItsConnection) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  const auto start = std::chrono::steady_clock::now();
  RawConnection client = d.client();
  std::this_thread::sleep_for(1500ms);
  client.write("POST /close/k HTTP/1.1\r\n");
  EXPECT_EQ(status_of(client.read_message()), 408);
  EXPECT_LT(seconds_since(start), 5.5);
}

TEST(MisbehavingClients, SilentConnectionsAreEvictedBeforeServedClients) {
  FakeServer server(respond_with(200, "ok"));
  NodeConfig config;
  config.sockets = 64;  // allows 20 client connections
  Deployment d({&server}, config);
  RawConnection served = d.client();
  served.write(ClientRequest{.id = "first"}.text());
  ASSERT_EQ(status_of(served.read_message()), 200);
  std::vector<RawConnection> silent;
  for (int i = 0; i < 60; ++i) silent.push_back(d.client());
  // Once a later client is served, all silent connections have been accepted.
  int request_count = 0;
  ASSERT_TRUE(eventually([&] {
    RawConnection late = d.client();
    late.write(ClientRequest{.id = "late" + std::to_string(++request_count)}.text());
    return status_of(late.read_message()) == 200;
  }));
  served.write(ClientRequest{.id = "second"}.text());
  EXPECT_EQ(status_of(served.read_message()), 200) << "the connection of the served client is still open";
}

// When no descriptor is free, the node accepts a client on a descriptor held in reserve, to answer it with a
// 503.
TEST(Descriptors, ClientIsRejectedWhenNoneIsFree) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "the sanitizer's vptr check opens a pipe to test whether memory is readable, and takes a "
                  "failure to open the pipe for unreadable memory";
#endif
  Gate gate;
  const FakeServer::Handler reply_after_gate = [&](RawConnection& connection, const std::string&) {
    return gate.wait() && connection.write(http_response(200, "ok"));
  };
  FakeServer one(reply_after_gate), two(reply_after_gate), three(reply_after_gate), four(reply_after_gate),
      five(reply_after_gate), six(reply_after_gate);
  std::vector<FakeServer*> servers{&one, &two, &three, &four, &five, &six};
  Deployment d(servers);
  std::vector<RawConnection> in_flight;
  for (int i = 0; i < 6; ++i) {
    in_flight.push_back(d.client());
    in_flight.back().write(ClientRequest{.id = "in_flight" + std::to_string(i)}.text());
  }
  ASSERT_TRUE(eventually([&] {
    std::size_t received = 0;
    for (FakeServer* server : servers) received += server->requests().size();
    return received == 6;
  }));
  // From now on no descriptor is free, and no idle connection can be closed to free one.
  d.program->limit_descriptors(d.program->next_descriptor());
  std::vector<RawConnection> late;
  for (int i = 0; i < 3; ++i) {
    late.push_back(d.client());
    late.back().write(ClientRequest{.id = "late" + std::to_string(i)}.text());
  }
  for (RawConnection& client : late) {
    const std::string response = client.read_message();
    EXPECT_EQ(status_of(response), 503);
    EXPECT_NE(header_of(response, "Retry-After"), "");
  }
  gate.open();
  for (RawConnection& client : in_flight) EXPECT_EQ(status_of(client.read_message()), 200);
  d.program->limit_descriptors(256);
  RawConnection again = d.client();
  again.write(ClientRequest{.id = "again"}.text());
  EXPECT_EQ(status_of(again.read_message()), 200);
}

TEST(MisbehavingClients, InvalidRequestsAreAnsweredAndTheConnectionStaysOpen) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  RawConnection client = d.client();
  client.write(ClientRequest{.id = "", .body = ""}.text() +
               ClientRequest{.request_class = "dance", .body = ""}.text() + ClientRequest{}.text());
  EXPECT_EQ(status_of(client.read_message()), 400);
  EXPECT_EQ(status_of(client.read_message()), 400);
  EXPECT_EQ(status_of(client.read_message()), 200);
}

TEST(MisbehavingClients, LongTimeoutIsLimitedToThatOfTheClass) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  RawConnection client = d.client();
  client.write(ClientRequest{.timeout = "900000000"}.text());
  ASSERT_EQ(status_of(client.read_message()), 200);
  EXPECT_LE(std::stoi(header_of(server.requests()[0], "X-Timeout-Ms")), 15000);
}

TEST(MisbehavingClients, ExpectContinueIsAnswered) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  RawConnection client = d.client();
  const std::string request = ClientRequest{.headers = "Expect: 100-continue\r\n"}.text();
  client.write(request.substr(0, request.size() - 2));
  EXPECT_EQ(status_of(client.read_message()), 100);
  client.write("{}");
  EXPECT_EQ(status_of(client.read_message()), 200);
}

// If the node and a server disagree about the length of a body, a client can smuggle a request past the node.
TEST(MisbehavingClients, AmbiguousLengthsAreNeverForwarded) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  const std::string smuggled = ClientRequest{.id = "hidden"}.text();
  for (const std::string fields :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5, 5\r\n", "Content-Length: -5\r\n", "Content-Length: 99999999999999999999999\r\n",
        "Transfer-Encoding: identity, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "Transfer-Encoding: xchunked\r\n",
        "Content-Length : 5\r\n"}) {
    RawConnection client = d.client();
    client.write(ClientRequest{.body = "", .headers = fields}.text() + "0\r\n\r\n" + smuggled);
    const std::string response = client.read_message();
    EXPECT_TRUE(response.empty() || status_of(response) >= 400) << fields << response;
    EXPECT_EQ(client.read_until_close().find("200 OK"), std::string::npos) << fields;
  }
  EXPECT_TRUE(server.requests().empty());
}

// ---------------------------------------------------------------- limits

// The request bodies of all connections share one memory budget.
TEST(Limits, BodiesBeyondTheMemoryBudgetAreRejectedWithRetryAfter) {
  FakeServer server(respond_with(200, "ok"));
  NodeConfig config;
  config.memory_mb = 8;  // 2.7 MB of these are for messages, which is enough for 40 bodies
  Deployment d({&server}, config);
  constexpr int kClients = 80;
  {
    std::vector<RawConnection> clients;
    for (int i = 0; i < kClients; ++i) {
      clients.push_back(d.client());
      clients.back().write("POST /close/k HTTP/1.1\r\nHost: a\r\nContent-Length: 65000\r\n\r\n" +
                           std::string(60000, 'x'));
    }
    int rejected = 0, timed_out = 0;
    for (RawConnection& client : clients) {
      const std::string response = client.read_message();
      if (!response.empty() && status_of(response) == 503 && !header_of(response, "Retry-After").empty())
        ++rejected;
      if (!response.empty() && status_of(response) == 408) ++timed_out;
    }
    EXPECT_GE(rejected, kClients / 4);
    EXPECT_GT(timed_out, 0) << "the node reads the requests that fit into the budget, and times out waiting "
                               "for the rest of their bodies";
  }
  RawConnection after = d.client();
  after.write(ClientRequest{.body = std::string(60000, 'x')}.text());
  EXPECT_EQ(status_of(after.read_message()), 200) << "the memory of the closed connections is released";
}

// ---------------------------------------------------------------- misbehaving servers

TEST(MisbehavingServers, ResponsesWithInvalidLengthsAreFailures) {
  std::mutex mutex;
  std::string next_response;
  FakeServer server([&](RawConnection& connection, const std::string&) {
    const std::lock_guard lock(mutex);
    return connection.write("HTTP/1.1 200 OK\r\n" + next_response);
  });
  Deployment d({&server});
  int request_count = 0;
  for (const std::string response :
       {"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "Content-Length: -2\r\n\r\nab",
        "Content-Length: two\r\n\r\nab",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", "Content-Length: 3000000000\r\n\r\nab"}) {
    {
      const std::lock_guard lock(mutex);
      next_response = response;
    }
    RawConnection client = d.client();
    client.write(ClientRequest{.id = "l" + std::to_string(++request_count)}.text());
    const int status = status_of(client.read_message());
    EXPECT_TRUE(status == 502 || status == 503) << response << status;
  }
}

// The node does not buffer an endless chunk-size line without bound.
TEST(MisbehavingServers, EndlessChunkExtensionIsAbandoned) {
  FakeServer server([](RawConnection& connection, const std::string&) {
    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;");
    while (connection.write(std::string(64 * 1024, 'x'))) {
    }
    return false;
  });
  Deployment d({&server});
  const auto start = std::chrono::steady_clock::now();
  RawConnection client = d.client();
  client.write(ClientRequest{}.text());
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_LT(seconds_since(start), 10) << "the client's timeout is 15 s";
}

// A connection that becomes idle with surplus bytes unread is not given to an attempt that waits for a
// connection. The first response has exactly the size of one read, so that the duplicate is not read along
// with it.
TEST(MisbehavingServers, DuplicateResponseDoesNotAnswerTheWaitingAttempt) {
  ManualAcceptListener server;
  FakeDiscovery discovery;
  NodeConfig config;
  config.discovery = discovery.address();
  config.known = endpoint_list_json(7, true, endpoint_json("s0", server.address()));
  config.bounds = R"("cancel":true,"maxAttempts":3,"dialTimeout":14.0,"idleClose":60.0)";
  NodeProcess program(config.text());
  RawConnection one = RawConnection::connect_to(program.port()),
                two = RawConnection::connect_to(program.port());
  one.write(ClientRequest{.id = "one"}.text());
  RawConnection first(server.accept());
  ASSERT_EQ(header_of(first.read_message(), "X-Request-ID"), "one");
  server.fill_accept_queue();
  two.write(ClientRequest{.id = "two"}.text());
  ASSERT_TRUE(eventually([&] { return server.pending_connects() == 1; }));
  std::string response = http_response(200, "one", "X-Fill: \r\n");
  response.insert(response.find("\r\n\r\n"), std::string(512 - response.size(), 'x'));
  first.write(response + response);
  EXPECT_EQ(body_of(one.read_message()), "one");
  RawConnection second(server.accept());
  EXPECT_EQ(header_of(second.read_message(), "X-Request-ID"), "two");
  second.write(http_response(200, "two"));
  EXPECT_EQ(body_of(two.read_message()), "two");
}

TEST(MisbehavingServers, UnsolicitedResponsesDoNotEndTheNode) {
  std::atomic<int> requests = 0;
  Listener server([&](RawConnection& connection) {
    connection.write(http_response(200, "unsolicited"));
    if (!connection.read_message().empty()) ++requests;
  });
  FakeDiscovery discovery;
  NodeConfig config;
  config.discovery = discovery.address();
  config.known = endpoint_list_json(7, true, endpoint_json("s0", server.address()));
  NodeProcess program(config.text());
  for (int i = 0; i < 5; ++i) {
    RawConnection client = RawConnection::connect_to(program.port());
    client.write(ClientRequest{.id = "u" + std::to_string(i)}.text());
    // An unsolicited response that arrives just after the request cannot be distinguished from the real one,
    // so any response is accepted here.
    const std::string response = client.read_message();
    EXPECT_FALSE(response.empty());
  }
  EXPECT_TRUE(program.running());
}

// ---------------------------------------------------------------- addresses

// A pending connect to a removed server may reach a new server that was given the same address.
TEST(AddressReuse, NewServerAtARemovedServersAddressGetsItsOwnConnection) {
  ManualAcceptListener server;
  FakeDiscovery discovery;
  NodeConfig config;
  config.discovery = discovery.address();
  config.known = endpoint_list_json(7, true, endpoint_json("s0", server.address()));
  config.bounds = R"("cancel":true,"maxAttempts":3,"dialTimeout":14.0,"idleClose":60.0)";
  NodeProcess program(config.text());
  server.fill_accept_queue();
  RawConnection client = RawConnection::connect_to(program.port());
  client.write(ClientRequest{}.text());
  ASSERT_TRUE(eventually([&] { return server.pending_connects() == 1; }));
  discovery.push(endpoint_list_json(
      8, false,
      endpoint_json("s0", server.address(), "removed") + "," + endpoint_json("s1", server.address())));
  // The waiting attempt ends as not processed, and the retry opens a new connection to the new server.
  ASSERT_TRUE(eventually([&] { return server.pending_connects() == 2; }));
  std::vector<RawConnection> connections;
  for (int i = 0; i < 2; ++i) connections.emplace_back(server.accept());
  int requests = 0;
  for (RawConnection& connection : connections) {
    if (connection.read_message().empty()) continue;  // closed unused
    ++requests;
    connection.write(http_response(200, "new"));
  }
  EXPECT_EQ(requests, 1);
  EXPECT_EQ(body_of(client.read_message()), "new");
}

// The bodies are longer than the limit in the protocol. One is sent at once with a Content-Length; the other
// is chunked, and the node reads its chunks one by one.
TEST(Clients, MaySendLongRequests) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  RawConnection client = d.client();
  const std::string body(90 * 1024, 'b');
  client.write(ClientRequest{.id = "length", .body = body}.text());
  EXPECT_EQ(status_of(client.read_message()), 200);
  client.write(ClientRequest{.id = "chunks", .body = "", .headers = "Transfer-Encoding: chunked\r\n"}.text());
  for (std::size_t at = 0; at < body.size(); at += 9 * 1024) {
    ASSERT_TRUE(client.write("2400\r\n" + body.substr(at, 9 * 1024) + "\r\n"));
    int unread = 1;
    ASSERT_TRUE(eventually([&] { return ::ioctl(client.fd(), SIOCOUTQ, &unread) == 0 && unread == 0; }));
  }
  client.write("0\r\n\r\n");
  EXPECT_EQ(status_of(client.read_message()), 200);
  ASSERT_EQ(server.requests().size(), 2U);
  for (const std::string& request : server.requests()) EXPECT_EQ(body_of(request), body);
}

// These requests are shed, since nothing was processed, and without the delay that the node adds after an
// invalid request.
TEST(Clients, RequestsWithNoTimeLeftAreShedAtOnce) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  RawConnection client = d.client();
  for (int i = 0; i < 3; ++i) {
    client.write(ClientRequest{.id = "none" + std::to_string(i), .timeout = "0"}.text());
    const std::string response = client.read_message();
    EXPECT_EQ(status_of(response), 503) << response;
    EXPECT_FALSE(header_of(response, "Retry-After").empty());
  }
  EXPECT_TRUE(server.requests().empty());
  client.write(ClientRequest{.id = "some"}.text());
  EXPECT_EQ(status_of(client.read_message()), 200);
}

}  // namespace
}  // namespace thymewood::node
