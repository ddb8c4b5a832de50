#include "relay_cost.h"

#include <sys/resource.h>

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <thread>
#include <vector>

#include "histogram.h"
#include "link_table.h"
#include "tcp_relay.h"

namespace thymewood::fleet {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Sends back each byte that comes.
class Echo {
 public:
  explicit Echo(asio::io_context& io) : acceptor_(io, {asio::ip::address_v4::loopback(), 0}) { accept(); }
  tcp::endpoint where() const { return acceptor_.local_endpoint(); }

 private:
  struct Session : std::enable_shared_from_this<Session> {
    explicit Session(tcp::socket from) : socket(std::move(from)) {}
    void go() {
      socket.async_read_some(asio::buffer(&byte, 1),
                             [self = shared_from_this()](error_code bad, std::size_t) {
                               if (bad) return;
                               asio::write(self->socket, asio::buffer(&self->byte, 1), bad);
                               if (!bad) self->go();
                             });
    }
    tcp::socket socket;
    char byte = 0;
  };
  void accept() {
    acceptor_.async_accept([this](error_code bad, tcp::socket socket) {
      if (bad) return;
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<Session>(std::move(socket))->go();
      accept();
    });
  }
  tcp::acceptor acceptor_;
};

double round_trip(tcp::socket& socket) {
  char byte = 'x';
  const auto begin = std::chrono::steady_clock::now();
  asio::write(socket, asio::buffer(&byte, 1));
  asio::read(socket, asio::buffer(&byte, 1));
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

}  // namespace

RelayCost measure_relay_cost(std::size_t connections, int rounds) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  asio::io_context echo_io(1), relay_io(1), own(1);
  Echo echo(echo_io);
  LinkTable table;
  const Party from{bench::PartyKind::kCallers, 0}, to{bench::PartyKind::kNode, 0};
  TcpRelay relay(relay_io, table, from, to, {asio::ip::address_v4::loopback(), 0}, echo.where(), 1);
  auto echo_work = asio::make_work_guard(echo_io);
  auto relay_work = asio::make_work_guard(relay_io);
  // Joined whatever happens here: with too few descriptors a connection fails.
  struct Running {
    explicit Running(asio::io_context& turned) : io(turned), thread([&turned] { turned.run(); }) {}
    ~Running() {
      io.stop();
      thread.join();
    }
    asio::io_context& io;
    std::thread thread;
  };
  Running echoing(echo_io), relaying(relay_io);
  RelayCost out;
  {
    std::vector<tcp::socket> held;
    for (std::size_t i = 0; i < connections; ++i) {
      held.emplace_back(own);
      held.back().connect(relay.where());
      round_trip(held.back());
    }
    out.held = held.size();
    tcp::socket direct(own), relayed(own);
    direct.connect(echo.where());
    relayed.connect(relay.where());
    direct.set_option(tcp::no_delay(true));
    relayed.set_option(tcp::no_delay(true));
    bench::Histogram straight, around;
    for (int i = 0; i < rounds; ++i) {
      straight.add(round_trip(direct));
      around.add(round_trip(relayed));
    }
    out.direct_p50 = straight.quantile(0.5);
    out.direct_p99 = straight.quantile(0.99);
    out.relayed_p50 = around.quantile(0.5);
    out.relayed_p99 = around.quantile(0.99);
  }
  return out;
}

int print_relay_cost(std::size_t connections) {
  constexpr int kRounds = 20000;
  const RelayCost cost = measure_relay_cost(connections, kRounds);
  constexpr double kMicro = 1e6;
  std::printf("%zu connections held open, %d round trips each way in turn\n", cost.held, kRounds);
  std::printf("direct  p50 %6.1f us  p99 %6.1f us\n", kMicro * cost.direct_p50, kMicro * cost.direct_p99);
  std::printf("relayed p50 %6.1f us  p99 %6.1f us\n", kMicro * cost.relayed_p50, kMicro * cost.relayed_p99);
  std::printf("a relay adds %.1f us to a round trip at p50\n", kMicro * (cost.relayed_p50 - cost.direct_p50));
  return 0;
}

}  // namespace thymewood::fleet
