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

constexpr double kClockTolerance = 0.05;  // s; timestamps taken on sockets are not exact
constexpr double kDrainTime = 30;         // s; after the end of the scenario, for requests still in flight

void reject_unsupported_scenario(const Scenario& s) {
  for (const Change& c : s.changes) {
    if (c.what != Change::What::kSlow)
      throw std::runtime_error(s.name + ": drains, stops and starts are not supported on sockets yet");
  }
  if (!s.clients_at.empty()) throw std::runtime_error(s.clients_at + " is not supported by this rig");
  if (!s.fleet_only.empty())
    throw std::runtime_error(s.fleet_only.front() + " is supported only by thymewood_fleet");
  if (!s.tenants.empty()) throw std::runtime_error(s.name + ": tenants are not supported on sockets yet");
}

}  // namespace

RunObservations run_on_sockets(const Scenario& scenario, const std::string& program, bool direct,
                               const std::string& folder, std::uint64_t seed) {
  reject_unsupported_scenario(scenario);
  RunObservations observations;
  asio::io_context server_io(1), load_io(1);
  const auto begin = Steady::now() + std::chrono::seconds(1);
  std::vector<std::unique_ptr<ModelServer>> servers;
  std::vector<std::uint16_t> ports;
  for (std::size_t i = 0; i < scenario.servers.size(); ++i) {
    servers.push_back(std::make_unique<ModelServer>(
        server_io, scenario, i, begin, seed + i,
        [&observations](const ModelServer::Arrival& c) { observations.arrivals.push_back(c); }));
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
                     [&observations](const LoadGenerator::CompletedRequest& request) {
                       observations.completed.push_back(request);
                     });
  load.start();
  const auto end = begin + std::chrono::duration_cast<Steady::duration>(
                               std::chrono::duration<double>(scenario.seconds + kDrainTime));
  while (!load.done() && Steady::now() < end) load_io.run_for(std::chrono::milliseconds(100));
  for (const auto& node : nodes) {
    observations.cpu += node->cpu_seconds();
    observations.nodes_stayed_up = observations.nodes_stayed_up && node->alive();
  }
  server_io.stop();
  server_thread.join();
  for (const auto& server : servers) observations.work += server->work_done();
  return observations;
}

// Replays the observations of servers and clients in time order. Each response is placed kClockTolerance
// later: a server may read an attempt late, after another attempt has already completed the request.
RuleMonitor check_rules(const Scenario& scenario, const RunObservations& observations) {
  std::vector<RequestClass> classes;
  for (const LoadClass& c : scenario.classes) classes.push_back(c.settings);
  std::vector<RuleMonitor::Place> places;
  for (const ScenarioServer& s : scenario.servers) places.push_back({s.zone, s.cell});
  RuleMonitor::Limits limits;
  limits.slack = kClockTolerance;
  RuleMonitor rules(limits, classes, places);
  struct TimelineEvent {
    double at = 0;
    int order = 0;  // at equal times: request received, then attempt at a server, then response
    const LoadGenerator::CompletedRequest* request = nullptr;
    const ModelServer::Arrival* arrival = nullptr;
  };
  std::vector<TimelineEvent> timeline;
  for (const LoadGenerator::CompletedRequest& e : observations.completed) {
    timeline.push_back({e.sent, 0, &e, nullptr});
    timeline.push_back({e.completed_at + kClockTolerance, 2, &e, nullptr});
  }
  for (const ModelServer::Arrival& c : observations.arrivals) timeline.push_back({c.now, 1, nullptr, &c});
  std::stable_sort(timeline.begin(), timeline.end(), [](const TimelineEvent& a, const TimelineEvent& b) {
    return a.at != b.at ? a.at < b.at : a.order < b.order;
  });
  std::unordered_map<std::string, std::size_t> attempt_counts;
  for (const TimelineEvent& event : timeline) {
    if (event.order == 0) {
      rules.taken(event.at, event.request->id, event.request->request_class,
                  event.request->sent + classes[event.request->request_class].client_timeout);
    } else if (event.order == 1) {
      rules.sent(event.at, event.arrival->id, 0, event.arrival->server);
      rules.came(event.at, event.arrival->server, event.arrival->work, event.arrival->warmup_rate);
      const std::size_t attempt = attempt_counts[event.arrival->id]++;
      if (event.arrival->rejected) rules.ended(event.arrival->id, attempt, false);
    } else if (event.request->response_received) {
      rules.answered(event.request->completed_at, event.request->id, event.request->result);
    }
  }
  rules.finish(std::numeric_limits<double>::infinity());
  return rules;
}

}  // namespace thymewood::bench
