// Entry point of thymewood, a load-balancer node: handles the environment, signals and the exit status.
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <utility>

#include "config.h"
#include "event_log.h"
#include "event_loop.h"
#include "load_balancer_node.h"
#include "memory_budget.h"
#include "operators_file.h"
#include "process_limits.h"
#include "settings_reader.h"

namespace {

namespace asio = boost::asio;
namespace node = thymewood::node;

constexpr int kExitBadConfiguration = 2;

int report_startup_error(const std::exception& error) {
  std::cerr << "thymewood: " << error.what() << '\n';
  return kExitBadConfiguration;
}

thymewood::operators::OperatorConfig read_operators_file_from_environment() {
  const char* const path = std::getenv("THYMEWOOD_OPERATORS");
  if (path == nullptr || *path == '\0') return {};
  return thymewood::operators::load_operator_config(path);
}

int run(const char* config_path) {
  node::MemoryBudget message_budget;  // must outlive the handlers left in the event loop at exit
  asio::io_context io(1);
  // The sets keep signals that arrive before the first wait; without them these signals would terminate the
  // process.
  asio::signal_set reload_signals(io, SIGHUP), stop_signals(io, SIGTERM, SIGINT);
  const node::Clock clock;
  node::Config config;
  thymewood::operators::OperatorConfig operators;
  try {
    config = node::read_config(config_path, clock);
    operators = read_operators_file_from_environment();
  } catch (const std::exception& error) {
    return report_startup_error(error);
  }
  message_budget.set_limit(node::message_memory_limit(config.memory_bytes));
  try {
    thymewood::json::validate_settings(config.settings);
    node::LoadBalancerNode balancer(io, clock, std::move(config), std::move(operators.replica_set),
                                    message_budget);
    balancer.start();
    node::on_each_signal(reload_signals, [&] { balancer.reload(config_path); });
    stop_signals.async_wait([&](boost::system::error_code cancelled, int) {
      if (!cancelled) balancer.shut_down();
    });
    node::run_until_stopped(io, [&] { balancer.recover(); });
  } catch (const node::StartupError& error) {
    return report_startup_error(error);
  } catch (const std::invalid_argument& error) {
    return report_startup_error(error);
  }
  return EXIT_SUCCESS;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a log at its size limit loses lines without terminating the process
  try {
    node::configure_log_from_environment();
    const char* const config_path = std::getenv("RELAY_CONFIG");
    if (config_path == nullptr || *config_path == '\0') {
      std::cerr << "thymewood: RELAY_CONFIG is not set\n";
      return kExitBadConfiguration;
    }
    return run(config_path);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "thymewood: %s\n", error.what());
  } catch (...) {
    std::fputs("thymewood: unknown exception\n", stderr);
  }
  return EXIT_FAILURE;
}
