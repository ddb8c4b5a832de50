// SIGHUP: the configuration file is read again, and discovery followed to its new address.
#include "scripted_discovery.h"

namespace thymewood::node {
namespace {

// Whether the node eventually responds with this body.
bool serves(const Deployment& d, const std::string& body) {
  static std::atomic<int> requests = 0;
  return eventually([&] {
    RawConnection client = d.client();
    client.write(ClientRequest{.id = "reload" + std::to_string(++requests)}.text());
    return body_of(client.read_message()) == body;
  });
}

// The addresses may count versions differently, so the full list is requested.
TEST(Reload, FollowsDiscoveryToItsNewAddressAndRequestsTheFullList) {
  FakeServer old_server(replies(200, "old")), new_server(replies(200, "new"));
  Deployment d({&old_server});
  ASSERT_TRUE(eventually([&] { return d.discovery.calls().size() == 1; }));
  FakeDiscovery moved;
  moved.set_response(kWatchResponseHead +
                     chunk(endpoint_list_json(3, true, endpoint_json("n0", new_server.address())) + "\n"));
  ConfigText config = d.config;
  config.discovery = moved.address();
  d.program->reload(config.text());
  ASSERT_TRUE(serves(d, "new"));
  ASSERT_FALSE(moved.calls().empty());
  EXPECT_EQ(moved.calls()[0].find("after="), std::string::npos) << moved.calls()[0];
  EXPECT_TRUE(eventually([&] { return d.discovery.listener().open() == 0; })) << "the old watch is closed";
  EXPECT_EQ(d.discovery.calls().size(), 1U);
}

TEST(Reload, InvalidFileIsLoggedAndChangesNothing) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  ASSERT_TRUE(eventually([&] { return d.discovery.calls().size() == 1; }));
  const std::vector<std::string> invalid = {"{\"name\":", "", "{}",
                                            ConfigText{.discovery = "nowhere"}.text()};
  for (std::size_t i = 0; i < invalid.size(); ++i) {
    d.program->reload(invalid[i]);
    ASSERT_TRUE(eventually([&] {
      return d.program->logged("event=reload_failed") == static_cast<int>(i + 1);
    })) << d.program->log();
  }
  EXPECT_TRUE(serves(d, "ok"));
  // The watch is still open.
  d.discovery.push(endpoint_list_json(8, false, endpoint_json("s0", server.address(), "draining")));
  EXPECT_TRUE(eventually([&] {
    RawConnection client = d.client();
    client.write(ClientRequest{.id = "drained"}.text());
    return status_of(client.read_message()) == 503;
  }));
}

// The file is missing or truncated at the signal, and complete at the next one.
TEST(Reload, MissingOrTruncatedFileChangesNothing) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  ASSERT_TRUE(eventually([&] { return d.discovery.calls().size() == 1; }));
  FakeDiscovery moved;
  ConfigText config = d.config;
  config.discovery = moved.address();
  d.program->remove_config();
  d.program->signal(SIGHUP);
  ASSERT_TRUE(eventually([&] { return d.program->logged("event=reload_failed") == 1; })) << d.program->log();
  const std::string complete = config.text();
  for (const std::size_t part : {std::size_t{0}, complete.size() / 2, complete.size() - 1}) {
    d.program->reload(complete.substr(0, part));
    EXPECT_TRUE(serves(d, "ok"));
  }
  ASSERT_TRUE(eventually([&] { return d.program->logged("event=reload_failed") >= 2; })) << d.program->log();
  EXPECT_EQ(moved.calls().size(), 0U);
  d.program->reload(complete);
  EXPECT_TRUE(eventually([&] { return moved.calls().size() == 1; })) << d.program->log();
}

// The log is the only file that a node writes.
TEST(Reload, FullDiskUnderTheLogDoesNotAffectClients) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  FakeDiscovery moved;
  ConfigText config = d.config;
  config.discovery = moved.address();
  d.program->fill_log();
  d.program->reload("{");
  EXPECT_TRUE(serves(d, "ok"));
  d.program->reload(config.text());
  EXPECT_TRUE(eventually([&] { return moved.calls().size() == 1; }));
  EXPECT_TRUE(serves(d, "ok"));
}

TEST(Reload, RepeatedReloadsLeaveOneWatchAtTheLastAddress) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  FakeDiscovery one, two;
  for (int i = 0; i < 20; ++i) {
    ConfigText config = d.config;
    config.discovery = (i % 2 == 0 ? one : two).address();
    d.program->reload(config.text());
    ASSERT_TRUE(d.program->running());
  }
  EXPECT_TRUE(eventually([&] {
    return one.listener().open() == 0 && d.discovery.listener().open() == 0 && two.listener().open() == 1;
  }));
  EXPECT_TRUE(serves(d, "ok"));
}

// The backoff that has grown with the failures at the old address does not apply to the new one.
TEST(Reload, RetriesAFailedFirstConnection) {
  FakeServer old_server(replies(200, "old")), new_server(replies(200, "new"));
  Deployment d({&old_server});
  int port = 0;
  {
    FakeDiscovery stopped;
    port = stopped.listener().port();
  }
  ConfigText config = d.config;
  config.discovery = "127.0.0.1:" + std::to_string(port);
  d.program->reload(config.text());
  ASSERT_TRUE(eventually([&] { return d.program->logged("event=reload ") == 1; }));
  FakeDiscovery moved(port);
  moved.set_response(kWatchResponseHead +
                     chunk(endpoint_list_json(3, true, endpoint_json("n0", new_server.address())) + "\n"));
  EXPECT_TRUE(serves(d, "new"));
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
  FakeDiscovery moved;
  ConfigText config = d.config;
  config.discovery = moved.address();
  d.program->reload(config.text());
  EXPECT_TRUE(eventually([&] { return moved.calls().size() == 1; }));
  gate.open();
  EXPECT_EQ(status_of(client.read_message()), 200);
  EXPECT_EQ(d.program->exit_status(), 0);
}

}  // namespace
}  // namespace thymewood::node
