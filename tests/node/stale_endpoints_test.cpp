// Behavior of a node with a stale endpoint list: discovery is down or too overloaded to respond.
#include "scripted_discovery.h"

namespace thymewood::node {
namespace {

constexpr double kMaxNotificationDelay = 6;  // s; a change at discovery counts as notified after this time
constexpr double kDrainGracePeriod = 1;      // s; during which a draining server may still get requests
constexpr double kTolerance = 0.05;          // s; tolerance of the protocol

// Sends one request and returns its status.
int status_of_request(int port, const std::string& id) {
  RawConnection client = RawConnection::connect_to(port);
  client.write(ClientRequest{.request_class = "look", .id = id, .method = "GET", .body = ""}.text());
  return status_of(client.read_message());
}

// A fake discovery that serves one watch until become_overloaded() is called. Each further request gets a 503
// after `response_delay`.
class OverloadedDiscovery {
 public:
  explicit OverloadedDiscovery(std::chrono::milliseconds response_delay)
      : script_([this, response_delay](RawConnection& connection, int call) {
          if (call == 0) {
            connection.write(kWatchResponseHead + http_chunk("\n"));
            while (!is_overloaded_ && !is_stopping_ && connection.write(http_chunk("\n")))
              std::this_thread::sleep_for(100ms);
            return;
          }
          for (const auto end = SteadyClock::now() + response_delay;
               !is_stopping_ && SteadyClock::now() < end;)
            std::this_thread::sleep_for(10ms);
          connection.write(http_response(503, ""));
        }) {}
  ~OverloadedDiscovery() { is_stopping_ = true; }
  void become_overloaded() { is_overloaded_ = true; }
  ScriptedDiscovery& script() { return script_; }

 private:
  std::atomic<bool> is_overloaded_ = false, is_stopping_ = false;
  ScriptedDiscovery script_;
};

TEST(StaleEndpointList, DrainingServerGetsNoRequestsOnceItsDrainCountsAsNotified) {
  std::atomic<bool> is_draining = false;
  std::mutex mutex;
  std::vector<SteadyClock::time_point> rejected;  // times of requests rejected by the draining server
  FakeServer draining_server([&](RawConnection& connection, const std::string&) {
    if (!is_draining) return connection.write(http_response(200, "ok"));
    {
      const std::lock_guard lock(mutex);
      rejected.push_back(SteadyClock::now());
    }
    return connection.write(http_response(503, "", "X-Not-Processed: 1\r\n"));
  });
  FakeServer ready_server(respond_with(200, "ok"));
  OverloadedDiscovery discovery(2s);
  WatchingNode node(discovery.script(),
                    endpoint_list_json(7, true,
                                       endpoint_json("s0", draining_server.address()) + "," +
                                           endpoint_json("s1", ready_server.address())));
  int requests = 0, served = 0;
  const auto send_until = [&](SteadyClock::time_point end) {
    while (SteadyClock::now() < end) {
      const std::string id = "r" + std::to_string(++requests);
      served += status_of_request(node.program->port(), id) == 200 ? 1 : 0;
      std::this_thread::sleep_for(20ms);
    }
  };
  send_until(SteadyClock::now() + 500ms);
  ASSERT_GT(draining_server.requests().size(), 0U);
  discovery.become_overloaded();
  is_draining = true;
  const auto drain_start = SteadyClock::now();
  send_until(drain_start + 9s);
  const std::lock_guard lock(mutex);
  ASSERT_FALSE(rejected.empty());
  EXPECT_LT(seconds_between(drain_start, rejected.back()),
            kMaxNotificationDelay + kDrainGracePeriod + kTolerance);
  EXPECT_GT(served, requests * 9 / 10) << "the ready server must stay in use; requests sent: " << requests;
}

// Discovery that is down for a while. Calls wait until they fail; once it is available again, each call gets
// the current list at once, and watches get each new one.
class UnavailableDiscovery {
 public:
  // How calls fail: with a reset when discovery is available again, with a 503 after `kMaxCallWait`, or not
  // at all until the node closes the connection.
  enum class CallFailure { kReset, kRejection, kSilence };
  UnavailableDiscovery(CallFailure failure, std::string list)
      : failure_(failure), list_(std::move(list)), script_([this](RawConnection& connection, int) {
          if (is_down_) return fail(connection);
          serve_watch(connection);
        }) {}
  ~UnavailableDiscovery() { is_stopping_ = true; }
  void set_down(bool is_down) { is_down_ = is_down; }
  void set_list(const std::string& list) {
    const std::lock_guard lock(mutex_);
    list_ = list;
  }
  ScriptedDiscovery& script() { return script_; }

 private:
  static constexpr auto kMaxCallWait = 2s;
  void fail(RawConnection& connection) {
    if (failure_ == CallFailure::kSilence) {
      connection.read_until_close();
      return;
    }
    const auto called_at = SteadyClock::now();
    const bool is_rejected = failure_ == CallFailure::kRejection;
    while (!is_stopping_ && (is_rejected ? SteadyClock::now() < called_at + kMaxCallWait : is_down_.load()))
      std::this_thread::sleep_for(5ms);
    if (is_rejected) {
      connection.write(http_response(503, ""));
    } else {
      connection.reset();
    }
  }
  void serve_watch(RawConnection& connection) {
    std::string sent;
    connection.write(kWatchResponseHead);
    while (!is_down_ && !is_stopping_) {
      const std::string list = current_list();
      if (!connection.write(http_chunk((list == sent ? "" : list) + "\n"))) return;
      sent = list;
      std::this_thread::sleep_for(50ms);
    }
    connection.reset();
  }
  std::string current_list() {
    const std::lock_guard lock(mutex_);
    return list_;
  }

  CallFailure failure_;
  std::mutex mutex_;
  std::string list_;
  std::atomic<bool> is_down_ = false, is_stopping_ = false;
  ScriptedDiscovery script_;
};

// A server begins to drain right after an outage of discovery and continues to answer.
void expect_drain_is_kept_after_an_outage(UnavailableDiscovery::CallFailure failure) {
  constexpr int kNodes = 8;
  constexpr auto kOutage = 3s;
  FakeServer draining_server(respond_with(200, "ok")), ready_server(respond_with(200, "ok"));
  const std::string ready = endpoint_json("s1", ready_server.address());
  const std::string both =
      endpoint_list_json(7, true, endpoint_json("s0", draining_server.address()) + "," + ready);
  UnavailableDiscovery discovery(failure, both);
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  for (int i = 0; i < kNodes; ++i) {
    NodeConfig config;
    config.known = both;
    config.discovery = discovery.script().address();
    config.rules = R"("askWithin":10.0,"drainGrace":1.0)";
    config.seed = std::to_string(i + 1);
    nodes.push_back(std::make_unique<NodeProcess>(config.text()));
  }
  int requests = 0;
  std::map<int, int> statuses;
  std::size_t at_draining_server = 0;
  auto last_request_at = SteadyClock::now();
  const auto send_until = [&](SteadyClock::time_point end) {
    for (std::size_t i = 0; SteadyClock::now() < end; ++i) {
      const std::string id = "r" + std::to_string(++requests);
      ++statuses[status_of_request(nodes[i % nodes.size()]->port(), id)];
      const std::size_t count = draining_server.requests().size();
      if (std::exchange(at_draining_server, count) != count) last_request_at = SteadyClock::now();
      std::this_thread::sleep_for(5ms);
    }
  };
  send_until(SteadyClock::now() + 1s);
  ASSERT_GT(at_draining_server, 0U);
  discovery.set_down(true);
  send_until(SteadyClock::now() + kOutage);
  discovery.set_down(false);
  send_until(SteadyClock::now() + 200ms);
  discovery.set_list(endpoint_list_json(8, true, ready));
  const auto drain_start = SteadyClock::now();
  send_until(drain_start + 11s);
  EXPECT_LT(seconds_between(drain_start, last_request_at),
            kMaxNotificationDelay + kDrainGracePeriod + kTolerance);
  EXPECT_GT(statuses[200], requests * 99 / 100) << "the other server stays in use";
}

// Guards against requests to draining servers that answer, for seconds after the notification: nodes called
// discovery up to 12 s after a failed call, and took each answer of a server as a sign that it does not
// drain.
TEST(StaleEndpointList, DrainAfterAnOutageIsKeptIfCallsWereReset) {
  expect_drain_is_kept_after_an_outage(UnavailableDiscovery::CallFailure::kReset);
}

// The same if discovery, or a proxy before it, rejects the calls after a time.
TEST(StaleEndpointList, DrainAfterAnOutageIsKeptIfCallsWereRejected) {
  expect_drain_is_kept_after_an_outage(UnavailableDiscovery::CallFailure::kRejection);
}

// A fake discovery that is available: it answers each request for the list. From reject_watches() on, it
// resets the open watches and rejects each new one with a 503 after a wait.
class WatchRejectingDiscovery {
 public:
  explicit WatchRejectingDiscovery(std::string list)
      : list_(std::move(list)), script_([this](RawConnection& connection, int call) {
          if (script_.requests()[static_cast<std::size_t>(call)].text.find("watch=1") == std::string::npos) {
            ++list_calls_;
            connection.write(http_response(200, current_list()));
          } else if (is_rejecting_) {
            for (int i = 0; i < 200 && !is_stopping_; ++i) std::this_thread::sleep_for(10ms);
            connection.write(http_response(503, ""));
          } else {
            connection.write(kWatchResponseHead);
            while (!is_rejecting_ && !is_stopping_ && connection.write(http_chunk(current_list() + "\n")))
              std::this_thread::sleep_for(50ms);
            connection.reset();
          }
        }) {}
  ~WatchRejectingDiscovery() { is_stopping_ = true; }
  void reject_watches() { is_rejecting_ = true; }
  void set_list(const std::string& list) {
    const std::lock_guard lock(mutex_);
    list_ = list;
  }
  int list_calls() const { return list_calls_; }
  ScriptedDiscovery& script() { return script_; }

 private:
  std::string current_list() {
    const std::lock_guard lock(mutex_);
    return list_;
  }
  std::mutex mutex_;
  std::string list_;
  std::atomic<bool> is_rejecting_ = false, is_stopping_ = false;
  std::atomic<int> list_calls_ = 0;
  ScriptedDiscovery script_;
};

// Guards against requests to draining servers while an available discovery rejects watches: the node took it
// for one that is down, and did not request the list.
TEST(StaleEndpointList, DrainsAreKeptWhileDiscoveryRejectsWatches) {
  constexpr double kMaxDelay = kMaxNotificationDelay + kDrainGracePeriod + kTolerance;
  FakeServer first(respond_with(200, "ok")), second(respond_with(200, "ok")), ready(respond_with(200, "ok"));
  const std::string ready_entry = endpoint_json("s2", ready.address());
  const std::string second_entry = endpoint_json("s1", second.address()) + "," + ready_entry;
  const std::string all =
      endpoint_list_json(7, true, endpoint_json("s0", first.address()) + "," + second_entry);
  WatchRejectingDiscovery discovery(all);
  WatchingNode node(discovery.script(), all);
  int requests = 0, served = 0;
  const auto send_until = [&](SteadyClock::time_point end) {
    for (; SteadyClock::now() < end; std::this_thread::sleep_for(10ms))
      served += status_of_request(node.program->port(), "r" + std::to_string(++requests)) == 200 ? 1 : 0;
  };
  const auto expect_drain_is_kept = [&](FakeServer& server, const std::string& list, double watched) {
    EXPECT_GT(server.requests().size(), 0U);
    discovery.set_list(list);
    const auto drain_start = SteadyClock::now();
    send_until(drain_start + std::chrono::milliseconds(static_cast<int>(kMaxDelay * 1000)));
    const std::size_t allowed = server.requests().size();
    send_until(drain_start + std::chrono::milliseconds(static_cast<int>(watched * 1000)));
    EXPECT_EQ(server.requests().size(), allowed) << "requests after the drain counts as notified";
  };
  send_until(SteadyClock::now() + 500ms);
  EXPECT_EQ(discovery.list_calls(), 0) << "an open watch reports all changes";
  discovery.reject_watches();
  send_until(SteadyClock::now() + 500ms);
  expect_drain_is_kept(first, endpoint_list_json(8, true, second_entry), 9);
  expect_drain_is_kept(second, endpoint_list_json(9, true, ready_entry), 11);
  EXPECT_GT(served, requests * 99 / 100) << "the other servers stay in use";
  EXPECT_LT(discovery.list_calls(), 6) << "one call for the list in about 6 s";
}

// Discovery needs 6 s to serve one request from each node. It is down for 5 s, and a third of the nodes
// restart while it is still serving the others.
TEST(StaleEndpointList, ReplicasGetTheirListsFromAnOverloadedDiscovery) {
  constexpr int kNodes = 20, kRestarted = 7;
  FakeServer server(respond_with(200, "ok"));
  QueueingDiscovery discovery(300ms, 2000ms);
  const std::string known = endpoint_list_json(7, true, endpoint_json("s0", server.address()));
  const auto start_node = [&](int index) {
    NodeConfig text;
    text.known = known;
    text.discovery = discovery.address();
    text.replica_index = index;
    text.replica_count = kNodes;
    text.seed = std::to_string(index + 1);
    return std::make_unique<NodeProcess>(text.text());
  };
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  for (int i = 0; i < kNodes; ++i) nodes.push_back(start_node(i));
  ASSERT_TRUE(eventually([&] { return discovery.open_watches() == kNodes; }));
  discovery.set_unavailable();
  std::this_thread::sleep_for(5s);
  discovery.set_available(endpoint_list_json(8, true, endpoint_json("s0", server.address())));
  const auto up_since = SteadyClock::now();
  std::this_thread::sleep_for(2500ms);
  for (int i = 0; i < kRestarted; ++i) nodes[static_cast<std::size_t>(i)]->kill();
  for (int i = 0; i < kRestarted; ++i) nodes[static_cast<std::size_t>(i)] = start_node(i);
  EXPECT_TRUE(eventually([&] { return discovery.open_watches() == kNodes; }))
      << discovery.open_watches() << " of " << kNodes << " nodes have an open watch; "
      << discovery.rejected_calls() << " requests were rejected";
  EXPECT_LT(seconds_since(up_since), 18);
  EXPECT_LT(discovery.rejected_calls(), kNodes);
}

// Two requests that discovery rejects immediately must not delay the list beyond 6 s.
TEST(StaleEndpointList, IsRenewedInTimeWhenCallsAreRejectedAtOnce) {
  FakeServer server(respond_with(200, "ok"));
  std::atomic<bool> is_down = true;
  std::atomic<int> calls_since_up = 0;
  ScriptedDiscovery discovery([&](RawConnection& connection, int) {
    if (is_down || ++calls_since_up <= 2) {
      connection.write(http_response(503, ""));
      return;
    }
    connection.write(kWatchResponseHead + http_chunk("\n"));
    connection.read_until_close();
  });
  WatchingNode node(discovery, endpoint_list_json(7, true, endpoint_json("s0", server.address())));
  std::this_thread::sleep_for(8s);
  is_down = false;
  const auto up_since = SteadyClock::now();
  ASSERT_TRUE(eventually([&] { return calls_since_up == 3; }));
  EXPECT_LT(seconds_since(up_since), kMaxNotificationDelay);
}

// A stale list alone must not cause rejections: servers that respond stay in use.
TEST(StaleEndpointList, RespondingServersStayInUseThroughALongOutage) {
  FakeServer server_a(respond_with(200, "ok")), server_b(respond_with(200, "ok"));
  OverloadedDiscovery discovery(1s);
  WatchingNode node(discovery.script(), endpoint_list_json(7, true,
                                                           endpoint_json("s0", server_a.address()) + "," +
                                                               endpoint_json("s1", server_b.address())));
  ASSERT_EQ(node.status(), 200);
  discovery.become_overloaded();
  int requests = 0, served = 0;
  for (const auto end = SteadyClock::now() + 12s; SteadyClock::now() < end;
       std::this_thread::sleep_for(100ms))
    served += status_of_request(node.program->port(), "u" + std::to_string(++requests)) == 200 ? 1 : 0;
  EXPECT_EQ(served, requests);
}

// The same if calls are accepted and stay silent, until the node closes them and calls again.
TEST(StaleEndpointList, RespondingServersStayInUseWhileCallsAreSilent) {
  FakeServer server(respond_with(200, "ok"));
  const std::string known = endpoint_list_json(7, true, endpoint_json("s0", server.address()));
  UnavailableDiscovery discovery(UnavailableDiscovery::CallFailure::kSilence, known);
  WatchingNode node(discovery.script(), known);
  ASSERT_EQ(node.status(), 200);
  discovery.set_down(true);
  int requests = 0, served = 0;
  for (const auto end = SteadyClock::now() + 20s; SteadyClock::now() < end; std::this_thread::sleep_for(50ms))
    served += status_of_request(node.program->port(), "u" + std::to_string(++requests)) == 200 ? 1 : 0;
  EXPECT_GT(served, requests * 99 / 100);
}

// Neither must an idle period: a server is probed with a request, and its response confirms it as usable.
TEST(StaleEndpointList, NodeServesAfterAnIdleTimeInALongOutage) {
  FakeServer server(respond_with(200, "ok"));
  OverloadedDiscovery discovery(1s);
  WatchingNode node(discovery.script(), endpoint_list_json(7, true, endpoint_json("s0", server.address())));
  ASSERT_EQ(node.status(), 200);
  discovery.become_overloaded();
  std::this_thread::sleep_for(9s);
  EXPECT_EQ(node.status(), 200);
}

}  // namespace
}  // namespace thymewood::node
