// Each link fault alone on real sockets: it has its effect in the given direction and no other effect.
#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <future>
#include <thread>

#include "address_block.h"
#include "link_table.h"
#include "node_harness.h"
#include "relay_cost.h"
#include "tcp_relay.h"
#include "udp_hub.h"

namespace thymewood::fleet {
namespace {

using namespace std::chrono_literals;
using bench::ActorKind;
using node::eventually;
using node::Fd;
using node::RawConnection;
namespace asio = boost::asio;

const Actor kClient{ActorKind::kNode, 0}, kServer{ActorKind::kServer, 0};
constexpr auto kNoDataWait = 150ms;  // how long to wait to show that nothing arrives

// Event loop on its own thread. Relays are only used on that thread; run_in_loop() returns when its function
// has run there.
class EventLoop {
 public:
  EventLoop() : work_(asio::make_work_guard(io)), thread_([this] { io.run(); }) {}
  ~EventLoop() {
    io.stop();
    thread_.join();
  }
  template <class Function>
  void run_in_loop(Function function) {
    std::promise<void> done;
    asio::post(io, [&] {
      function();
      done.set_value();
    });
    done.get_future().get();
  }
  asio::io_context io{1};

 private:
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

bool has_bytes(int fd, std::chrono::milliseconds wait) {
  pollfd poll_request{fd, POLLIN, 0};
  return ::poll(&poll_request, 1, static_cast<int>(wait.count())) > 0;
}

// Reads one byte or more within the test's time limit; returns "" at end of stream, "!" at a reset and
// "nothing" at a timeout.
std::string read_some(RawConnection& connection) {
  if (!has_bytes(connection.fd(), std::chrono::milliseconds(node::kMaxWait))) return "nothing";
  char buffer[65536];
  const ssize_t n = ::recv(connection.fd(), buffer, sizeof buffer, 0);
  return n < 0 ? "!" : std::string(buffer, static_cast<std::size_t>(n));
}

// A relay between a client and a listener of the test.
class TcpLink : public testing::Test {
 protected:
  TcpLink() {
    listen_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in where = node::loopback(0);
    EXPECT_EQ(::bind(listen_.get(), reinterpret_cast<sockaddr*>(&where), sizeof where), 0);
    EXPECT_EQ(::listen(listen_.get(), 128), 0);
    socklen_t size = sizeof where;
    ::getsockname(listen_.get(), reinterpret_cast<sockaddr*>(&where), &size);
    const asio::ip::tcp::endpoint target(asio::ip::address_v4::loopback(), ntohs(where.sin_port));
    loop_.run_in_loop([&] {
      relay_ =
          std::make_unique<TcpRelay>(loop_.io, table_, kClient, kServer,
                                     asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0), target, 1);
    });
  }
  ~TcpLink() override {
    loop_.run_in_loop([&] { relay_.reset(); });
  }
  void set_fault(bool forward, bool backward, const Shape& shape) {
    loop_.run_in_loop([&] {
      if (forward) table_.direction(kClient, kServer).add_fault(1, shape);
      if (backward) table_.direction(kServer, kClient).add_fault(1, shape);
      relay_->on_link_changed();
    });
  }
  void clear_fault() {
    loop_.run_in_loop([&] {
      table_.direction(kClient, kServer).remove_fault(1);
      table_.direction(kServer, kClient).remove_fault(1);
      relay_->on_link_changed();
    });
  }
  RawConnection connect_client() { return RawConnection::connect_to(relay_->endpoint().port()); }
  RawConnection accept() {
    pollfd wait{listen_.get(), POLLIN, 0};
    if (::poll(&wait, 1, static_cast<int>(std::chrono::milliseconds(node::kMaxWait).count())) <= 0)
      return RawConnection(Fd());
    return RawConnection(Fd(::accept4(listen_.get(), nullptr, nullptr, SOCK_CLOEXEC)));
  }
  struct Pair {
    RawConnection client, server;
  };
  Pair connect() {
    RawConnection client = connect_client();
    RawConnection server = accept();
    EXPECT_TRUE(client.is_open() && server.is_open());
    return {std::move(client), std::move(server)};
  }
  // Starts a non-blocking connection attempt; returns whether it is established within `wait`.
  bool connects_within(std::chrono::milliseconds wait) {
    pending_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const sockaddr_in where = node::loopback(relay_->endpoint().port());
    if (::connect(pending_.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0) return true;
    pollfd poll_request{pending_.get(), POLLOUT, 0};
    if (errno != EINPROGRESS || ::poll(&poll_request, 1, static_cast<int>(wait.count())) <= 0) return false;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(pending_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0;
  }

  EventLoop loop_;
  LinkTable table_;
  Fd listen_, pending_;
  std::unique_ptr<TcpRelay> relay_;
};

TEST_F(TcpLink, ForwardsBothWaysWithoutFaults) {
  Pair p = connect();
  p.client.write("there");
  EXPECT_EQ(read_some(p.server), "there");
  p.server.write("back");
  EXPECT_EQ(read_some(p.client), "back");
  EXPECT_EQ(relay_->connections(), 1u);
}

TEST_F(TcpLink, ForwardsMegabytesBothWaysConcurrently) {
  Pair p = connect();
  constexpr std::size_t kTotalBytes = 3'000'000;
  const auto pump = [](RawConnection& connection, char c) {
    return std::thread([&connection, c] { EXPECT_TRUE(connection.write(std::string(kTotalBytes, c))); });
  };
  const auto drain = [](RawConnection& connection, char c) {
    std::size_t received_bytes = 0;
    while (received_bytes < kTotalBytes) {
      const std::string chunk = read_some(connection);
      if (chunk.empty() || chunk == "nothing" || chunk == "!") break;
      EXPECT_EQ(chunk.find_first_not_of(c), std::string::npos);
      received_bytes += chunk.size();
    }
    return received_bytes;
  };
  std::thread client_writer = pump(p.client, 'a'), server_writer = pump(p.server, 'b');
  std::size_t server_received = 0;
  std::thread reader([&] { server_received = drain(p.server, 'a'); });
  const std::size_t client_received = drain(p.client, 'b');
  reader.join();
  client_writer.join();
  server_writer.join();
  EXPECT_EQ(client_received, kTotalBytes);
  EXPECT_EQ(server_received, kTotalBytes);
}

TEST_F(TcpLink, PartitionDelaysBothWaysAndLosesNothingOnceHealed) {
  Pair p = connect();
  set_fault(true, true, {.cut = true});
  p.client.write("there");
  p.server.write("back");
  EXPECT_FALSE(has_bytes(p.server.fd(), kNoDataWait));
  EXPECT_FALSE(has_bytes(p.client.fd(), kNoDataWait));
  clear_fault();
  EXPECT_EQ(read_some(p.server), "there");
  EXPECT_EQ(read_some(p.client), "back");
}

TEST_F(TcpLink, OneWayPartitionLeavesTheOtherWayOpen) {
  Pair p = connect();
  set_fault(true, false, {.cut = true});
  p.client.write("there");
  p.server.write("back");
  EXPECT_EQ(read_some(p.client), "back");
  EXPECT_FALSE(has_bytes(p.server.fd(), kNoDataWait));
  clear_fault();
  EXPECT_EQ(read_some(p.server), "there");
  set_fault(false, true, {.cut = true});
  p.server.write("again");
  p.client.write("forth");
  EXPECT_EQ(read_some(p.server), "forth");
  EXPECT_FALSE(has_bytes(p.client.fd(), kNoDataWait));
}

// A real network drops a SYN or its SYN-ACK, whichever direction is cut.
TEST_F(TcpLink, NoConnectionIsEstablishedThroughAPartition) {
  for (const bool forward : {true, false}) {
    set_fault(forward, !forward, {.cut = true});
    EXPECT_FALSE(connects_within(300ms)) << forward;
    clear_fault();
    // The kernel resends the SYN after one second; a new connection attempt is established at once.
    EXPECT_TRUE(connects_within(5000ms)) << forward;
  }
}

TEST_F(TcpLink, CloseAndResetAreDelayedByAPartition) {
  Pair p = connect();
  Pair q = connect();
  set_fault(true, true, {.cut = true});
  p.client.close();
  q.client.reset();
  EXPECT_FALSE(has_bytes(p.server.fd(), kNoDataWait));
  EXPECT_FALSE(has_bytes(q.server.fd(), kNoDataWait));
  clear_fault();
  EXPECT_EQ(read_some(p.server), "");
  EXPECT_EQ(read_some(q.server), "!");
}

TEST_F(TcpLink, HalfCloseIsForwardedAndTheOtherHalfStaysOpen) {
  Pair p = connect();
  p.client.write("last");
  ::shutdown(p.client.fd(), SHUT_WR);
  EXPECT_EQ(read_some(p.server), "last");
  EXPECT_EQ(read_some(p.server), "");
  p.server.write("still");
  EXPECT_EQ(read_some(p.client), "still");
  p.server.close();
  EXPECT_EQ(read_some(p.client), "");
  EXPECT_TRUE(eventually([&] {
    std::size_t open = 1;
    loop_.run_in_loop([&] { open = relay_->connections(); });
    return open == 0;
  }));
}

TEST_F(TcpLink, ResetIsForwardedInEitherDirection) {
  Pair p = connect();
  p.client.reset();
  EXPECT_EQ(read_some(p.server), "!");
  Pair q = connect();
  q.server.reset();
  EXPECT_EQ(read_some(q.client), "!");
}

// The relay's buffer must not hide a reset: the sender sees it even though the relay has read its bytes.
TEST_F(TcpLink, ResetReachesASenderThatKeepsSending) {
  Pair p = connect();
  set_fault(true, false, {.delay = 0.05});
  p.client.write(std::string(100000, 'x'));
  p.server.reset();
  EXPECT_TRUE(eventually([&] { return !p.client.write("more"); }));
}

TEST_F(TcpLink, ResetClosesOnlyOpenConnections) {
  Pair p = connect();
  p.client.write("x");
  EXPECT_EQ(read_some(p.server), "x");
  loop_.run_in_loop([&] { relay_->reset(); });
  EXPECT_EQ(read_some(p.client), "!");
  EXPECT_EQ(read_some(p.server), "!");
  Pair q = connect();
  q.client.write("y");
  EXPECT_EQ(read_some(q.server), "y");
}

TEST_F(TcpLink, RefusesNewConnectionsAndLeavesOpenOnes) {
  Pair p = connect();
  loop_.run_in_loop([&] { relay_->set_refusing(true); });
  EXPECT_FALSE(connect_client().is_open());
  p.client.write("x");
  EXPECT_EQ(read_some(p.server), "x");
  loop_.run_in_loop([&] { relay_->set_refusing(false); });
  Pair q = connect();
  q.client.write("y");
  EXPECT_EQ(read_some(q.server), "y");
}

TEST_F(TcpLink, PartitionOutlastsARefusal) {
  set_fault(true, true, {.cut = true});
  loop_.run_in_loop([&] { relay_->set_refusing(true); });
  EXPECT_FALSE(connect_client().is_open());
  loop_.run_in_loop([&] { relay_->set_refusing(false); });
  EXPECT_FALSE(connects_within(300ms)) << "listens again, but the link is still cut";
  clear_fault();
  EXPECT_TRUE(connects_within(5000ms));
}

TEST_F(TcpLink, DelayAppliesToOneDirectionOnly) {
  Pair p = connect();
  set_fault(true, false, {.delay = 0.2});
  auto begin = std::chrono::steady_clock::now();
  p.server.write("back");
  EXPECT_EQ(read_some(p.client), "back");
  const auto back = std::chrono::steady_clock::now() - begin;
  begin = std::chrono::steady_clock::now();
  p.client.write("there");
  EXPECT_EQ(read_some(p.server), "there");
  EXPECT_GE(std::chrono::steady_clock::now() - begin, 200ms);
  EXPECT_LT(back, 200ms);
}

TEST_F(TcpLink, RateLimitIsRespected) {
  Pair p = connect();
  set_fault(true, false, {.rate = 50000});
  const auto begin = std::chrono::steady_clock::now();
  p.client.write(std::string(20000, 'x'));
  std::size_t received_bytes = 0;
  while (received_bytes < 20000) received_bytes += read_some(p.server).size();
  EXPECT_GE(std::chrono::steady_clock::now() - begin, 390ms);
}

TEST_F(TcpLink, ReportsItsOriginAndWhenItsLastBytesLeft) {
  Pair p = connect();
  set_fault(true, false, {.delay = 0.2});
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  ::getpeername(p.server.fd(), reinterpret_cast<sockaddr*>(&peer), &size);
  const auto before = std::chrono::steady_clock::now();
  p.client.write("x");
  const auto after = std::chrono::steady_clock::now();
  EXPECT_EQ(read_some(p.server), "x");
  std::optional<TcpRelay::Origin> origin;
  loop_.run_in_loop([&] { origin = relay_->origin(ntohs(peer.sin_port)); });
  ASSERT_TRUE(origin);
  EXPECT_EQ(origin->from, kClient);
  EXPECT_GE(origin->last_read, before);
  EXPECT_LT(origin->last_read, after + 100ms) << "must be the time of sending, not of delivery 0.2 s later";
  loop_.run_in_loop([&] { origin = relay_->origin(1); });
  EXPECT_FALSE(origin);
}

TEST_F(TcpLink, ConnectionEndsWhenTheTargetDoesNotListen) {
  listen_.reset();
  RawConnection client = connect_client();
  EXPECT_EQ(read_some(client), "!");
}

TEST(RelayCost, IsMeasuredWhileConnectionsAreOpen) {
  const RelayCost cost = measure_relay_cost(50, 100);
  EXPECT_EQ(cost.open_connections, 50u);
  EXPECT_GT(cost.direct_p50, 0);
  EXPECT_GT(cost.relayed_p50, 0);
}

// ---------------------------------------------------------------- addresses

TEST(AddressBlock, IsExclusiveWhileReserved) {
  asio::io_context io;
  auto first = std::make_unique<AddressBlock>(io);
  const AddressBlock second(io);
  EXPECT_NE(first->number(), second.number());
  EXPECT_TRUE(first->at(1, 2).is_loopback());
  EXPECT_NE(first->at(1, 2), second.at(1, 2));
  const int number = first->number();
  first.reset();
  const AddressBlock third(io);
  EXPECT_EQ(third.number(), number) << "a released block can be reserved again";
}

// ---------------------------------------------------------------- datagrams

class Datagrams : public testing::Test {
 protected:
  Datagrams() {
    std::vector<UdpHub::Peer> peers;
    for (int i = 0; i < 3; ++i) {
      sockets_[i] = Fd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
      sockaddr_in where = node::loopback(0);
      EXPECT_EQ(::bind(sockets_[i].get(), reinterpret_cast<sockaddr*>(&where), sizeof where), 0);
      socklen_t size = sizeof where;
      ::getsockname(sockets_[i].get(), reinterpret_cast<sockaddr*>(&where), &size);
      const auto local = asio::ip::address_v4::loopback();
      peers.push_back({actor(i), {local, 0}, {local, ntohs(where.sin_port)}});
    }
    loop_.run_in_loop([&] {
      hub_ = std::make_unique<UdpHub>(loop_.io, table_, peers,
                                      UdpHub::Endpoint(asio::ip::address_v4::loopback(), 0), 1);
    });
  }
  ~Datagrams() override {
    loop_.run_in_loop([&] { hub_.reset(); });
  }
  static Actor actor(int i) { return {ActorKind::kNode, i}; }
  void send(int from, const UdpHub::Endpoint& to, const std::string& text) {
    const sockaddr_in where = node::loopback(to.port());
    ::sendto(sockets_[from].get(), text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&where),
             sizeof where);
  }
  // Returns the text and the source port; an empty text if nothing arrives within `wait`.
  std::pair<std::string, int> receive(int at, std::chrono::milliseconds wait = node::kMaxWait) {
    if (!has_bytes(sockets_[at].get(), wait)) return {"", 0};
    char buffer[2048];
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t n =
        ::recvfrom(sockets_[at].get(), buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
    return {std::string(buffer, static_cast<std::size_t>(std::max<ssize_t>(n, 0))), ntohs(from.sin_port)};
  }
  void set_fault(int from, int to, const Shape& shape) {
    loop_.run_in_loop([&] { table_.direction(actor(from), actor(to)).add_fault(1, shape); });
  }

  EventLoop loop_;
  LinkTable table_;
  Fd sockets_[3];
  std::unique_ptr<UdpHub> hub_;
};

TEST_F(Datagrams, HaveTheSendersProxyAddress) {
  send(0, hub_->proxy_endpoint(1), "one");
  EXPECT_EQ(receive(1), std::make_pair(std::string("one"), static_cast<int>(hub_->proxy_endpoint(0).port())));
  send(2, hub_->broadcast_endpoint(), "all");
  EXPECT_EQ(receive(0).first, "all");
  EXPECT_EQ(receive(1), std::make_pair(std::string("all"), static_cast<int>(hub_->proxy_endpoint(2).port())));
  EXPECT_EQ(receive(2, kNoDataWait).first, "") << "a broadcast must not return to its sender";
}

TEST_F(Datagrams, FromAnUnknownSenderAreDropped) {
  const Fd unknown_sender(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  const sockaddr_in where = node::loopback(hub_->proxy_endpoint(1).port());
  ::sendto(unknown_sender.get(), "x", 1, 0, reinterpret_cast<const sockaddr*>(&where), sizeof where);
  send(0, hub_->proxy_endpoint(1), "one");
  EXPECT_EQ(receive(1).first, "one");
  EXPECT_EQ(receive(1, kNoDataWait).first, "");
  EXPECT_EQ(hub_->counts().unknown_sender, 1u);
}

TEST_F(Datagrams, ArePartitionedPerPairAndDirection) {
  set_fault(0, 1, {.cut = true});
  send(0, hub_->proxy_endpoint(1), "lost");
  send(1, hub_->proxy_endpoint(0), "back");
  send(0, hub_->proxy_endpoint(2), "other");
  EXPECT_EQ(receive(0).first, "back");
  EXPECT_EQ(receive(2).first, "other");
  EXPECT_EQ(receive(1, kNoDataWait).first, "");
}

TEST_F(Datagrams, AreDelayedDuplicatedAndReordered) {
  set_fault(0, 1, {.delay = 0.2});
  const auto begin = std::chrono::steady_clock::now();
  send(0, hub_->proxy_endpoint(1), "slow");
  EXPECT_EQ(receive(1).first, "slow");
  EXPECT_GE(std::chrono::steady_clock::now() - begin, 200ms);
  set_fault(0, 1, {.duplicate = 1});
  send(0, hub_->proxy_endpoint(1), "twice");
  EXPECT_EQ(receive(1).first, "twice");
  EXPECT_EQ(receive(1).first, "twice");
  set_fault(0, 1, {.delay = 0.05, .reorder = 1});
  send(0, hub_->proxy_endpoint(1), "first");
  EXPECT_TRUE(eventually([&] { return hub_->counts().received == 3; }));
  set_fault(0, 1, {});
  send(0, hub_->proxy_endpoint(1), "second");
  EXPECT_EQ(receive(1).first, "second");
  EXPECT_EQ(receive(1).first, "first");
}

}  // namespace
}  // namespace thymewood::fleet
