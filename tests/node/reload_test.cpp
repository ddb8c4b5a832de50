// SIGHUP reloads the configuration file and moves the watch to discovery's new address.
#include "scripted_discovery.h"

namespace thymewood::node {
namespace {

// Whether the node eventually responds to requests with this body.
bool eventually_serves(const Deployment& d, const std::string& body) {
  static std::atomic<int> requests = 0;
  return eventually([&] {
    RawConnection client = d.client();
    client.write(ClientRequest{.id = "reload" + std::to_string(++requests)}.text());
    return body_of(client.read_message()) == body;
  });
}

// Versions at the old and the new address may be unrelated, so the node must request the full list.
TEST(Reload, FollowsDiscoveryToItsNewAddressAndRequestsTheFullList) {
  FakeServer old_server(respond_with(200, "old")), new_server(respond_with(200, "new"));
  Deployment d({&old_server});
  ASSERT_TRUE(eventually([&] { return d.discovery.requests().size() == 1; }));
  FakeDiscovery new_discovery;
  new_discovery.set_response(
      kWatchResponseHead +
      http_chunk(endpoint_list_json(3, true, endpoint_json("n0", new_server.address())) + "\n"));
  NodeConfig config = d.config;
  config.discovery = new_discovery.address();
  d.program->reload(config.text());
  ASSERT_TRUE(eventually_serves(d, "new"));
  ASSERT_FALSE(new_discovery.requests().empty());
  EXPECT_EQ(new_discovery.requests()[0].find("after="), std::string::npos) << new_discovery.requests()[0];
  EXPECT_TRUE(eventually([&] { return d.discovery.listener().open_connections() == 0; }))
      << "the old watch is closed";
  EXPECT_EQ(d.discovery.requests().size(), 1U);
}

TEST(Reload, InvalidFileIsLoggedAndChangesNothing) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  ASSERT_TRUE(eventually([&] { return d.discovery.requests().size() == 1; }));
  const std::vector<std::string> invalid = {"{\"name\":", "", "{}",
                                            NodeConfig{.discovery = "nowhere"}.text()};
  for (std::size_t i = 0; i < invalid.size(); ++i) {
    d.program->reload(invalid[i]);
    ASSERT_TRUE(eventually([&] {
      return d.program->count_in_log("event=reload_failed") == static_cast<int>(i + 1);
    })) << d.program->log();
  }
  EXPECT_TRUE(eventually_serves(d, "ok"));
  // The watch must still be open: a change is applied.
  d.discovery.push(endpoint_list_json(8, false, endpoint_json("s0", server.address(), "draining")));
  EXPECT_TRUE(eventually([&] {
    RawConnection client = d.client();
    client.write(ClientRequest{.id = "drained"}.text());
    return status_of(client.read_message()) == 503;
  }));
}

// The file is missing or truncated at the first signals and complete at the last one.
TEST(Reload, MissingOrTruncatedFileChangesNothing) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  ASSERT_TRUE(eventually([&] { return d.discovery.requests().size() == 1; }));
  FakeDiscovery new_discovery;
  NodeConfig config = d.config;
  config.discovery = new_discovery.address();
  d.program->remove_config();
  d.program->signal(SIGHUP);
  ASSERT_TRUE(eventually([&] { return d.program->count_in_log("event=reload_failed") == 1; }))
      << d.program->log();
  const std::string complete_config = config.text();
  for (const std::size_t length : {std::size_t{0}, complete_config.size() / 2, complete_config.size() - 1}) {
    d.program->reload(complete_config.substr(0, length));
    EXPECT_TRUE(eventually_serves(d, "ok"));
  }
  ASSERT_TRUE(eventually([&] { return d.program->count_in_log("event=reload_failed") >= 2; }))
      << d.program->log();
  EXPECT_EQ(new_discovery.requests().size(), 0U);
  d.program->reload(complete_config);
  EXPECT_TRUE(eventually([&] { return new_discovery.requests().size() == 1; })) << d.program->log();
}

// Guards against a full disk affecting requests. The log is the only file that a node writes.
TEST(Reload, FullDiskUnderTheLogDoesNotAffectClients) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  FakeDiscovery new_discovery;
  NodeConfig config = d.config;
  config.discovery = new_discovery.address();
  d.program->fill_log();
  d.program->reload("{");
  EXPECT_TRUE(eventually_serves(d, "ok"));
  d.program->reload(config.text());
  EXPECT_TRUE(eventually([&] { return new_discovery.requests().size() == 1; }));
  EXPECT_TRUE(eventually_serves(d, "ok"));
}

TEST(Reload, RepeatedReloadsLeaveOneWatchAtTheLastAddress) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  FakeDiscovery discovery_a, discovery_b;
  for (int i = 0; i < 20; ++i) {
    NodeConfig config = d.config;
    config.discovery = (i % 2 == 0 ? discovery_a : discovery_b).address();
    d.program->reload(config.text());
    ASSERT_TRUE(d.program->running());
  }
  EXPECT_TRUE(eventually([&] {
    return discovery_a.listener().open_connections() == 0 && d.discovery.listener().open_connections() == 0 &&
           discovery_b.listener().open_connections() == 1;
  }));
  EXPECT_TRUE(eventually_serves(d, "ok"));
}

// The first connection to the new address fails. The backoff that grew with failures at the old address must
// not apply to the new one.
TEST(Reload, RetriesAFailedFirstConnection) {
  FakeServer old_server(respond_with(200, "old")), new_server(respond_with(200, "new"));
  Deployment d({&old_server});
  int port = 0;
  {
    FakeDiscovery stopped_discovery;
    port = stopped_discovery.listener().port();
  }
  NodeConfig config = d.config;
  config.discovery = "127.0.0.1:" + std::to_string(port);
  d.program->reload(config.text());
  ASSERT_TRUE(eventually([&] { return d.program->count_in_log("event=reload ") == 1; }));
  FakeDiscovery new_discovery(port);
  new_discovery.set_response(
      kWatchResponseHead +
      http_chunk(endpoint_list_json(3, true, endpoint_json("n0", new_server.address())) + "\n"));
  EXPECT_TRUE(eventually_serves(d, "new"));
}

TEST(Reload, DoesNotInterruptGracefulShutdown) {
  Gate gate;
  FakeServer server([&](RawConnection& connection, const std::string&) {
    gate.wait();
    return connection.write(http_response(200, "ok"));
  });
  Deployment d({&server});
  RawConnection client = d.client();
  client.write(ClientRequest{}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  d.program->signal(SIGTERM);
  FakeDiscovery new_discovery;
  NodeConfig config = d.config;
  config.discovery = new_discovery.address();
  d.program->reload(config.text());
  EXPECT_TRUE(eventually([&] { return new_discovery.requests().size() == 1; }));
  gate.open();
  EXPECT_EQ(status_of(client.read_message()), 200);
  EXPECT_EQ(d.program->exit_status(), 0);
}

}  // namespace
}  // namespace thymewood::node
