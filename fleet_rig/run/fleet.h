// Runs a scenario with a fleet of real processes: nodes as machines, everything between any two actors
// through relays, servers, discovery and clients as stand-ins in one event loop here. What they saw is in the
// history file.
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
    std::string folder;   // made; holds a folder a node, and history.jsonl
    std::uint64_t seed = 1;
    std::function<void(double seconds, const std::string& what)> progress;  // may be empty
    std::vector<std::string> environment;  // of the nodes, beside RELAY_CONFIG
  };

  // Throws std::runtime_error where the scenario is larger than addresses reach, or nothing can listen.
  Fleet(const bench::Scenario& scenario, Options options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts all, plays the run, and ends all. Throws std::runtime_error when a node does not come up.
  // Returns the path of the history.
  std::string play();

  // Where a node is reached by clients, through its relay; for tests.
  TcpRelay& relay(const Actor& from, const Actor& to);
  Machine& machine(const Actor& node) { return *nodes_.at(node).machine; }

 private:
  struct Node {
    std::unique_ptr<Machine> machine;
    std::unique_ptr<HttpClient> client;  // of the server beside it, in the second tier
    bool should_run = false;             // it should be running: an end of its own is a crash
    bool starved = false;
    int incarnation = 0;
    double started_at = 0;            // s on the history's clock
    std::streamoff log_position = 0;  // of its log
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
  boost::asio::awaitable<void> admit_when_listening(Actor node, int life);
  void stop_node(const Actor& node);
  boost::asio::awaitable<void> restart(Actor node, double down);
  boost::asio::awaitable<void> starve(Actor node, double share);

  // fleet_faults.cpp
  void at(double seconds, std::function<void()> what);
  void run_steps(std::vector<Step> steps, std::size_t next);
  void apply(const Step& step);
  void begin_fault(const Fault& fault, const Step& step);
  void end_fault(const Fault& fault, const Step& step);
  void apply_link_fault(const Step& step, bool on);
  void begin_node_fault(const Fault& fault, const Actor& node);
  void end_node_fault(const Fault& fault, const Actor& node);
  void change(const bench::Change& c);
  std::optional<DiscoveryStandIn::Status> change_server(const bench::Change& c, const Actor& server);
  void kill_and_restart(int replica, double down);
  void open_idle_connections(const Actor& node, int count);
  void start_server(const Actor& server);
  void stop_server(const Actor& server);
  void refuse_connections_to(const Actor& actor, bool on);
  void record(Record::What what, const Actor& by, const std::string& text = "");

  void record_floods();
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
  std::map<Actor, std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>>> idle_clients_;
  std::vector<std::unique_ptr<boost::asio::steady_timer>> timers_;
  LatenessMonitor lateness_;
  boost::asio::steady_timer observe_timer_;
  double last_usage_ = 0;
};

}  // namespace thymewood::fleet
