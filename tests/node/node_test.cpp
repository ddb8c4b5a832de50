// Basic behavior of the node over loopback sockets: client connections, the discovery watch, and the
// lifecycle.
#include "node_harness.h"

namespace thymewood::node {
namespace {

TEST(Node, ForwardsARequestUnchanged) {
  FakeServer server(respond_with(200, "the response", "Content-Type: text/x-mark\r\n"));
  Deployment d({&server});
  RawConnection client = d.client();
  client.write(
      ClientRequest{.request_class = "mark", .body = "payload", .timeout = "9000", .key = "k-77"}.text());
  const std::string response = client.read_message();
  EXPECT_EQ(status_of(response), 200) << response;
  EXPECT_EQ(body_of(response), "the response");
  EXPECT_EQ(header_of(response, "Content-Type"), "text/x-mark");
  ASSERT_EQ(server.requests().size(), 1U);
  const std::string request = server.requests()[0];
  EXPECT_EQ(request.rfind("POST /mark/k1?x=1 HTTP/1.1\r\n", 0), 0U) << request;
  EXPECT_EQ(header_of(request, "X-Request-ID"), "r1");
  EXPECT_EQ(header_of(request, "Idempotency-Key"), "k-77");
  EXPECT_EQ(body_of(request), "payload");
  // The node forwards the timeout of the attempt, which is shorter than the client's.
  const int timeout_ms = std::stoi(header_of(request, "X-Timeout-Ms"));
  EXPECT_GT(timeout_ms, 0);
  EXPECT_LT(timeout_ms, 9000);
}

TEST(Node, ReusesConnectionsOnBothSides) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  RawConnection client = d.client();
  for (int i = 0; i < 5; ++i) {
    client.write(ClientRequest{.id = "r" + std::to_string(i)}.text());
    EXPECT_EQ(status_of(client.read_message()), 200);
  }
  EXPECT_EQ(server.listener().accepted_connections(), 1);
}

// ---------------------------------------------------------------- clients

TEST(Clients, SplitRequestIsReassembled) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  RawConnection client = d.client();
  for (const char c : ClientRequest{}.text()) client.write(std::string(1, c));
  EXPECT_EQ(status_of(client.read_message()), 200);
}

TEST(Clients, PipelinedRequestsAreAnsweredInOrder) {
  FakeServer server([](RawConnection& connection, const std::string& request) {
    return connection.write(http_response(200, header_of(request, "X-Request-ID")));
  });
  Deployment d({&server});
  RawConnection client = d.client();
  std::string all;
  for (int i = 0; i < 20; ++i) all += ClientRequest{.id = "r" + std::to_string(i)}.text();
  client.write(all);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(body_of(client.read_message()), "r" + std::to_string(i));
}

TEST(Clients, DisconnectClosesTheConnectionOfTheAttempt) {
  FakeServer server([](RawConnection&, const std::string&) { return true; });
  Deployment d({&server});
  RawConnection client = d.client();
  client.write(ClientRequest{}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  client.close();
  EXPECT_TRUE(eventually([&] { return server.closed_by_node() == 1; }));
}

// ---------------------------------------------------------------- discovery

TEST(Watch, ResumesAfterTheKnownListAndReassemblesSplitAndJoinedLines) {
  FakeServer old_server(respond_with(200, "old")), new_server(respond_with(200, "new"));
  Deployment d({&old_server});
  ASSERT_TRUE(eventually([&] { return !d.discovery.requests().empty(); }));
  EXPECT_NE(d.discovery.requests()[0].find("watch=1&after=7 "), std::string::npos);
  const std::string lines =
      endpoint_list_json(8, false, endpoint_json("s0", old_server.address(), "draining")) + "\n\n" +
      endpoint_list_json(9, false, endpoint_json("s1", new_server.address())) + "\n";
  const std::size_t split = lines.size() / 3;
  d.discovery.push_bytes(http_chunk(lines.substr(0, split)));
  d.discovery.push_bytes(http_chunk(lines.substr(split)));
  int request_count = 0;
  EXPECT_TRUE(eventually([&] {
    RawConnection client = d.client();
    client.write(ClientRequest{.id = "w" + std::to_string(++request_count)}.text());
    return body_of(client.read_message()) == "new";
  }));
  d.discovery.close_watch();
  ASSERT_TRUE(eventually([&] { return d.discovery.requests().size() >= 2; }));
  EXPECT_NE(d.discovery.requests()[1].find("watch=1&after=9 "), std::string::npos);
}

TEST(Watch, NodeReconnectsByItselfWhereListsArePushed) {
  FakeServer server(respond_with(200, "ok"));
  FakeDiscovery discovery;
  NodeConfig config;
  config.discovery = discovery.address();
  config.mode = "automatic";
  NodeProcess program(config.text());
  ASSERT_TRUE(eventually([&] { return discovery.requests().size() == 1; }));
  discovery.set_response(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
      http_chunk(endpoint_list_json(3, true, endpoint_json("s0", server.address())) + "\n"));
  // close_watch() is repeated, because the fake discovery may not have registered the watch yet.
  EXPECT_TRUE(eventually([&] {
    discovery.close_watch();
    return discovery.requests().size() >= 2;
  }));
  EXPECT_TRUE(eventually([&] {
    RawConnection client = RawConnection::connect_to(program.port());
    client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    return status_of(client.read_message()) == 200;
  }));
}

// Also covers a server that was draining: its idle connections are closed too, and must be opened again.
TEST(Watch, RemovedServerIsUsedAgainAfterItsReturn) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  int request_count = 0;
  const auto status = [&] {
    RawConnection client = d.client();
    client.write(ClientRequest{.id = "b" + std::to_string(++request_count)}.text());
    return status_of(client.read_message());
  };
  EXPECT_EQ(status(), 200);
  int index = 7;
  for (const char* server_status : {"removed", "draining"}) {
    d.discovery.push(
        endpoint_list_json(++index, false, endpoint_json("s0", server.address(), server_status)));
    EXPECT_TRUE(eventually([&] { return status() == 503; }));
    EXPECT_TRUE(eventually([&] { return server.listener().open_connections() == 0; }))
        << "idle connections are closed";
    d.discovery.push(endpoint_list_json(++index, false, endpoint_json("s0", server.address())));
    EXPECT_TRUE(eventually([&] { return status() == 200; }));
  }
}

TEST(Watch, SilentWatchIsReplaced) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  EXPECT_TRUE(eventually([&] { return d.discovery.requests().size() >= 2; }));
}

TEST(Watch, InvalidListIsLoggedOnceAndTheLastValidListIsRetained) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  d.discovery.set_response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                           http_chunk("{\"index\":\n"));
  d.discovery.close_watch();
  ASSERT_TRUE(eventually([&] { return d.discovery.requests().size() >= 3; }));
  const std::string log = d.program->log();
  const std::size_t first = log.find("discovery: ");
  EXPECT_NE(first, std::string::npos);
  EXPECT_EQ(log.find("discovery: ", first + 1), std::string::npos) << log;
  RawConnection client = d.client();
  client.write(ClientRequest{}.text());
  EXPECT_EQ(status_of(client.read_message()), 200);
}

TEST(Watch, UnavailableDiscoveryIsCalledAgain) {
  FakeServer server(respond_with(200, "ok"));
  FakeDiscovery discovery;
  discovery.set_response(http_response(503, ""));
  NodeConfig config;
  config.discovery = discovery.address();
  NodeProcess program(config.text());
  ASSERT_TRUE(eventually([&] { return discovery.requests().size() >= 2; }));
  RawConnection probe = RawConnection::connect_to(program.port());
  probe.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_EQ(status_of(probe.read_message()), 503) << "there is no server yet";
  discovery.set_response(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
      http_chunk(endpoint_list_json(3, true, endpoint_json("s0", server.address())) + "\n"));
  EXPECT_TRUE(eventually([&] {
    probe.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    return status_of(probe.read_message()) == 200;
  }));
}

// ---------------------------------------------------------------- lifecycle and limits

TEST(Lifecycle, SigtermCompletesAcceptedRequests) {
  Gate gate;
  FakeServer server([&](RawConnection& connection, const std::string&) {
    gate.wait();
    return connection.write(http_response(200, "ok"));
  });
  Deployment d({&server});
  RawConnection accepted = d.client();
  accepted.write(ClientRequest{}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  d.program->signal(SIGTERM);
  RawConnection late = d.client();  // the node still accepts connections for a while after SIGTERM
  late.write(ClientRequest{.id = "late"}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 2; }));
  ASSERT_TRUE(eventually([&] { return !d.client().is_open(); }));
  EXPECT_TRUE(d.program->running()) << "two requests are in flight";
  gate.open();
  for (RawConnection* client : {&accepted, &late}) {
    const std::string response = client->read_message();
    EXPECT_EQ(status_of(response), 200);
  }
  EXPECT_EQ(d.program->exit_status(), 0);
}

// Clients may use their open connections during the drain, as long as a request can still be answered before
// the node exits.
TEST(Lifecycle, DrainingNodeServesOpenConnections) {
  std::atomic<bool> silent = false;
  FakeServer server([&](RawConnection& connection, const std::string&) {
    return silent || connection.write(http_response(200, "ok"));
  });
  Deployment d({&server});
  RawConnection client = d.client(), other = d.client();
  client.write(ClientRequest{.id = "before"}.text());
  ASSERT_EQ(status_of(client.read_message()), 200);
  const auto start = std::chrono::steady_clock::now();
  d.program->signal(SIGTERM);
  ASSERT_TRUE(eventually([&] { return !d.client().is_open(); }));
  for (int i = 0; i < 3; ++i) {
    client.write(ClientRequest{.id = "during" + std::to_string(i)}.text());
    EXPECT_EQ(status_of(client.read_message()), 200);
  }
  silent = true;
  other.write(ClientRequest{.id = "unanswered", .timeout = "15000"}.text());
  const std::string response = other.read_message();
  EXPECT_EQ(status_of(response), 502) << response;
  EXPECT_EQ(d.program->exit_status(), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 10s)
      << "the node must exit before the client's timeout of 15 s";
}

TEST(Lifecycle, FirstRequestDuringTheDrainIsServed) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  RawConnection fresh = d.client();
  d.program->signal(SIGTERM);
  ASSERT_TRUE(eventually([&] { return !d.client().is_open(); }));
  fresh.write(ClientRequest{}.text());
  EXPECT_EQ(status_of(fresh.read_message()), 200);
  EXPECT_EQ(d.program->exit_status(), 0);
}

TEST(Lifecycle, InvalidConfigurationIsRejectedWithTheNameOfTheField) {
  const auto expect_rejected = [](const std::string& config, const std::string& field) {
    NodeProcess program(config, 0, false);
    EXPECT_EQ(program.exit_status(), 2);
    const std::string log = program.log();
    EXPECT_NE(log.find(field), std::string::npos) << log;
    EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
  };
  expect_rejected("{", "RELAY_CONFIG");
  expect_rejected("{}", "listen");
  expect_rejected(NodeConfig{.listen = "nowhere"}.text(), "listen");
  expect_rejected(NodeConfig{.discovery = "1.2.3.4:999999"}.text(), "discovery");
  expect_rejected(NodeConfig{.known = "{\"index\":1}"}.text(), "endpoints");
  expect_rejected(NodeConfig{.bounds = R"("maxAttempts":0)"}.text(), "bounds.maxAttempts");
  Listener in_use([](RawConnection&) {});
  expect_rejected(NodeConfig{.listen = in_use.address()}.text(), "listen");
}

TEST(Lifecycle, SurvivesDescriptorExhaustion) {
  FakeServer server(respond_with(200, "ok"));
  NodeConfig config;
  config.sockets = 1024;
  Deployment d({&server}, config, 64);
  {
    std::vector<RawConnection> clients;
    for (int i = 0; i < 200; ++i) clients.push_back(d.client());
    ASSERT_TRUE(d.program->running());
  }
  int request_count = 0;
  EXPECT_TRUE(eventually([&] {
    RawConnection client = d.client();
    client.write(ClientRequest{.id = "after" + std::to_string(++request_count)}.text());
    return status_of(client.read_message()) == 200;
  }));
}

// The server responds 1 ms before the timeout that the node gave it, so the response and the timeout of the
// attempt reach the node at almost the same time. The client must get exactly one response.
TEST(Races, ExactlyOneResponse) {
  FakeServer server([](RawConnection& connection, const std::string& request) {
    std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(header_of(request, "X-Timeout-Ms")) - 1));
    return connection.write(http_response(200, "ok"));
  });
  Deployment d({&server});
  std::vector<RawConnection> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(d.client());
    clients.back().write(
        ClientRequest{.id = "r" + std::to_string(i), .timeout = std::to_string(200 + i)}.text());
  }
  for (int i = 0; i < 40; ++i) {
    RawConnection& client = clients[static_cast<std::size_t>(i)];
    const int first = status_of(client.read_message());
    EXPECT_TRUE(first == 200 || first == 502 || first == 503) << first;
    client.write("GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const std::string remaining = client.read_until_close();
    EXPECT_EQ(body_of(remaining), "ok\n")
        << "after the first response, only the health check may be answered";
  }
}

}  // namespace
}  // namespace thymewood::node
