// Endpoint lists and watches that are silent, broken, fragmented or out of order. A change that a watch
// misses counts as notified 6 s after the watch became silent, and 4 s after a new configuration.
#include "scripted_discovery.h"

namespace thymewood::node {
namespace {

std::string indented(const std::string& json) {
  std::string out, indent;
  bool in_string = false, is_escaped = false;
  for (const char c : json) {
    if (c == '"' && !is_escaped) in_string = !in_string;
    is_escaped = c == '\\' && !is_escaped;
    if (!in_string && (c == '}' || c == ']'))
      out += "\n" + indent.substr(0, indent.size() - 2), indent.resize(indent.size() - 2);
    out += c;
    if (!in_string && (c == '{' || c == '[')) out += "\r\n" + (indent += "  ");
    if (!in_string && c == ',') out += "\n" + indent;
  }
  return out;
}

// Objects may be indented, with blank lines before, between and after them.
TEST(EndpointLists, AcceptIndentedObjectsSplitOverChunks) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({}, NodeConfig{.known = endpoint_list_json(1, true, "")});
  const std::string unusual_entry =
      R"({"name":"a}\"{[\\","address":"127.0.0.1:9","status":"draining","note":{"x":[1,{}]}})";
  const std::string objects =
      "\n\n" +
      indented(endpoint_list_json(8, true, unusual_entry + "," + endpoint_json("s0", server.address()))) +
      "\n\n" + indented(endpoint_list_json(9, false, endpoint_json("s1", server.address(), "draining")));
  for (std::size_t offset = 0; offset < objects.size(); offset += 7)
    ASSERT_TRUE(d.discovery.push_bytes(http_chunk(objects.substr(offset, 7))));
  RequestSender requests(*d.program);
  EXPECT_TRUE(eventually([&] { return requests.status() == 200; }));
  ASSERT_TRUE(d.discovery.push_bytes(http_chunk(
      "\n" + indented(endpoint_list_json(10, false, endpoint_json("s0", server.address(), "draining"))))));
  EXPECT_TRUE(eventually([&] { return requests.status() == 503; }))
      << "an object is complete at its closing brace, even without a line break";
  EXPECT_EQ(d.discovery.requests().size(), 1U) << d.program->log();
}

// If a list contains a server twice, the last entry applies.
TEST(EndpointLists, LastEntryOfAServerWins) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  RequestSender requests(*d.program);
  const std::string ready_entry = endpoint_json("s0", server.address()),
                    draining_entry = endpoint_json("s0", server.address(), "draining");
  d.discovery.push(endpoint_list_json(8, true, ready_entry + "," + draining_entry));
  EXPECT_TRUE(eventually([&] { return requests.status() == 503; }));
  d.discovery.push(endpoint_list_json(9, true, draining_entry + "," + ready_entry));
  EXPECT_TRUE(eventually([&] { return requests.status() == 200; }));
  d.discovery.push(endpoint_list_json(10, false, ready_entry) +
                   endpoint_list_json(11, false, draining_entry));
  EXPECT_TRUE(eventually([&] { return requests.status() == 503; }));
  d.discovery.push(endpoint_list_json(12, true, ""));
  EXPECT_TRUE(eventually([&] { return server.listener().open_connections() == 0; }));
  EXPECT_EQ(requests.status(), 503);
  EXPECT_EQ(d.discovery.requests().size(), 1U);
}

// A server with a malformed entry gets no new requests until a valid entry arrives. The other entries of the
// list are applied.
TEST(EndpointLists, UnreadableEntryDoesNotAffectTheOthers) {
  const char* const unreadable_entries[] = {
      R"({"name":"s0","address":"nowhere","status":"up"})", R"({"name":"s0","status":"up"})",
      R"({"name":"s0","address":"127.0.0.1:9","status":"resting"})",
      R"({"name":"s0","address":"127.0.0.1:9","status":"up","group":"x"})"};
  for (const char* unreadable_entry : unreadable_entries) {
    FakeServer server(respond_with(200, "recovered")), other_server(respond_with(200, "other"));
    Deployment d({&server, &other_server});
    RequestSender requests(*d.program);
    const std::string unnamed_entries =
        R"({"status":"up"},7,{"name":"","address":"127.0.0.1:9","status":"up"})";
    d.discovery.push(endpoint_list_json(8, false,
                                        unreadable_entry + ("," + unnamed_entries) + "," +
                                            endpoint_json("s1", other_server.address(), "draining")));
    EXPECT_TRUE(eventually([&] { return requests.status() == 503; })) << unreadable_entry;
    EXPECT_GE(d.program->count_in_log("endpoints[0]: field '"), 1) << d.program->log();
    d.discovery.push(endpoint_list_json(9, false, endpoint_json("s0", server.address())));
    EXPECT_TRUE(eventually([&] { return body_of(requests.response()) == "recovered"; })) << unreadable_entry;
    EXPECT_EQ(d.discovery.requests().size(), 1U) << "a malformed entry must not end the watch";
  }
}

// A delta that is older than the current list must not revert it, for example a drain.
TEST(EndpointLists, OlderChangeIsIgnored) {
  FakeServer drained_server(respond_with(200, "drained")), marker_server(respond_with(200, "marker"));
  Deployment d({&drained_server, &marker_server});
  d.discovery.push(endpoint_list_json(20, false, endpoint_json("s0", drained_server.address(), "draining")));
  ASSERT_TRUE(eventually([&] { return drained_server.listener().open_connections() == 0; }));
  d.discovery.push(endpoint_list_json(19, false, endpoint_json("s0", drained_server.address())));
  d.discovery.push(endpoint_list_json(21, false, endpoint_json("s1", marker_server.address(), "draining")));
  // Once the last delta has been read, no server is ready.
  RequestSender requests(*d.program);
  EXPECT_TRUE(eventually([&] { return requests.status() == 503; }));
  const std::size_t before = drained_server.requests().size();
  for (int i = 0; i < 10; ++i) EXPECT_EQ(requests.status(), 503);
  EXPECT_EQ(drained_server.requests().size(), before);
}

// A watch that ends within an object: the partial object is ignored and requested again.
TEST(EndpointLists, TruncatedObjectIsRequestedAgain) {
  FakeServer server(respond_with(200, "ok"));
  const std::string change =
      endpoint_list_json(8, false, endpoint_json("s0", server.address(), "draining")) + "\n";
  ScriptedDiscovery discovery([&](RawConnection& connection, int call) {
    if (call == 0) {
      connection.write(kWatchResponseHead + http_chunk(change.substr(0, change.size() / 2)));
      return;
    }
    connection.write(kWatchResponseHead + http_chunk(change));
    connection.read_until_close();
  });
  WatchingNode node(discovery, endpoint_list_json(7, true, endpoint_json("s0", server.address())));
  EXPECT_TRUE(eventually([&] { return node.status() == 503; }));
  ASSERT_GE(discovery.requests().size(), 2U);
  EXPECT_NE(discovery.requests()[1].text.find("after=7 "), std::string::npos) << discovery.requests()[1].text;
}

// A watch with a truncated object is replaced even if further objects or blank lines follow.
TEST(EndpointLists, ObjectsBehindATruncatedOneAreRequestedAgain) {
  FakeServer server(respond_with(200, "ok"));
  for (const bool sends_more : {true, false}) {
    std::atomic<bool> is_done = false;
    const std::string draining_update =
        endpoint_list_json(8, false, endpoint_json("s0", server.address(), "draining")) + "\n";
    ScriptedDiscovery discovery([&](RawConnection& connection, int call) {
      connection.write(kWatchResponseHead +
                       http_chunk(call == 0 ? draining_update.substr(0, 40) + "\n" : draining_update));
      if (call == 0 && sends_more) connection.write(http_chunk(draining_update + draining_update));
      for (int i = 0; i < 200 && !is_done && connection.is_open(); ++i) {
        if (!connection.write(http_chunk("\n"))) return;
        std::this_thread::sleep_for(100ms);
      }
    });
    {
      WatchingNode node(discovery, endpoint_list_json(7, true, endpoint_json("s0", server.address())));
      EXPECT_TRUE(eventually([&] { return node.status() == 503; })) << sends_more;
      EXPECT_EQ(discovery.requests().size(), 2U);
      EXPECT_NE(discovery.requests()[1].text.find("after=7 "), std::string::npos);
      EXPECT_LT(seconds_between(discovery.requests()[0].at, discovery.requests()[1].at), 6);
    }
    is_done = true;
  }
}

// A silent connection is replaced, and so is its replacement if that is accepted but stays silent: two new
// connections within 6 s.
TEST(SilentWatch, SecondSilentConnectionIsReplacedInTime) {
  FakeServer server(respond_with(200, "ok"));
  std::atomic<bool> is_done = false;
  ScriptedDiscovery discovery([&](RawConnection& connection, int call) {
    if (call == 0) connection.write(kWatchResponseHead + http_chunk("\n"));
    if (call == 2)
      connection.write(
          kWatchResponseHead +
          http_chunk(endpoint_list_json(8, false, endpoint_json("s0", server.address(), "draining")) + "\n"));
    while (!is_done && connection.receive_more()) {
    }
  });
  WatchingNode node(discovery, endpoint_list_json(7, true, endpoint_json("s0", server.address())));
  ASSERT_TRUE(eventually([&] { return discovery.requests().size() >= 3; }));
  const auto calls = discovery.requests();
  EXPECT_LT(seconds_between(calls[0].at, calls[2].at), 6.2);
  EXPECT_TRUE(eventually([&] { return node.status() == 503; }));
  is_done = true;
}

// The backoff that grew while discovery was down is reset by the first data of a watch, even a blank line.
TEST(SilentWatch, IsReopenedAtOnceAfterAnOutage) {
  FakeServer server(respond_with(200, "ok"));
  constexpr int kFailedCalls = 4;
  std::mutex mutex;
  SteadyClock::time_point first_data;
  ScriptedDiscovery discovery([&](RawConnection& connection, int call) {
    if (call < kFailedCalls) {
      connection.write(http_response(503, ""));
      return;
    }
    if (call == kFailedCalls) {
      const std::lock_guard lock(mutex);
      first_data = SteadyClock::now();
    }
    connection.write(kWatchResponseHead + http_chunk("\n"));
    connection.read_until_close();
  });
  WatchingNode node(discovery, endpoint_list_json(7, true, endpoint_json("s0", server.address())));
  ASSERT_TRUE(eventually([&] { return discovery.requests().size() >= kFailedCalls + 2; }));
  const std::lock_guard lock(mutex);
  EXPECT_LT(seconds_between(first_data, discovery.requests()[kFailedCalls + 1].at), 4);
}

// A watch becomes silent, and an overloaded discovery rejects the next requests.
TEST(SilentWatch, IsRetriedSeveralTimesBeforeChangesCountAsNotified) {
  FakeServer server(respond_with(200, "ok"));
  constexpr int kFailedCalls = 4;  // failures that increase the backoff first
  ScriptedDiscovery discovery([&](RawConnection& connection, int call) {
    if (call != kFailedCalls && call < kFailedCalls + 3) {
      connection.write(http_response(503, ""));
      return;
    }
    connection.write(kWatchResponseHead + http_chunk("\n"));
    connection.read_until_close();
  });
  WatchingNode node(discovery, endpoint_list_json(7, true, endpoint_json("s0", server.address())));
  ASSERT_TRUE(eventually([&] { return discovery.requests().size() >= kFailedCalls + 4; }));
  const auto calls = discovery.requests();
  EXPECT_LT(seconds_between(calls[kFailedCalls].at, calls[kFailedCalls + 3].at), 6);
}

// After a new configuration, the list at the new address counts as notified 4 s later, even if the first
// requests there fail and the backoff has grown at the old address.
TEST(MovedWatch, IsRetriedSeveralTimesWithinFourSeconds) {
  FakeServer server(respond_with(200, "ok"));
  ScriptedDiscovery old_discovery(
      [](RawConnection& connection, int) { connection.write(http_response(503, "")); });
  WatchingNode node(old_discovery, endpoint_list_json(7, true, endpoint_json("s0", server.address())));
  ASSERT_TRUE(eventually([&] { return old_discovery.requests().size() >= 4; }));
  ScriptedDiscovery new_discovery([&](RawConnection& connection, int call) {
    if (call < 5) return;  // closed without a response
    connection.write(
        kWatchResponseHead +
        http_chunk(endpoint_list_json(3, true, endpoint_json("s0", server.address(), "draining")) + "\n"));
    connection.read_until_close();
  });
  NodeConfig text = node.config;
  text.discovery = new_discovery.address();
  const auto start = SteadyClock::now();
  node.program->reload(text.text());
  ASSERT_TRUE(eventually([&] { return new_discovery.requests().size() >= 6; }));
  EXPECT_LT(seconds_since(start), 4);
  EXPECT_TRUE(eventually([&] { return node.status() == 503; }));
}

// If lists are pushed, the local agent's list counts as notified with or without an open watch, so the
// backoff must be shorter than the grace period of a drain.
TEST(PushedLists, BrokenWatchIsReopenedAtOnce) {
  FakeServer server(respond_with(200, "ok"));
  std::mutex mutex;
  std::vector<SteadyClock::time_point> ended;
  ScriptedDiscovery agent([&](RawConnection& connection, int call) {
    connection.write(kWatchResponseHead + http_chunk("\n"));
    if (call >= 5) connection.read_until_close();
    const std::lock_guard lock(mutex);
    ended.push_back(SteadyClock::now());
  });
  WatchingNode node(agent, endpoint_list_json(7, true, endpoint_json("s0", server.address())), "automatic");
  ASSERT_TRUE(eventually([&] { return agent.requests().size() >= 6; }));
  const auto calls = agent.requests();
  EXPECT_LT(seconds_between(calls[0].at, calls[5].at), 1.5) << "five reconnects, each after a backoff";
}

// A new process starts with the list of its predecessor. Requests that arrive before the agent's first list
// are deferred until that list arrives.
TEST(PushedLists, NewProcessDefersRequestsUntilTheFirstList) {
  FakeServer server(respond_with(200, "ok"));
  // The agent's list must arrive before the node's timeout for it. On a busy machine it may arrive too late,
  // in which case the test tries again.
  constexpr double kMaxListDelay = 0.5;  // s
  constexpr int kAttempts = 20;
  bool is_list_in_time = false;
  for (int i = 0; i < kAttempts && !is_list_in_time; ++i) {
    Gate gate;
    ScriptedDiscovery agent([&](RawConnection& connection, int) {
      if (!gate.wait()) return;
      connection.write(
          kWatchResponseHead +
          http_chunk(endpoint_list_json(8, true, endpoint_json("s0", server.address(), "draining")) + "\n"));
      connection.read_until_close();
    });
    NodeConfig config;
    config.known = endpoint_list_json(7, true, endpoint_json("s0", server.address()));
    config.mode = "automatic";
    config.discovery = agent.address();
    NodeProcess program(config.text(), 0, false);
    // The node's timeout for the first list starts when it logs that it is listening.
    auto start = SteadyClock::now();
    ASSERT_TRUE(eventually([&] {
      const auto checked_at = SteadyClock::now();
      if (program.port() != 0) return true;
      start = checked_at;
      return false;
    }));
    RawConnection client = RawConnection::connect_to(program.port());
    client.write(ClientRequest{}.text());
    // Long enough for the response to arrive if the request were not deferred.
    pollfd response{client.fd(), POLLIN, 0};
    const bool is_answered_early = ::poll(&response, 1, 50) > 0;
    gate.open();
    is_list_in_time = seconds_since(start) < kMaxListDelay;
    if (!is_list_in_time) continue;
    EXPECT_FALSE(is_answered_early);
    EXPECT_EQ(status_of(client.read_message()), 503);
    EXPECT_EQ(server.requests().size(), 0U) << "the agent's list counts as notified";
  }
  EXPECT_TRUE(is_list_in_time);
}

// The agent sends no list while discovery is down.
TEST(PushedLists, NewProcessServesFromTheKnownListWhenTheAgentIsSilent) {
  FakeServer server(respond_with(200, "ok"));
  ScriptedDiscovery agent([](RawConnection& connection, int) { connection.read_until_close(); });
  WatchingNode node(agent, endpoint_list_json(7, true, endpoint_json("s0", server.address())), "automatic");
  const auto start = SteadyClock::now();
  EXPECT_EQ(node.status(), 200);
  EXPECT_LT(seconds_since(start), 10) << "ready within 10 s";
}

TEST(PushedLists, RequestIsRejectedBeforeItsTimeoutWhenTheAgentIsSilent) {
  FakeServer server(respond_with(200, "ok"));
  ScriptedDiscovery agent([](RawConnection& connection, int) { connection.read_until_close(); });
  NodeConfig config;
  config.known = endpoint_list_json(7, true, endpoint_json("s0", server.address()));
  config.mode = "automatic";
  config.discovery = agent.address();
  NodeProcess program(config.text());
  RawConnection client = RawConnection::connect_to(program.port());
  const auto start = SteadyClock::now();
  client.write(ClientRequest{.id = "short_timeout", .timeout = "400"}.text());
  EXPECT_EQ(status_of(client.read_message()), 503) << "no attempt was sent, so the client may retry";
  EXPECT_LT(seconds_since(start), 0.45);
  EXPECT_EQ(server.requests().size(), 0U);
}

}  // namespace
}  // namespace thymewood::node
