// Failure detection between node processes: it is disabled unless both the platform and the operators enable
// it, detects failed and restarted peers, and a flood of datagrams does not delay requests.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <filesystem>
#include <set>

#include "address_block.h"
#include "codec.h"
#include "node_harness.h"

namespace thymewood::node {
namespace {

namespace asio = boost::asio;
constexpr const char* kPeersEnabled =
    "[fleet]\nenabled = true\nperiod_ms = 100\nanswer_ms = 50\nhold_ms = 200\ncalm_ms = 300\n";
// Log fields of a view in which all nodes are reachable.
constexpr const char* kThreeOfThree = "reachable_count=3 configured_count=3 connectivity=complete ";
constexpr const char* kTwoOfTwo = "reachable_count=2 configured_count=2 connectivity=complete ";
constexpr const char* kPeersPermittedBounds =
    R"("cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,"peers":true,"dialTimeout":0.5,"idleClose":60.0)";

// Counts the open UDP sockets of a process, using /proc.
int count_udp_sockets(pid_t pid) {
  std::set<std::string> inodes;
  for (const char* table : {"/proc/net/udp", "/proc/net/udp6"}) {
    std::ifstream in(table);
    std::string line;
    std::getline(in, line);
    while (std::getline(in, line)) {
      std::istringstream fields(line);
      std::string field;
      for (int i = 0; i < 10; ++i) fields >> field;
      inodes.insert("socket:[" + field + "]");
    }
  }
  int count = 0;
  std::error_code ignored;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", ignored))
    count += inodes.contains(std::filesystem::read_symlink(entry, ignored).string()) ? 1 : 0;
  return count;
}

// Creates the addresses and configurations of a replica set.
class ReplicaSet {
 public:
  explicit ReplicaSet(int count) : addresses_(io_) {
    for (int i = 0; i < count; ++i) peers_.push_back(addresses_.udp(1, i + 1, kPort));
  }
  // Configuration of a node that lists the first `configured_count` peers; -1 lists all.
  NodeConfig config(int index, int configured_count = -1) const {
    const std::size_t count =
        configured_count < 0 ? peers_.size() : static_cast<std::size_t>(configured_count);
    NodeConfig result;
    result.bounds = kPeersPermittedBounds;
    result.replica_index = index;
    result.replica_count = static_cast<int>(count);
    result.extra_fields =
        "\"peer_listen\":\"" + to_text(peers_[static_cast<std::size_t>(index)]) + "\",\"peers\":[";
    for (std::size_t i = 0; i < count; ++i)
      result.extra_fields += (i == 0 ? "\"" : ",\"") + to_text(peers_[i]) + "\"";
    result.extra_fields += "],";
    return result;
  }
  std::unique_ptr<NodeProcess> start(int index, const std::string& operators = kPeersEnabled) const {
    return std::make_unique<NodeProcess>(config(index).text(), 0, true, operators);
  }
  const asio::ip::udp::endpoint& peer(int index) const { return peers_[static_cast<std::size_t>(index)]; }

 private:
  static constexpr unsigned short kPort = 7946;
  static std::string to_text(const asio::ip::udp::endpoint& endpoint) {
    std::ostringstream out;
    out << endpoint;
    return out.str();
  }
  asio::io_context io_;
  fleet::AddressBlock addresses_;
  std::vector<asio::ip::udp::endpoint> peers_;
};

// The latest replica_set_changed event in the log; empty if there is none.
std::string latest_view(const NodeProcess& program) {
  const std::string log = program.log();
  const std::size_t at = log.rfind("event=replica_set_changed ");
  return at == std::string::npos ? "" : log.substr(at, log.find('\n', at) - at);
}
bool latest_view_contains(const NodeProcess& program, const std::string& fields) {
  return latest_view(program).find(fields) != std::string::npos;
}

TEST(Peers, AreDisabledUnlessThePlatformAndTheOperatorsEnableThem) {
  const ReplicaSet replica_set(2);
  struct Case {
    const char* description;
    bool is_permitted, has_addresses;
    std::string operators;
  };
  const std::string disabled = "[fleet]\nenabled = false\n";
  for (const Case& test_case :
       {Case{"no file", true, true, ""}, Case{"a file that disables it", true, true, disabled},
        Case{"an empty file", true, true, "# nothing\n"},
        Case{"the platform does not permit it", false, true, kPeersEnabled},
        Case{"no addresses are configured", true, false, kPeersEnabled}}) {
    NodeConfig config = replica_set.config(0);
    if (!test_case.is_permitted) config.bounds = NodeConfig().bounds;
    if (!test_case.has_addresses) config.extra_fields.clear();
    NodeProcess program(config.text(), 0, true, test_case.operators);
    EXPECT_EQ(count_udp_sockets(program.pid()), 0) << test_case.description;
    for (const char* event : {"fleet:", "event=replica_set_changed", "event=node_"})
      EXPECT_EQ(program.count_in_log(event), 0) << test_case.description;
  }
  const auto program = replica_set.start(0);
  EXPECT_EQ(count_udp_sockets(program->pid()), 1) << "one UDP socket when enabled";
}

TEST(Peers, WhenDisabledRequestsToServersAreUnchanged) {
  const ReplicaSet replica_set(2);
  std::vector<std::string> forwarded;
  for (const std::string& operators : {std::string(), std::string("[fleet]\nenabled = false\n")}) {
    FakeServer server(respond_with(200, "ok"));
    NodeConfig config = replica_set.config(0);
    config.known = endpoint_list_json(7, true, endpoint_json("s0", server.address()));
    NodeProcess program(config.text(), 0, true, operators);
    RawConnection client = RawConnection::connect_to(program.port());
    client.write(ClientRequest{.id = "r1"}.text());
    ASSERT_EQ(status_of(client.read_message()), 200);
    std::string request = server.requests().front();
    request.erase(request.find("Host: "),
                  request.find("\r\n", request.find("Host: ")) - request.find("Host: "));
    const std::size_t timeout = request.find("X-Timeout-Ms: ");
    if (timeout != std::string::npos) request.erase(timeout, request.find("\r\n", timeout) - timeout);
    forwarded.push_back(request);
  }
  EXPECT_EQ(forwarded[0], forwarded[1]);
}

TEST(Peers, DiscoverEachOtherAndDetectAFailureAndARestart) {
  const ReplicaSet replica_set(3);
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  for (int i = 0; i < 3; ++i) nodes.push_back(replica_set.start(i));
  for (const auto& node : nodes)
    EXPECT_TRUE(eventually([&] { return latest_view_contains(*node, kThreeOfThree); }));
  nodes[1]->kill();
  for (const int i : {0, 2}) {
    NodeProcess& node = *nodes[static_cast<std::size_t>(i)];
    EXPECT_TRUE(eventually([&] {
      return latest_view_contains(
          node, "live_count=2 max_count=3 reachable_count=2 configured_count=3 connectivity=partial ");
    })) << latest_view(node);
    EXPECT_GE(node.count_in_log("event=node_failed node=1 previous=suspect "), 1);
  }
  EXPECT_TRUE(eventually([&] { return latest_view_contains(*nodes[2], "rank=1 live_count=2 "); }))
      << "the failed node no longer counts in its rank";
  nodes[1] = replica_set.start(1);
  for (const auto& node : nodes)
    EXPECT_TRUE(eventually([&] {
      return latest_view_contains(
          *node, "live_count=3 max_count=3 reachable_count=3 configured_count=3 connectivity=complete ");
    }));
}

TEST(Peers, ANodeThatShutsDownLeavesWithoutBeingSuspected) {
  const ReplicaSet replica_set(3);
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  for (int i = 0; i < 3; ++i) nodes.push_back(replica_set.start(i));
  for (const auto& node : nodes)
    EXPECT_TRUE(eventually([&] { return latest_view_contains(*node, kThreeOfThree); }));
  nodes[1]->signal(SIGTERM);
  EXPECT_EQ(nodes[1]->exit_status(), 0);
  for (const int i : {0, 2}) {
    NodeProcess& node = *nodes[static_cast<std::size_t>(i)];
    EXPECT_TRUE(eventually([&] {
      return latest_view_contains(
          node, "live_count=2 max_count=2 reachable_count=2 configured_count=3 connectivity=complete ");
    })) << latest_view(node);
    EXPECT_EQ(node.count_in_log("event=node_left node=1 previous=alive "), 1);
    EXPECT_EQ(node.count_in_log("event=node_suspected node=1 previous=alive "), 0);
  }
}

TEST(Peers, APausedNodeFailsNoPeerAfterItResumes) {
  const ReplicaSet replica_set(3);
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  for (int i = 0; i < 3; ++i) nodes.push_back(replica_set.start(i));
  for (const auto& node : nodes)
    EXPECT_TRUE(eventually([&] { return latest_view_contains(*node, kThreeOfThree); }));
  nodes[0]->signal(SIGSTOP);
  EXPECT_TRUE(
      eventually([&] { return nodes[1]->count_in_log("event=node_failed node=0 previous=suspect ") > 0; }));
  nodes[0]->signal(SIGCONT);
  for (const auto& node : nodes)
    EXPECT_TRUE(eventually([&] {
      return latest_view_contains(
          *node, "live_count=3 max_count=3 reachable_count=3 configured_count=3 connectivity=complete ");
    }));
  EXPECT_GE(nodes[0]->count_in_log("event=event_loop_paused for="), 1);
  EXPECT_EQ(nodes[0]->count_in_log("event=node_failed "), 0);
}

TEST(Peers, AGrownReplicaSetConvergesOnceAllNodesAreConfigured) {
  const ReplicaSet replica_set(4);
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  for (int i = 0; i < 2; ++i)
    nodes.push_back(std::make_unique<NodeProcess>(replica_set.config(i, 2).text(), 0, true, kPeersEnabled));
  for (const auto& node : nodes)
    EXPECT_TRUE(eventually([&] { return latest_view_contains(*node, kTwoOfTwo); }));
  for (int i = 2; i < 4; ++i) nodes.push_back(replica_set.start(i));
  EXPECT_TRUE(eventually([&] {
    return nodes[2]->count_in_log("event=node_failed node=0 previous=suspect ") > 0;
  })) << "the old nodes do not have the new node configured and do not respond to it";
  EXPECT_TRUE(eventually([&] {
    return latest_view_contains(*nodes[2], "rank=2 live_count=4 max_count=4 ") &&
           latest_view_contains(*nodes[2], "connectivity=partitioned ");
  })) << "a partitioned node uses its configured counts: "
      << latest_view(*nodes[2]);
  for (int i = 0; i < 2; ++i) {
    const NodeProcess& old = *nodes[static_cast<std::size_t>(i)];
    EXPECT_TRUE(latest_view_contains(old, kTwoOfTwo)) << latest_view(old);
    EXPECT_EQ(old.count_in_log("event=node_failed "), 0);
  }
  for (int i = 0; i < 2; ++i) {
    nodes[static_cast<std::size_t>(i)].reset();  // restart with all four peers configured
    nodes[static_cast<std::size_t>(i)] = replica_set.start(i);
  }
  for (const auto& node : nodes)
    EXPECT_TRUE(eventually([&] {
      return latest_view_contains(
          *node, "live_count=4 max_count=4 reachable_count=4 configured_count=4 connectivity=complete ");
    })) << latest_view(*node);
}

// A node that reaches neither peers nor servers rejects requests if the operators enable it, until a server
// responds again.
TEST(Peers, AnIsolatedNodeRejectsRequestsWhereOperatorsEnableIt) {
  for (const bool is_enabled : {true, false}) {
    const ReplicaSet replica_set(2);
    auto server = std::make_unique<FakeServer>(respond_with(200, "ok"));
    const std::string address = server->address();
    const int port = std::stoi(address.substr(address.find(':') + 1));
    NodeConfig config = replica_set.config(0);
    config.known = endpoint_list_json(7, true, endpoint_json("s0", address));
    const std::string operators =
        std::string(kPeersEnabled) + (is_enabled ? "refuse_when_cut_off = true\n" : "");
    NodeProcess node(config.text(), 0, true, operators);
    const auto health_status = [&node] {
      RawConnection connection = RawConnection::connect_to(node.port());
      connection.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
      return status_of(connection.read_message());
    };
    const auto send_request = [&node] {
      static int requests = 0;
      RawConnection connection = RawConnection::connect_to(node.port());
      connection.write(ClientRequest{.id = "c" + std::to_string(++requests), .timeout = "2000"}.text());
      return connection.read_message();
    };
    EXPECT_EQ(status_of(send_request()), 200) << "serves although no peer is reachable";
    EXPECT_EQ(health_status(), 200);
    server.reset();
    if (is_enabled) {
      EXPECT_TRUE(eventually([&] {
        send_request();
        return health_status() == 503;
      }));
      EXPECT_NE(header_of(send_request(), "Retry-After"), "");
    } else {
      for (int i = 0; i < 40; ++i) send_request();
      EXPECT_EQ(health_status(), 200);
    }
    FakeServer restored_server(respond_with(200, "ok"), port);
    EXPECT_TRUE(eventually([&] {
      send_request();
      return health_status() == 200 && status_of(send_request()) == 200;
    })) << is_enabled;
  }
}

TEST(Peers, Sigusr1LogsAJsonReport) {
  const ReplicaSet replica_set(2);
  const auto a = replica_set.start(0), b = replica_set.start(1);
  EXPECT_TRUE(eventually([&] { return latest_view_contains(*a, "connectivity=complete "); }));
  a->signal(SIGUSR1);
  EXPECT_TRUE(eventually([&] { return a->count_in_log("fleet: {") == 1; }));
  const std::string log = a->log();
  for (const char* part : {"\"confidence\":\"whole\"", "\"number\":1,\"state\":\"alive\"",
                           "\"bytes_a_second\":", "\"damaged\":0"})
    EXPECT_NE(log.find(part), std::string::npos) << part;
  a->signal(SIGUSR1);
  EXPECT_TRUE(eventually([&] { return a->count_in_log("fleet: {") == 2; })) << "one report per signal";
}

TEST(Peers, AFloodOfDatagramsDelaysNoRequestAndIsCounted) {
  const ReplicaSet replica_set(2);
  FakeServer server(respond_with(200, "ok"));
  NodeConfig config = replica_set.config(0);
  config.known = endpoint_list_json(7, true, endpoint_json("s0", server.address()));
  NodeProcess node(config.text(), 0, true, kPeersEnabled);
  const auto peer = replica_set.start(1);
  EXPECT_TRUE(eventually([&] { return latest_view_contains(node, "connectivity=complete "); }));
  std::atomic<bool> is_done = false;
  std::thread flood([&] {
    asio::io_context io;
    asio::ip::udp::socket socket(io, {asio::ip::address_v4::loopback(), 0});
    membership::Message message;  // well formed, but sent from an unknown address
    message.kind = membership::MessageKind::kLeaving;
    message.replica_set_id = membership::replica_set_id_of("thymewood");
    message.sender = 1;
    message.incarnation = ~membership::Incarnation{0};
    const membership::Datagram valid_datagram = membership::encode(message);
    std::vector<std::uint8_t> invalid_bytes(300, 'x');
    boost::system::error_code ignored;
    for (int i = 0; i < 200000 && !is_done; ++i) {
      socket.send_to(asio::buffer(valid_datagram.bytes.data(), valid_datagram.size), replica_set.peer(0), 0,
                     ignored);
      socket.send_to(asio::buffer(invalid_bytes.data(), static_cast<std::size_t>(i % 300)),
                     replica_set.peer(0), 0, ignored);
    }
  });
  RawConnection client = RawConnection::connect_to(node.port());
  for (int i = 0; i < 200; ++i) {
    client.write(ClientRequest{.id = "r" + std::to_string(i)}.text());
    ASSERT_EQ(status_of(client.read_message()), 200);
  }
  is_done = true;
  flood.join();
  node.signal(SIGUSR1);
  EXPECT_TRUE(eventually([&] { return node.count_in_log("fleet: {") == 1; }));
  const std::string log = node.log();
  EXPECT_EQ(log.find("\"strangers\":0,"), std::string::npos)
      << "datagrams from unknown addresses are counted as dropped";
  EXPECT_EQ(log.find("\"short\":0,"), std::string::npos);
  EXPECT_EQ(node.count_in_log("event=node_left node=1 previous=alive "), 0) << "and are not applied";
}

TEST(Peers, InvalidConfigurationsFailAtStartup) {
  const ReplicaSet replica_set(2);
  const auto startup_error = [](const std::string& config, const std::string& operators) {
    NodeProcess program(config, 0, false, operators);
    EXPECT_EQ(program.exit_status(), 2);
    return program.log();
  };
  EXPECT_NE(startup_error(replica_set.config(0).text(), "[fleet]\nenabled = 7\n").find(":2: 'enabled'"),
            std::string::npos);
  NodeConfig config = replica_set.config(0);
  config.extra_fields = R"("peer_listen":"127.0.0.1:x","peers":["127.0.0.1:7946"],)";
  EXPECT_NE(startup_error(config.text(), kPeersEnabled).find("peer_listen"), std::string::npos);
  config.extra_fields = R"("peer_listen":"127.0.0.1:7946","peers":["127.0.0.1:7946",3],)";
  EXPECT_NE(startup_error(config.text(), kPeersEnabled).find("peers"), std::string::npos);
  config = replica_set.config(1);
  config.extra_fields = R"("peer_listen":"127.0.0.1:7946","peers":["127.0.0.1:7946"],)";
  EXPECT_NE(startup_error(config.text(), kPeersEnabled).find("own position"), std::string::npos);
  const auto running_node = replica_set.start(0);
  EXPECT_NE(startup_error(replica_set.config(0).text(), kPeersEnabled).find("peer_listen: "),
            std::string::npos)
      << "the address is already in use";
}

}  // namespace
}  // namespace thymewood::node
