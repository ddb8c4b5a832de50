// thymewood: a load-balancer node. Environment, signals, wiring and exit status; the work is elsewhere.
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include "budget.h"
#include "config.h"
#include "discovery.h"
#include "dispatcher.h"
#include "event_log.h"
#include "frontend.h"
#include "operators_file.h"
#include "peers.h"
#include "settings_reader.h"
#include "upstream.h"

namespace {

namespace asio = boost::asio;
namespace node = thymewood::node;

constexpr int kBadConfiguration = 2;
// Messages may fill this part of the memory: the rest is for the program, what a connection takes by itself
// and what the allocator does not give back.
constexpr std::size_t kMessagePart = 3;

std::string text_of(const asio::ip::tcp::endpoint& endpoint) {
  std::ostringstream out;
  out << endpoint;
  return out.str();
}

// How the descriptors are shared out. Danger: a request that was accepted and has no descriptor left for its
// attempt can only be refused.
struct Shares {
  explicit Shares(std::size_t sockets) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
      sockets = std::min<std::size_t>(sockets, limit.rlim_cur);
    }
    constexpr std::size_t kReserve = 24;  // the loop's own, discovery, the log, the listener and a spare
    const std::size_t free = sockets > 2 * kReserve ? sockets - kReserve : kReserve;
    clients = free / 2;
    overflow = free / 8;
    upstream = free - clients - overflow;
  }
  std::size_t clients = 0, overflow = 0, upstream = 0;
};

// Guards against an exception that gets past a handler: it costs what that one was about, not the node. Each
// request has a timer of its own that answers it in time; `recover` takes up what goes on for good.
void run_to_end(asio::io_context& io, const std::function<void()>& recover) {
  constexpr auto kPause = std::chrono::milliseconds(10);
  for (bool failed = false;;) {
    try {
      if (std::exchange(failed, false)) recover();
      io.run();
      return;
    } catch (const std::exception& problem) {
      failed = true;
      node::log_warning("handler_failed").with("problem", problem.what());
      std::this_thread::sleep_for(kPause);  // memory that is short may be short for a while
    }
  }
}

// At each SIGHUP: the file is read again, and discovery followed to where it says. All else stays as it is.
void reload_on(asio::signal_set& hangups, const char* path, const node::Clock& clock,
               node::Discovery& discovery) {
  hangups.async_wait([&hangups, path, &clock, &discovery](boost::system::error_code bad, int) {
    if (bad) return;
    try {
      const node::Config config = node::read_config(path, clock);
      discovery.move_to(config.discovery);
      node::log_info("reload").with("discovery", text_of(config.discovery));
    } catch (const std::exception& problem) {
      // All stays as it was.
      node::log_warning("reload_failed").with("problem", problem.what());
    }
    reload_on(hangups, path, clock, discovery);
  });
}

// Off unless the platform permits talk between nodes and the operators' file says so.
std::unique_ptr<node::Peers> make_peers(asio::io_context& io, const node::Clock& clock,
                                        const node::Config& config,
                                        const thymewood::operators::ReplicaSetOptions& options,
                                        node::Dispatcher& to) {
  if (!options.enabled || !config.peers) return nullptr;
  namespace ms = thymewood::membership;
  ms::LocalNode local;
  local.id = static_cast<ms::NodeId>(config.settings.replica_index);
  local.peer_count = static_cast<std::uint16_t>(config.peers->peers.size());
  local.zone = static_cast<std::uint8_t>(config.settings.zone);
  local.start_ms = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                  std::chrono::system_clock::now().time_since_epoch())
                                                  .count());
  local.replica_set_id = ms::replica_set_id_of(options.name);
  if (options.rejects_when_isolated) to.refuse_when_cut_off({});
  return std::make_unique<node::Peers>(io, clock, *config.peers, local, options.detector, options.view,
                                       config.seed,
                                       [&to](const ms::ReplicaSetView& view) { to.fleet(view); });
}

// At each SIGUSR1, one line of the log.
void report_on(asio::signal_set& asked, const node::Peers& peers) {
  asked.async_wait([&asked, &peers](boost::system::error_code bad, int) {
    if (bad) return;
    std::clog << "fleet: " << peers.report() << '\n';
    report_on(asked, peers);
  });
}

int run(const char* path) {
  // Danger: a signal that comes before these stand would end the process. What comes between here and the
  // first wait is kept for it.
  node::Budget budget;  // outlives what is left in the event loop at the end
  asio::io_context io(1);
  asio::signal_set hangups(io, SIGHUP), signals(io, SIGTERM, SIGINT);
  const node::Clock clock;
  node::Config config;
  thymewood::operators::OperatorsFile operators;
  try {
    config = node::read_config(path, clock);
    if (const char* file = std::getenv("THYMEWOOD_OPERATORS"); file != nullptr && *file != '\0')
      operators = thymewood::operators::read_operators_file(file);
  } catch (const std::exception& problem) {
    std::cerr << "thymewood: " << problem.what() << '\n';
    return kBadConfiguration;
  }
  const Shares shares(config.sockets);
  const thymewood::Settings& settings = config.settings;
  budget.limit(config.memory / kMessagePart);
  node::Upstream upstream(io, {config.dial_timeout, config.idle_close, shares.upstream}, budget);
  node::Dispatcher* to = nullptr;
  node::Discovery discovery(
      io, config.discovery, config.directory, clock, config.starts,
      {[&to](const node::Membership& update) { to->members(update); }, [&to] { to->list_current(); },
       [&to](double as_of) { to->list_stale(as_of); }, [&to] { to->discovery_moved(); },
       [&to](const thymewood::WatchFailure& failure) { to->watch_failed(failure); }});
  // Where lists are pushed the whole one costs nothing, and is there whether or not anything has changed.
  if (settings.uses_watch && !config.known.members.empty()) discovery.set_index(config.known.index);
  try {
    thymewood::json::validate_settings(settings);
    node::Dispatcher dispatcher(io, clock, settings, config.seed, config.max_open, upstream,
                                {[&discovery] { discovery.watch(); }, [&discovery] { discovery.refresh(); }});
    to = &dispatcher;
    node::Frontend frontend(io, clock, {shares.clients, shares.overflow, settings.max_retry_after / 2},
                            {config.class_names, config.tenant_names, settings.classes}, budget, dispatcher);
    try {
      frontend.listen(config.listen);
    } catch (const boost::system::system_error& problem) {
      std::cerr << "thymewood: listen: " << problem.code().message() << '\n';
      return kBadConfiguration;
    }
    if (!config.known.complaint.empty())
      node::log_warning("list_unreadable").with("problem", "known: " + config.known.complaint);
    dispatcher.start(config.known);
    frontend.start();
    std::unique_ptr<node::Peers> peers;
    asio::signal_set asked(io);
    try {
      peers = make_peers(io, clock, config, operators.replica_set, dispatcher);
    } catch (const boost::system::system_error& problem) {
      std::cerr << "thymewood: peer_listen: " << problem.code().message() << '\n';
      return kBadConfiguration;
    }
    if (peers) {
      asked.add(SIGUSR1);
      report_on(asked, *peers);
      peers->start();
    }
    node::log_info("listening").with("node", config.name).with("address", text_of(frontend.local()));
    reload_on(hangups, path, clock, discovery);
    signals.async_wait([&](boost::system::error_code bad, int) {
      // It says that it ends when it has ended: until then it sends, and has to be reckoned with.
      if (bad) return;
      node::log_info("drain_started");
      frontend.drain([&io, &peers] {
        if (peers) peers->leave();
        node::log_info("drain_ended");
        io.stop();
      });
    });
    run_to_end(io, [&] {
      frontend.recover();
      discovery.recover();
    });
  } catch (const std::invalid_argument& problem) {
    std::cerr << "thymewood: " << problem.what() << '\n';
    return kBadConfiguration;
  }
  return EXIT_SUCCESS;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a log that may not grow costs its lines, not the node
  try {
    node::configure_log_from_environment();
    const char* path = std::getenv("RELAY_CONFIG");
    if (path == nullptr || *path == '\0') {
      std::cerr << "thymewood: RELAY_CONFIG is not set\n";
      return kBadConfiguration;
    }
    return run(path);
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "thymewood: %s\n", problem.what());
  } catch (...) {
    std::fputs("thymewood: an unknown fault\n", stderr);
  }
  return EXIT_FAILURE;
}
