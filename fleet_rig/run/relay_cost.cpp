#include "relay_cost.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <stdexcept>
#include <utility>
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

// A process of its own for one side: what it holds open counts against its own limit of descriptors. It ends
// with this object, or with its parent.
class Side {
 public:
  // `make` begins to listen on the loop, and returns where.
  explicit Side(const std::function<tcp::endpoint(asio::io_context&, std::shared_ptr<void>&)>& make) {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe to a process of the relay's cost");
    const pid_t parent = ::getpid();
    process_ = ::fork();
    if (process_ < 0) throw std::runtime_error("no process for the relay's cost");
    if (process_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(1);
      serve(make, ends[1]);
    }
    ::close(ends[1]);
    unsigned short port = 0;
    const bool said = ::read(ends[0], &port, sizeof port) == sizeof port;
    ::close(ends[0]);
    if (!said) throw std::runtime_error("a process of the relay's cost does not listen");
    where_ = {asio::ip::address_v4::loopback(), port};
  }
  ~Side() {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
  }
  Side(const Side&) = delete;
  Side& operator=(const Side&) = delete;
  const tcp::endpoint& where() const { return where_; }

 private:
  [[noreturn]] static void serve(
      const std::function<tcp::endpoint(asio::io_context&, std::shared_ptr<void>&)>& make, int to) {
    try {
      asio::io_context io(1);
      std::shared_ptr<void> held;
      const unsigned short port = make(io, held).port();
      if (::write(to, &port, sizeof port) == sizeof port) io.run();
    } catch (const std::exception& problem) {
      std::fprintf(stderr, "relay-cost: %s\n", problem.what());
    }
    ::_exit(1);
  }
  pid_t process_ = -1;
  tcp::endpoint where_;
};

void raise_descriptors() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace

RelayCost measure_relay_cost(std::size_t connections, int rounds) {
  raise_descriptors();
  const Side echo([](asio::io_context& io, std::shared_ptr<void>& held) {
    const auto made = std::make_shared<Echo>(io);
    held = made;
    return made->where();
  });
  const Side relay([&echo](asio::io_context& io, std::shared_ptr<void>& held) {
    const Actor from{bench::ActorKind::kClients, 0}, to{bench::ActorKind::kNode, 0};
    const auto table = std::make_shared<LinkTable>();
    const auto made = std::make_shared<TcpRelay>(
        io, *table, from, to, tcp::endpoint(asio::ip::address_v4::loopback(), 0), echo.where(), 1);
    held = std::make_shared<std::pair<std::shared_ptr<LinkTable>, std::shared_ptr<TcpRelay>>>(table, made);
    return made->where();
  });
  RelayCost out;
  asio::io_context own(1);
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
