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

class EchoServer {
 public:
  explicit EchoServer(asio::io_context& io) : acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
    accept();
  }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

 private:
  struct Session : std::enable_shared_from_this<Session> {
    explicit Session(tcp::socket from) : socket(std::move(from)) {}
    void echo_next() {
      socket.async_read_some(asio::buffer(&byte, 1),
                             [self = shared_from_this()](error_code error, std::size_t) {
                               if (error) return;
                               asio::write(self->socket, asio::buffer(&self->byte, 1), error);
                               if (!error) self->echo_next();
                             });
    }
    tcp::socket socket;
    char byte = 0;
  };
  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<Session>(std::move(socket))->echo_next();
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

// A listener in a child process, so that its open connections count against a descriptor limit of its own.
// The process is killed when this object is destroyed or its parent process ends.
class ListenerProcess {
 public:
  // `start_listener` starts a listener on the event loop, stores in its second argument a pointer that keeps
  // the listener alive, and returns the listener's endpoint.
  explicit ListenerProcess(
      const std::function<tcp::endpoint(asio::io_context&, std::shared_ptr<void>&)>& start_listener) {
    int pipe_ends[2];
    if (::pipe2(pipe_ends, O_CLOEXEC) != 0)
      throw std::runtime_error("cannot create a pipe to a listener process");
    const pid_t parent = ::getpid();
    process_ = ::fork();
    if (process_ < 0) throw std::runtime_error("cannot fork a listener process");
    if (process_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(1);
      serve(start_listener, pipe_ends[1]);
    }
    ::close(pipe_ends[1]);
    unsigned short port = 0;
    const bool received = ::read(pipe_ends[0], &port, sizeof port) == sizeof port;
    ::close(pipe_ends[0]);
    if (!received) throw std::runtime_error("a listener process does not listen");
    endpoint_ = {asio::ip::address_v4::loopback(), port};
  }
  ~ListenerProcess() {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
  }
  ListenerProcess(const ListenerProcess&) = delete;
  ListenerProcess& operator=(const ListenerProcess&) = delete;
  const tcp::endpoint& endpoint() const { return endpoint_; }

 private:
  [[noreturn]] static void serve(
      const std::function<tcp::endpoint(asio::io_context&, std::shared_ptr<void>&)>& start_listener,
      int port_pipe) {
    try {
      asio::io_context io(1);
      std::shared_ptr<void> owner;
      const unsigned short port = start_listener(io, owner).port();
      if (::write(port_pipe, &port, sizeof port) == sizeof port) io.run();
    } catch (const std::exception& error) {
      std::fprintf(stderr, "relay-cost: %s\n", error.what());
    }
    ::_exit(1);
  }
  pid_t process_ = -1;
  tcp::endpoint endpoint_;
};

void raise_descriptor_limit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace

RelayCost measure_relay_cost(std::size_t connections, int rounds) {
  raise_descriptor_limit();
  const ListenerProcess echo([](asio::io_context& io, std::shared_ptr<void>& owner) {
    const auto server = std::make_shared<EchoServer>(io);
    owner = server;
    return server->endpoint();
  });
  const ListenerProcess relay([&echo](asio::io_context& io, std::shared_ptr<void>& owner) {
    const Actor from{bench::ActorKind::kClients, 0}, to{bench::ActorKind::kNode, 0};
    const auto table = std::make_shared<LinkTable>();
    const auto tcp_relay = std::make_shared<TcpRelay>(
        io, *table, from, to, tcp::endpoint(asio::ip::address_v4::loopback(), 0), echo.endpoint(), 1);
    owner =
        std::make_shared<std::pair<std::shared_ptr<LinkTable>, std::shared_ptr<TcpRelay>>>(table, tcp_relay);
    return tcp_relay->endpoint();
  });
  RelayCost out;
  asio::io_context io(1);
  std::vector<tcp::socket> open_connections;
  for (std::size_t i = 0; i < connections; ++i) {
    open_connections.emplace_back(io);
    open_connections.back().connect(relay.endpoint());
    round_trip(open_connections.back());
  }
  out.open_connections = open_connections.size();
  tcp::socket direct(io), relayed(io);
  direct.connect(echo.endpoint());
  relayed.connect(relay.endpoint());
  direct.set_option(tcp::no_delay(true));
  relayed.set_option(tcp::no_delay(true));
  bench::Histogram direct_times, relayed_times;
  for (int i = 0; i < rounds; ++i) {
    direct_times.add(round_trip(direct));
    relayed_times.add(round_trip(relayed));
  }
  out.direct_p50 = direct_times.quantile(0.5);
  out.direct_p99 = direct_times.quantile(0.99);
  out.relayed_p50 = relayed_times.quantile(0.5);
  out.relayed_p99 = relayed_times.quantile(0.99);
  return out;
}

int print_relay_cost(std::size_t connections) {
  constexpr int kRounds = 20000;
  const RelayCost cost = measure_relay_cost(connections, kRounds);
  constexpr double kMicro = 1e6;
  std::printf("%zu connections held open, %d round trips, alternately direct and relayed\n",
              cost.open_connections, kRounds);
  std::printf("direct  p50 %6.1f us  p99 %6.1f us\n", kMicro * cost.direct_p50, kMicro * cost.direct_p99);
  std::printf("relayed p50 %6.1f us  p99 %6.1f us\n", kMicro * cost.relayed_p50, kMicro * cost.relayed_p99);
  std::printf("a relay adds %.1f us to a round trip at p50\n", kMicro * (cost.relayed_p50 - cost.direct_p50));
  return 0;
}

}  // namespace thymewood::fleet
