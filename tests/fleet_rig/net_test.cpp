// Each fault of a link on real sockets, alone: that it does what it says, in the direction it says, and
// nothing else.
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

const Actor kNear{ActorKind::kNode, 0}, kFar{ActorKind::kServer, 0};
constexpr auto kAWhile = 150ms;  // for what must not come

// An event loop in a thread of its own; what is done to relays is done there, and is done when in() returns.
class Loop {
 public:
  Loop() : work_(asio::make_work_guard(io)), thread_([this] { io.run(); }) {}
  ~Loop() {
    io.stop();
    thread_.join();
  }
  template <class Do>
  void in(Do what) {
    std::promise<void> done;
    asio::post(io, [&] {
      what();
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
  pollfd look{fd, POLLIN, 0};
  return ::poll(&look, 1, static_cast<int>(wait.count())) > 0;
}

// One byte or more within the patience of a test; empty at an end, "!" at a reset.
std::string read_some(RawConnection& connection) {
  if (!has_bytes(connection.fd(), std::chrono::milliseconds(node::kMaxWait))) return "nothing";
  char buffer[65536];
  const ssize_t n = ::recv(connection.fd(), buffer, sizeof buffer, 0);
  return n < 0 ? "!" : std::string(buffer, static_cast<std::size_t>(n));
}

// A relay between a client and a listener of the test's own.
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
    loop_.in([&] {
      relay_ =
          std::make_unique<TcpRelay>(loop_.io, table_, kNear, kFar,
                                     asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0), target, 1);
    });
  }
  ~TcpLink() override {
    loop_.in([&] { relay_.reset(); });
  }
  void lay(bool forth, bool back, const Shape& shape) {
    loop_.in([&] {
      if (forth) table_.way(kNear, kFar).lay(1, shape);
      if (back) table_.way(kFar, kNear).lay(1, shape);
      relay_->changed();
    });
  }
  void lift() {
    loop_.in([&] {
      table_.way(kNear, kFar).lift(1);
      table_.way(kFar, kNear).lift(1);
      relay_->changed();
    });
  }
  RawConnection connect_client() { return RawConnection::connect_to(relay_->where().port()); }
  RawConnection accept() {
    pollfd wait{listen_.get(), POLLIN, 0};
    if (::poll(&wait, 1, static_cast<int>(std::chrono::milliseconds(node::kMaxWait).count())) <= 0)
      return RawConnection(Fd());
    return RawConnection(Fd(::accept4(listen_.get(), nullptr, nullptr, SOCK_CLOEXEC)));
  }
  struct Pair {
    RawConnection near, far;
  };
  Pair connect() {
    RawConnection near = connect_client();
    RawConnection far = accept();
    EXPECT_TRUE(near.is_open() && far.is_open());
    return {std::move(near), std::move(far)};
  }
  // A connection attempt that does not wait: whether it comes up within a while.
  bool comes_up(std::chrono::milliseconds wait) {
    pending_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const sockaddr_in where = node::loopback(relay_->where().port());
    if (::connect(pending_.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0) return true;
    pollfd look{pending_.get(), POLLOUT, 0};
    if (errno != EINPROGRESS || ::poll(&look, 1, static_cast<int>(wait.count())) <= 0) return false;
    int problem = 0;
    socklen_t size = sizeof problem;
    ::getsockopt(pending_.get(), SOL_SOCKET, SO_ERROR, &problem, &size);
    return problem == 0;
  }

  Loop loop_;
  LinkTable table_;
  Fd listen_, pending_;
  std::unique_ptr<TcpRelay> relay_;
};

TEST_F(TcpLink, ForwardsBothWaysWithoutFaults) {
  Pair p = connect();
  p.near.write("there");
  EXPECT_EQ(read_some(p.far), "there");
  p.far.write("back");
  EXPECT_EQ(read_some(p.near), "back");
  EXPECT_EQ(relay_->connections(), 1u);
}

TEST_F(TcpLink, ForwardsMegabytesBothWaysConcurrently) {
  Pair p = connect();
  constexpr std::size_t kAll = 3'000'000;
  const auto pump = [](RawConnection& connection, char c) {
    return std::thread([&connection, c] { EXPECT_TRUE(connection.write(std::string(kAll, c))); });
  };
  const auto drain = [](RawConnection& connection, char c) {
    std::size_t got = 0;
    while (got < kAll) {
      const std::string piece = read_some(connection);
      if (piece.empty() || piece == "nothing" || piece == "!") break;
      EXPECT_EQ(piece.find_first_not_of(c), std::string::npos);
      got += piece.size();
    }
    return got;
  };
  std::thread there = pump(p.near, 'a'), back = pump(p.far, 'b');
  std::size_t at_far = 0;
  std::thread reader([&] { at_far = drain(p.far, 'a'); });
  const std::size_t at_near = drain(p.near, 'b');
  reader.join();
  there.join();
  back.join();
  EXPECT_EQ(at_near, kAll);
  EXPECT_EQ(at_far, kAll);
}

TEST_F(TcpLink, PartitionDelaysBothWaysAndLosesNothingOnceHealed) {
  Pair p = connect();
  lay(true, true, {.cut = true});
  p.near.write("there");
  p.far.write("back");
  EXPECT_FALSE(has_bytes(p.far.fd(), kAWhile));
  EXPECT_FALSE(has_bytes(p.near.fd(), kAWhile));
  lift();
  EXPECT_EQ(read_some(p.far), "there");
  EXPECT_EQ(read_some(p.near), "back");
}

TEST_F(TcpLink, OneWayPartitionLeavesTheOtherWayOpen) {
  Pair p = connect();
  lay(true, false, {.cut = true});
  p.near.write("there");
  p.far.write("back");
  EXPECT_EQ(read_some(p.near), "back");
  EXPECT_FALSE(has_bytes(p.far.fd(), kAWhile));
  lift();
  EXPECT_EQ(read_some(p.far), "there");
  lay(false, true, {.cut = true});
  p.far.write("again");
  p.near.write("forth");
  EXPECT_EQ(read_some(p.far), "forth");
  EXPECT_FALSE(has_bytes(p.near.fd(), kAWhile));
}

// A real network drops what opens a connection, whichever way is cut.
TEST_F(TcpLink, NoConnectionIsEstablishedThroughAPartition) {
  for (const bool forth : {true, false}) {
    lay(forth, !forth, {.cut = true});
    EXPECT_FALSE(comes_up(300ms)) << forth;
    lift();
    // The kernel attempts again after a second; and who connection attempt now comes up at once.
    EXPECT_TRUE(comes_up(5000ms)) << forth;
  }
}

TEST_F(TcpLink, CloseAndResetAreDelayedByAPartition) {
  Pair p = connect();
  Pair q = connect();
  lay(true, true, {.cut = true});
  p.near.close();
  q.near.reset();
  EXPECT_FALSE(has_bytes(p.far.fd(), kAWhile));
  EXPECT_FALSE(has_bytes(q.far.fd(), kAWhile));
  lift();
  EXPECT_EQ(read_some(p.far), "");
  EXPECT_EQ(read_some(q.far), "!");
}

TEST_F(TcpLink, HalfCloseIsForwardedAndTheOtherHalfStaysOpen) {
  Pair p = connect();
  p.near.write("last");
  ::shutdown(p.near.fd(), SHUT_WR);
  EXPECT_EQ(read_some(p.far), "last");
  EXPECT_EQ(read_some(p.far), "");
  p.far.write("still");
  EXPECT_EQ(read_some(p.near), "still");
  p.far.close();
  EXPECT_EQ(read_some(p.near), "");
  EXPECT_TRUE(eventually([&] {
    std::size_t open = 1;
    loop_.in([&] { open = relay_->connections(); });
    return open == 0;
  }));
}

TEST_F(TcpLink, ResetIsForwardedInEitherDirection) {
  Pair p = connect();
  p.near.reset();
  EXPECT_EQ(read_some(p.far), "!");
  Pair q = connect();
  q.far.reset();
  EXPECT_EQ(read_some(q.near), "!");
}

// A relay buffer must not hide a reset: the sender gets it although its bytes were read.
TEST_F(TcpLink, ResetReachesASenderThatKeepsSending) {
  Pair p = connect();
  lay(true, false, {.delay = 0.05});
  p.near.write(std::string(100000, 'x'));
  p.far.reset();
  EXPECT_TRUE(eventually([&] { return !p.near.write("more"); }));
}

TEST_F(TcpLink, ResetClosesOnlyOpenConnections) {
  Pair p = connect();
  p.near.write("x");
  EXPECT_EQ(read_some(p.far), "x");
  loop_.in([&] { relay_->reset(); });
  EXPECT_EQ(read_some(p.near), "!");
  EXPECT_EQ(read_some(p.far), "!");
  Pair q = connect();
  q.near.write("y");
  EXPECT_EQ(read_some(q.far), "y");
}

TEST_F(TcpLink, RefusesNewConnectionsAndLeavesOpenOnes) {
  Pair p = connect();
  loop_.in([&] { relay_->refuse(true); });
  EXPECT_FALSE(connect_client().is_open());
  p.near.write("x");
  EXPECT_EQ(read_some(p.far), "x");
  loop_.in([&] { relay_->refuse(false); });
  Pair q = connect();
  q.near.write("y");
  EXPECT_EQ(read_some(q.far), "y");
}

TEST_F(TcpLink, PartitionOutlastsARefusal) {
  lay(true, true, {.cut = true});
  loop_.in([&] { relay_->refuse(true); });
  EXPECT_FALSE(connect_client().is_open());
  loop_.in([&] { relay_->refuse(false); });
  EXPECT_FALSE(comes_up(300ms)) << "it listens again, and is still cut off";
  lift();
  EXPECT_TRUE(comes_up(5000ms));
}

TEST_F(TcpLink, DelayAppliesToOneDirectionOnly) {
  Pair p = connect();
  lay(true, false, {.delay = 0.2});
  auto begin = std::chrono::steady_clock::now();
  p.far.write("back");
  EXPECT_EQ(read_some(p.near), "back");
  const auto back = std::chrono::steady_clock::now() - begin;
  begin = std::chrono::steady_clock::now();
  p.near.write("there");
  EXPECT_EQ(read_some(p.far), "there");
  EXPECT_GE(std::chrono::steady_clock::now() - begin, 200ms);
  EXPECT_LT(back, 200ms);
}

TEST_F(TcpLink, RateLimitIsRespected) {
  Pair p = connect();
  lay(true, false, {.rate = 50000});
  const auto begin = std::chrono::steady_clock::now();
  p.near.write(std::string(20000, 'x'));
  std::size_t got = 0;
  while (got < 20000) got += read_some(p.far).size();
  EXPECT_GE(std::chrono::steady_clock::now() - begin, 390ms);
}

TEST_F(TcpLink, ReportsItsOriginAndWhenItsLastBytesLeft) {
  Pair p = connect();
  lay(true, false, {.delay = 0.2});
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  ::getpeername(p.far.fd(), reinterpret_cast<sockaddr*>(&peer), &size);
  const auto before = std::chrono::steady_clock::now();
  p.near.write("x");
  const auto after = std::chrono::steady_clock::now();
  EXPECT_EQ(read_some(p.far), "x");
  std::optional<TcpRelay::Origin> origin;
  loop_.in([&] { origin = relay_->origin(ntohs(peer.sin_port)); });
  ASSERT_TRUE(origin);
  EXPECT_EQ(origin->from, kNear);
  EXPECT_GE(origin->last_read, before);
  EXPECT_LT(origin->last_read, after + 100ms) << "not when they were delivered, 0.2 s later";
  loop_.in([&] { origin = relay_->origin(1); });
  EXPECT_FALSE(origin);
}

TEST_F(TcpLink, ConnectionEndsWhenTheTargetDoesNotListen) {
  listen_.reset();
  RawConnection near = connect_client();
  EXPECT_EQ(read_some(near), "!");
}

TEST(RelayCost, IsMeasuredWhileConnectionsAreOpen) {
  const RelayCost cost = measure_relay_cost(50, 100);
  EXPECT_EQ(cost.held, 50u);
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
  EXPECT_EQ(third.number(), number) << "what was given back can be had again";
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
    loop_.in([&] {
      hub_ = std::make_unique<UdpHub>(loop_.io, table_, peers,
                                      UdpHub::Endpoint(asio::ip::address_v4::loopback(), 0), 1);
    });
  }
  ~Datagrams() override {
    loop_.in([&] { hub_.reset(); });
  }
  static Actor actor(int i) { return {ActorKind::kNode, i}; }
  void send(int from, const UdpHub::Endpoint& to, const std::string& text) {
    const sockaddr_in where = node::loopback(to.port());
    ::sendto(sockets_[from].get(), text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&where),
             sizeof where);
  }
  // The text and the port that it came from; an empty text where nothing comes.
  std::pair<std::string, int> receive(int at, std::chrono::milliseconds wait = node::kMaxWait) {
    if (!has_bytes(sockets_[at].get(), wait)) return {"", 0};
    char buffer[2048];
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t n =
        ::recvfrom(sockets_[at].get(), buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
    return {std::string(buffer, static_cast<std::size_t>(std::max<ssize_t>(n, 0))), ntohs(from.sin_port)};
  }
  void lay(int from, int to, const Shape& shape) {
    loop_.in([&] { table_.way(actor(from), actor(to)).lay(1, shape); });
  }

  Loop loop_;
  LinkTable table_;
  Fd sockets_[3];
  std::unique_ptr<UdpHub> hub_;
};

TEST_F(Datagrams, HaveTheSendersProxyAddress) {
  send(0, hub_->face(1), "one");
  EXPECT_EQ(receive(1), std::make_pair(std::string("one"), static_cast<int>(hub_->face(0).port())));
  send(2, hub_->all(), "all");
  EXPECT_EQ(receive(0).first, "all");
  EXPECT_EQ(receive(1), std::make_pair(std::string("all"), static_cast<int>(hub_->face(2).port())));
  EXPECT_EQ(receive(2, kAWhile).first, "") << "not to oneself";
}

TEST_F(Datagrams, FromAnUnknownSenderAreDropped) {
  const Fd stranger(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  const sockaddr_in where = node::loopback(hub_->face(1).port());
  ::sendto(stranger.get(), "x", 1, 0, reinterpret_cast<const sockaddr*>(&where), sizeof where);
  send(0, hub_->face(1), "one");
  EXPECT_EQ(receive(1).first, "one");
  EXPECT_EQ(receive(1, kAWhile).first, "");
  EXPECT_EQ(hub_->counts().strange, 1u);
}

TEST_F(Datagrams, ArePartitionedPerPairAndDirection) {
  lay(0, 1, {.cut = true});
  send(0, hub_->face(1), "lost");
  send(1, hub_->face(0), "back");
  send(0, hub_->face(2), "other");
  EXPECT_EQ(receive(0).first, "back");
  EXPECT_EQ(receive(2).first, "other");
  EXPECT_EQ(receive(1, kAWhile).first, "");
}

TEST_F(Datagrams, AreDelayedDuplicatedAndReordered) {
  lay(0, 1, {.delay = 0.2});
  const auto begin = std::chrono::steady_clock::now();
  send(0, hub_->face(1), "slow");
  EXPECT_EQ(receive(1).first, "slow");
  EXPECT_GE(std::chrono::steady_clock::now() - begin, 200ms);
  lay(0, 1, {.duplicate = 1});
  send(0, hub_->face(1), "twice");
  EXPECT_EQ(receive(1).first, "twice");
  EXPECT_EQ(receive(1).first, "twice");
  lay(0, 1, {.delay = 0.05, .reorder = 1});
  send(0, hub_->face(1), "first");
  EXPECT_TRUE(eventually([&] { return hub_->counts().came == 3; }));
  lay(0, 1, {});
  send(0, hub_->face(1), "second");
  EXPECT_EQ(receive(1).first, "second");
  EXPECT_EQ(receive(1).first, "first");
}

}  // namespace
}  // namespace thymewood::fleet
