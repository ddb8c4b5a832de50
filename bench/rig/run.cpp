#include "run.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <limits>
#include <memory>
#include <stdexcept>
#include <thread>
#include <unordered_map>

#include "node_process.h"

namespace thymewood::bench {
namespace {

namespace asio = boost::asio;
using Steady = std::chrono::steady_clock;

constexpr double kSlack = 0.05;    // s; times on sockets are not exact
constexpr double kDrainTime = 30;  // s; after the scenario's end, for what is still under way

void refuse_what_is_not_played(const Scenario& s) {
  for (const Change& c : s.changes) {
    if (c.what != Change::What::kSlow)
      throw std::runtime_error(s.name + ": drains, stops and starts are not played on sockets yet");
  }
  if (!s.clients_at.empty()) throw std::runtime_error(s.clients_at + " is not played by this rig");
  if (!s.fleet_only.empty()) throw std::runtime_error(s.fleet_only.front() + " is played by thymewood_fleet");
  if (!s.tenants.empty()) throw std::runtime_error(s.name + ": tenants are not played on sockets yet");
}

}  // namespace

Seen play_on_sockets(const Scenario& scenario, const std::string& program, bool direct,
                     const std::string& folder, std::uint64_t seed) {
  refuse_what_is_not_played(scenario);
  Seen seen;
  asio::io_context server_io(1), load_io(1);
  const auto begin = Steady::now() + std::chrono::seconds(1);
  std::vector<std::unique_ptr<ModelServer>> servers;
  std::vector<std::uint16_t> ports;
  for (std::size_t i = 0; i < scenario.servers.size(); ++i) {
    servers.push_back(
        std::make_unique<ModelServer>(server_io, scenario, i, begin, seed + i,
                                      [&seen](const ModelServer::Came& c) { seen.came.push_back(c); }));
    servers.back()->start();
    ports.push_back(servers.back()->port());
  }
  std::vector<asio::steady_timer> changes;
  for (const Change& c : scenario.changes) {
    changes.emplace_back(
        server_io, begin + std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(c.at)));
    changes.back().async_wait([&servers, c](boost::system::error_code cancelled) {
      for (std::size_t i = c.first; !cancelled && i <= c.last; ++i) servers[i]->slow_down(c.factor);
    });
  }
  std::thread server_thread([&server_io] { server_io.run(); });
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  std::vector<asio::ip::tcp::endpoint> replicas;
  const auto local = asio::ip::address_v4::loopback();
  for (int replica = 0; !direct && replica < scenario.replicas; ++replica) {
    nodes.push_back(std::make_unique<NodeProcess>(program, folder, scenario, replica, ports));
    replicas.emplace_back(local, nodes.back()->port());
  }
  for (std::size_t i = 0; direct && i < ports.size(); ++i) replicas.emplace_back(local, ports[i]);
  LoadGenerator load(load_io, scenario, replicas, begin, seed,
                     [&seen](const LoadGenerator::Ended& ended) { seen.ended.push_back(ended); });
  load.start();
  const auto end = begin + std::chrono::duration_cast<Steady::duration>(
                               std::chrono::duration<double>(scenario.seconds + kDrainTime));
  while (!load.done() && Steady::now() < end) load_io.run_for(std::chrono::milliseconds(100));
  for (const auto& node : nodes) {
    seen.cpu += node->cpu_seconds();
    seen.nodes_lived = seen.nodes_lived && node->alive();
  }
  server_io.stop();
  server_thread.join();
  for (const auto& server : servers) seen.work += server->work_done();
  return seen;
}

// What the logs of both sides say, in the order of time. An answer has its place kSlack later: an attempt
// that a server reads late was sent before, and may belong to a request that another has answered meanwhile.
RuleMonitor check_rules(const Scenario& scenario, const Seen& seen) {
  std::vector<RequestClass> classes;
  for (const LoadClass& c : scenario.classes) classes.push_back(c.settings);
  std::vector<RuleMonitor::Place> places;
  for (const ScenarioServer& s : scenario.servers) places.push_back({s.zone, s.cell});
  RuleMonitor::Limits limits;
  limits.slack = kSlack;
  RuleMonitor rules(limits, classes, places);
  struct Step {
    double at = 0;
    int order = 0;  // a request is taken before it comes to a server, and answered after
    const LoadGenerator::Ended* asked = nullptr;
    const ModelServer::Came* came = nullptr;
  };
  std::vector<Step> steps;
  for (const LoadGenerator::Ended& e : seen.ended) {
    steps.push_back({e.sent, 0, &e, nullptr});
    steps.push_back({e.answered + kSlack, 2, &e, nullptr});
  }
  for (const ModelServer::Came& c : seen.came) steps.push_back({c.now, 1, nullptr, &c});
  std::stable_sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) {
    return a.at != b.at ? a.at < b.at : a.order < b.order;
  });
  std::unordered_map<std::string, std::size_t> sends;
  for (const Step& step : steps) {
    if (step.order == 0) {
      rules.taken(step.at, step.asked->id, step.asked->request_class,
                  step.asked->sent + classes[step.asked->request_class].client_timeout);
    } else if (step.order == 1) {
      rules.sent(step.at, step.came->id, 0, step.came->server);
      rules.came(step.at, step.came->server, step.came->work, step.came->cold_rate);
      const std::size_t attempt = sends[step.came->id]++;
      if (step.came->rejected) rules.ended(step.came->id, attempt, false);
    } else if (step.asked->heard) {
      rules.answered(step.asked->answered, step.asked->id, step.asked->how);
    }
  }
  rules.finish(std::numeric_limits<double>::infinity());
  return rules;
}

}  // namespace thymewood::bench
