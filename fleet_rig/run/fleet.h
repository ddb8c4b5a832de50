// Runs a scenario with a fleet of real processes: each node is a machine (machine.h), all traffic between two
// actors passes a relay, and stand-ins for servers, discovery and clients share one event loop in this
// process. What they observe is written to the history file.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "client_pool.h"
#include "discovery_stand_in.h"
#include "fleet_addresses.h"
#include "history_writer.h"
#include "lateness_monitor.h"
#include "link_table.h"
#include "machine.h"
#include "planner.h"
#include "server_stand_in.h"
#include "tcp_relay.h"
#include "udp_hub.h"

namespace thymewood::fleet {

inline constexpr Actor kClientsActor{ActorKind::kClients, 0}, kDiscoveryActor{ActorKind::kDiscovery, 0};

class Fleet {
 public:
  struct Options {
    std::string program;  // of the nodes
    std::string folder;   // created if missing; holds a folder for each node, and history.jsonl
    std::uint64_t seed = 1;
    std::function<void(double seconds, const std::string& what)> progress;  // may be empty
    std::vector<std::string> environment;  // of the nodes, in addition to RELAY_CONFIG
  };

  // Throws std::runtime_error if the scenario needs more addresses than there are or a listener cannot be
  // opened.
  Fleet(const bench::Scenario& scenario, Options options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts all actors, runs the scenario and stops the nodes. Throws std::runtime_error if a node does not
  // become healthy. Returns the path of the history.
  std::string run();

  // The relay that carries connections from `from` to `to`; for tests.
  TcpRelay& relay(const Actor& from, const Actor& to);
  Machine& machine(const Actor& node) { return *nodes_.at(node).machine; }

 private:
  struct Node {
    std::unique_ptr<Machine> machine;
    std::unique_ptr<HttpClient> client;  // of the server whose sidecar this node is
    bool should_run = false;             // an exit while this is set is a crash
    bool cpu_limited = false;
    int incarnation = 0;
    double started_at = 0;            // s on the history's clock
    std::streamoff log_position = 0;  // up to which its log has been read
  };

  void build();
  void build_relays();
  void build_servers();
  void start_servers();
  std::vector<Actor> start_nodes();
  boost::asio::awaitable<void> count_when_healthy(Actor sidecar, std::shared_ptr<std::size_t> healthy);
  void await_healthy(const std::vector<Actor>& sidecars);

  // fleet_nodes.cpp
  void write_config(const Actor& node);
  void start_node(const Actor& node);
  boost::asio::awaitable<void> admit_when_listening(Actor node, int incarnation);
  void stop_node(const Actor& node);
  boost::asio::awaitable<void> restart(Actor node, double down_time);
  boost::asio::awaitable<void> limit_cpu(Actor node, double share);

  // fleet_faults.cpp
  void schedule_at(double seconds, std::function<void()> action);
  void run_steps(std::vector<Step> steps, std::size_t next);
  void apply(const Step& step);
  void begin_fault(const Fault& fault, const Step& step);
  void end_fault(const Fault& fault, const Step& step);
  void apply_link_fault(const Step& step, bool on);
  void begin_node_fault(const Fault& fault, const Actor& node);
  void end_node_fault(const Fault& fault, const Actor& node);
  void apply_change(const bench::Change& change);
  std::optional<DiscoveryStandIn::Status> change_server(const bench::Change& change, const Actor& server);
  void kill_and_restart(int replica, double down_time);
  void open_idle_connections(const Actor& node, int count);
  void start_server(const Actor& server);
  void stop_server(const Actor& server);
  void refuse_connections_to(const Actor& actor, bool on);
  void record(Record::What what, const Actor& actor, const std::string& note = "");

  void schedule_flood_records();
  // fleet_observation.cpp
  void observe_nodes();
  void read_log(const Actor& actor, Node& node);
  void record_crash(const Actor& actor, Node& node);
  void record_usage();

  void kill_nodes();

  bench::Scenario scenario_;
  bench::Topology topology_;
  Options options_;
  boost::asio::io_context io_{1};
  FleetAddresses addresses_;
  HistoryWriter history_;
  LinkTable links_;
  std::map<std::pair<Actor, Actor>, std::unique_ptr<TcpRelay>> relays_;
  std::unique_ptr<UdpHub> hub_;
  std::map<Actor, Node> nodes_;
  std::map<Actor, std::unique_ptr<ServerStandIn>> servers_;
  std::unique_ptr<DiscoveryStandIn> discovery_;
  std::unique_ptr<ClientPool> clients_;
  std::map<Actor, std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>>> idle_connections_;
  std::vector<std::unique_ptr<boost::asio::steady_timer>> timers_;
  LatenessMonitor lateness_;
  boost::asio::steady_timer observe_timer_;
  double last_usage_time_ = 0;
};

}  // namespace thymewood::fleet
