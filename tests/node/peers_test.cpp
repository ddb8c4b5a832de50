// Nodes that talk to each other, as processes: off unless all agree to it, found and failed by each other,
// and no flood on their address holds up a request.
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
constexpr const char* kOn =
    "[fleet]\nenabled = true\nperiod_ms = 100\nanswer_ms = 50\nhold_ms = 200\ncalm_ms = 300\n";
constexpr const char* kPermitted =
    R"("cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,"peers":true,"dialTimeout":0.5,"idleClose":60.0)";

// How many UDP sockets a process holds, as the system tells.
int udp_sockets(pid_t pid) {
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
  int out = 0;
  std::error_code ignored;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", ignored))
    out += inodes.contains(std::filesystem::read_symlink(entry, ignored).string()) ? 1 : 0;
  return out;
}

// So many nodes at addresses of their own.
class Fleet {
 public:
  explicit Fleet(int count) : addresses_(io_) {
    for (int i = 0; i < count; ++i) peers_.push_back(addresses_.udp(1, i + 1, kPort));
  }
  // Of a node that is told of `told` of them; -1: of all.
  ConfigText config(int number, int told = -1) const {
    const std::size_t count = told < 0 ? peers_.size() : static_cast<std::size_t>(told);
    ConfigText out;
    out.bounds = kPermitted;
    out.position = number;
    out.total = static_cast<int>(count);
    out.peers = "\"peer_listen\":\"" + text_of(peers_[static_cast<std::size_t>(number)]) + "\",\"peers\":[";
    for (std::size_t i = 0; i < count; ++i) out.peers += (i == 0 ? "\"" : ",\"") + text_of(peers_[i]) + "\"";
    out.peers += "],";
    return out;
  }
  std::unique_ptr<Program> start(int number, const std::string& operators = kOn) const {
    return std::make_unique<Program>(config(number).text(), 0, true, operators);
  }
  const asio::ip::udp::endpoint& peer(int number) const { return peers_[static_cast<std::size_t>(number)]; }

 private:
  static constexpr unsigned short kPort = 7946;
  static std::string text_of(const asio::ip::udp::endpoint& endpoint) {
    std::ostringstream out;
    out << endpoint;
    return out.str();
  }
  asio::io_context io_;
  fleet::AddressBlock addresses_;
  std::vector<asio::ip::udp::endpoint> peers_;
};

// The newest line in which it says how it sees the fleet.
std::string view_of(const Program& program) {
  const std::string log = program.log();
  const std::size_t at = log.rfind("fleet: view ");
  return at == std::string::npos ? "" : log.substr(at, log.find('\n', at) - at);
}
bool sees(const Program& program, const std::string& what) {
  return view_of(program).find(what) != std::string::npos;
}

TEST(Peers, AreOffUnlessThePlatformAndTheOperatorsAgree) {
  const Fleet fleet(2);
  struct Case {
    const char* what;
    bool permitted, addresses;
    std::string operators;
  };
  const std::string off = "[fleet]\nenabled = false\n";
  for (const Case& c : {Case{"no file", true, true, ""}, Case{"a file that says no", true, true, off},
                        Case{"an empty file", true, true, "# nothing\n"},
                        Case{"the platform does not permit it", false, true, kOn},
                        Case{"no addresses are told", true, false, kOn}}) {
    ConfigText config = fleet.config(0);
    if (!c.permitted) config.bounds = ConfigText().bounds;
    if (!c.addresses) config.peers.clear();
    Program program(config.text(), 0, true, c.operators);
    EXPECT_EQ(udp_sockets(program.pid()), 0) << c.what;
    EXPECT_EQ(program.logged("fleet:"), 0) << c.what;
  }
  const auto program = fleet.start(0);
  EXPECT_EQ(udp_sockets(program->pid()), 1) << "and this is how one would be seen";
}

TEST(Peers, OffNoByteToAServerChanges) {
  const Fleet fleet(2);
  std::vector<std::string> asked;
  for (const std::string& operators : {std::string(), std::string("[fleet]\nenabled = false\n")}) {
    FakeServer server(replies(200, "ok"));
    ConfigText config = fleet.config(0);
    config.known = list(7, true, member("s0", server.address()));
    Program program(config.text(), 0, true, operators);
    Wire caller = Wire::to(program.port());
    caller.write(Ask{.id = "r1"}.text());
    ASSERT_EQ(status_of(caller.read_message()), 200);
    std::string request = server.requests().front();
    request.erase(request.find("Host: "),
                  request.find("\r\n", request.find("Host: ")) - request.find("Host: "));
    const std::size_t timeout = request.find("X-Timeout-Ms: ");
    if (timeout != std::string::npos) request.erase(timeout, request.find("\r\n", timeout) - timeout);
    asked.push_back(request);
  }
  EXPECT_EQ(asked[0], asked[1]);
}

TEST(Peers, FindEachOtherAndOneThatIsKilledHasFailedAndComesBack) {
  const Fleet fleet(3);
  std::vector<std::unique_ptr<Program>> nodes;
  for (int i = 0; i < 3; ++i) nodes.push_back(fleet.start(i));
  for (const auto& node : nodes)
    EXPECT_TRUE(eventually([&] { return sees(*node, "reaches 3 of 3, whole"); }));
  nodes[1]->kill();
  for (const int i : {0, 2}) {
    Program& node = *nodes[static_cast<std::size_t>(i)];
    EXPECT_TRUE(eventually([&] { return sees(node, "of 2, reckons with 3, reaches 2 of 3, part"); }))
        << view_of(node);
    EXPECT_GE(node.logged("fleet: peer 1 suspect -> failed"), 1);
  }
  EXPECT_TRUE(eventually([&] { return sees(*nodes[2], "rank 1 of 2"); })) << "it has moved up";
  nodes[1] = fleet.start(1);
  for (const auto& node : nodes)
    EXPECT_TRUE(eventually([&] { return sees(*node, "of 3, reckons with 3, reaches 3 of 3, whole"); }));
}

TEST(Peers, OneThatIsToldToEndSaysSoAndIsNeverSuspected) {
  const Fleet fleet(3);
  std::vector<std::unique_ptr<Program>> nodes;
  for (int i = 0; i < 3; ++i) nodes.push_back(fleet.start(i));
  for (const auto& node : nodes)
    EXPECT_TRUE(eventually([&] { return sees(*node, "reaches 3 of 3, whole"); }));
  nodes[1]->signal(SIGTERM);
  EXPECT_EQ(nodes[1]->exit_status(), 0);
  for (const int i : {0, 2}) {
    Program& node = *nodes[static_cast<std::size_t>(i)];
    EXPECT_TRUE(eventually([&] { return sees(node, "of 2, reckons with 2, reaches 2 of 3, whole"); }))
        << view_of(node);
    EXPECT_EQ(node.logged("fleet: peer 1 alive -> left"), 1);
    EXPECT_EQ(node.logged("fleet: peer 1 alive -> suspect"), 0);
  }
}

TEST(Peers, OneThatWasStoppedFailsNobodyWhenItWakes) {
  const Fleet fleet(3);
  std::vector<std::unique_ptr<Program>> nodes;
  for (int i = 0; i < 3; ++i) nodes.push_back(fleet.start(i));
  for (const auto& node : nodes)
    EXPECT_TRUE(eventually([&] { return sees(*node, "reaches 3 of 3, whole"); }));
  nodes[0]->signal(SIGSTOP);
  EXPECT_TRUE(eventually([&] { return nodes[1]->logged("fleet: peer 0 suspect -> failed") > 0; }));
  nodes[0]->signal(SIGCONT);
  for (const auto& node : nodes)
    EXPECT_TRUE(eventually([&] { return sees(*node, "of 3, reckons with 3, reaches 3 of 3, whole"); }));
  EXPECT_GE(nodes[0]->logged("fleet: was away"), 1);
  EXPECT_EQ(nodes[0]->logged("-> failed"), 0);
}

TEST(Peers, AFleetThatGrowsIsOneOnceAllAreToldOfAll) {
  const Fleet fleet(4);
  std::vector<std::unique_ptr<Program>> nodes;
  for (int i = 0; i < 2; ++i)
    nodes.push_back(std::make_unique<Program>(fleet.config(i, 2).text(), 0, true, kOn));
  for (const auto& node : nodes)
    EXPECT_TRUE(eventually([&] { return sees(*node, "reaches 2 of 2, whole"); }));
  for (int i = 2; i < 4; ++i) nodes.push_back(fleet.start(i));
  EXPECT_TRUE(eventually([&] { return nodes[2]->logged("fleet: peer 0 suspect -> failed") > 0; }))
      << "the old ones do not know it, and do not answer";
  EXPECT_TRUE(eventually([&] {
    return sees(*nodes[2], "rank 2 of 4, reckons with 4") && sees(*nodes[2], "cut off");
  })) << "as it was told: "
      << view_of(*nodes[2]);
  for (int i = 0; i < 2; ++i) {
    const Program& old = *nodes[static_cast<std::size_t>(i)];
    EXPECT_TRUE(sees(old, "reaches 2 of 2, whole")) << view_of(old);
    EXPECT_EQ(old.logged("-> failed"), 0);
  }
  for (int i = 0; i < 2; ++i) {
    nodes[static_cast<std::size_t>(i)].reset();  // told to end, and started with the longer list
    nodes[static_cast<std::size_t>(i)] = fleet.start(i);
  }
  for (const auto& node : nodes)
    EXPECT_TRUE(eventually([&] { return sees(*node, "of 4, reckons with 4, reaches 4 of 4, whole"); }))
        << view_of(*node);
}

// Cut off from nodes and from servers alike, by the operators' choice: said at once, and over as soon as a
// server answers again.
TEST(Peers, ANodeThatIsCutOffFromAllSaysSoWhereOperatorsChoose) {
  for (const bool chosen : {true, false}) {
    const Fleet fleet(2);
    auto server = std::make_unique<FakeServer>(replies(200, "ok"));
    const std::string address = server->address();
    const int port = std::stoi(address.substr(address.find(':') + 1));
    ConfigText config = fleet.config(0);
    config.known = list(7, true, member("s0", address));
    const std::string operators = std::string(kOn) + (chosen ? "refuse_when_cut_off = true\n" : "");
    Program node(config.text(), 0, true, operators);
    const auto health = [&node] {
      Wire wire = Wire::to(node.port());
      wire.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
      return status_of(wire.read_message());
    };
    const auto ask = [&node] {
      static int asked = 0;
      Wire wire = Wire::to(node.port());
      wire.write(Ask{.id = "c" + std::to_string(++asked), .timeout = "2000"}.text());
      return wire.read_message();
    };
    EXPECT_EQ(status_of(ask()), 200) << "nobody else is there, and it serves";
    EXPECT_EQ(health(), 200);
    server.reset();
    if (chosen) {
      EXPECT_TRUE(eventually([&] {
        ask();
        return health() == 503;
      }));
      EXPECT_NE(field_of(ask(), "Retry-After"), "");
    } else {
      for (int i = 0; i < 40; ++i) ask();
      EXPECT_EQ(health(), 200);
    }
    FakeServer back(replies(200, "ok"), port);
    EXPECT_TRUE(eventually([&] {
      ask();
      return health() == 200 && status_of(ask()) == 200;
    })) << chosen;
  }
}

TEST(Peers, ASignalBringsWhatItSeesAsALineOfJson) {
  const Fleet fleet(2);
  const auto a = fleet.start(0), b = fleet.start(1);
  EXPECT_TRUE(eventually([&] { return sees(*a, "whole"); }));
  a->signal(SIGUSR1);
  EXPECT_TRUE(eventually([&] { return a->logged("fleet: {") == 1; }));
  const std::string log = a->log();
  for (const char* part : {"\"confidence\":\"whole\"", "\"number\":1,\"state\":\"alive\"",
                           "\"bytes_a_second\":", "\"damaged\":0"})
    EXPECT_NE(log.find(part), std::string::npos) << part;
  a->signal(SIGUSR1);
  EXPECT_TRUE(eventually([&] { return a->logged("fleet: {") == 2; })) << "each time";
}

TEST(Peers, AFloodOnTheirAddressHoldsUpNoRequestAndIsCounted) {
  const Fleet fleet(2);
  FakeServer server(replies(200, "ok"));
  ConfigText config = fleet.config(0);
  config.known = list(7, true, member("s0", server.address()));
  Program node(config.text(), 0, true, kOn);
  const auto other = fleet.start(1);
  EXPECT_TRUE(eventually([&] { return sees(node, "whole"); }));
  std::atomic<bool> over = false;
  std::thread flood([&] {
    asio::io_context io;
    asio::ip::udp::socket socket(io, {asio::ip::address_v4::loopback(), 0});
    membership::Message m;  // well formed, and from nobody's address
    m.kind = membership::Kind::kLeaving;
    m.fleet = membership::fleet_of("thymewood");
    m.from = 1;
    m.incarnation = ~membership::Incarnation{0};
    const membership::Datagram good = membership::encode(m);
    std::vector<std::uint8_t> noise(300, 'x');
    boost::system::error_code ignored;
    for (int i = 0; i < 200000 && !over; ++i) {
      socket.send_to(asio::buffer(good.bytes.data(), good.size), fleet.peer(0), 0, ignored);
      socket.send_to(asio::buffer(noise.data(), i % 300), fleet.peer(0), 0, ignored);
    }
  });
  Wire caller = Wire::to(node.port());
  for (int i = 0; i < 200; ++i) {
    caller.write(Ask{.id = "r" + std::to_string(i)}.text());
    ASSERT_EQ(status_of(caller.read_message()), 200);
  }
  over = true;
  flood.join();
  node.signal(SIGUSR1);
  EXPECT_TRUE(eventually([&] { return node.logged("fleet: {") == 1; }));
  const std::string log = node.log();
  EXPECT_EQ(log.find("\"strangers\":0,"), std::string::npos) << "counted";
  EXPECT_EQ(log.find("\"short\":0,"), std::string::npos);
  EXPECT_EQ(node.logged("fleet: peer 1 alive -> left"), 0) << "and not believed";
}

TEST(Peers, WhatCanNotBeIsSaidAtTheStart) {
  const Fleet fleet(2);
  const auto ends = [](const std::string& config, const std::string& operators) {
    Program program(config, 0, false, operators);
    EXPECT_EQ(program.exit_status(), 2);
    return program.log();
  };
  EXPECT_NE(ends(fleet.config(0).text(), "[fleet]\nenabled = 7\n").find(":2: 'enabled'"), std::string::npos);
  ConfigText config = fleet.config(0);
  config.peers = R"("peer_listen":"127.0.0.1:x","peers":["127.0.0.1:7946"],)";
  EXPECT_NE(ends(config.text(), kOn).find("peer_listen"), std::string::npos);
  config.peers = R"("peer_listen":"127.0.0.1:7946","peers":["127.0.0.1:7946",3],)";
  EXPECT_NE(ends(config.text(), kOn).find("peers"), std::string::npos);
  config = fleet.config(1);
  config.peers = R"("peer_listen":"127.0.0.1:7946","peers":["127.0.0.1:7946"],)";
  EXPECT_NE(ends(config.text(), kOn).find("own position"), std::string::npos);
  const auto taken = fleet.start(0);
  EXPECT_NE(ends(fleet.config(0).text(), kOn).find("peer_listen: "), std::string::npos)
      << "the address is taken";
}

}  // namespace
}  // namespace thymewood::node
