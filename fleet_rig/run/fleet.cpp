#include "fleet.h"

#include <sys/resource.h>
#include <sys/wait.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <limits>
#include <sstream>
#include <stdexcept>

#include "sockets.h"

namespace thymewood::fleet {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds kHealthInterval{20};
constexpr double kStartupTimeout = 20;      // s; for all nodes to become healthy
constexpr double kDrainTime = 30;           // s; after the run's end, for requests in flight
constexpr double kAttemptRecordTime = 0.1;  // s; for servers to record the last attempts

void raise_descriptor_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

// The shim is preloaded only if a fault needs it, so that all other runs test the node as it is shipped.
bool needs_shim(const bench::Scenario& scenario) {
  return std::any_of(scenario.faults.begin(), scenario.faults.end(), [](const Fault& f) {
    return f.what == Fault::What::kDiskFails || f.what == Fault::What::kDiskReadOnly ||
           f.what == Fault::What::kDiskSlow || f.what == Fault::What::kClock;
  });
}

std::string create_folder(const std::string& folder) {
  std::filesystem::create_directories(folder);
  return folder;
}

}  // namespace

Fleet::Fleet(const bench::Scenario& scenario, Options options)
    : scenario_(scenario),
      topology_(scenario.topology()),
      options_(std::move(options)),
      addresses_(io_),
      history_(create_folder(options_.folder) + "/history.jsonl"),
      lateness_(io_, history_, kDiscoveryActor),
      observe_timer_(io_) {
  raise_descriptor_limit();
  constexpr int kMax = FleetAddresses::kMaxActorsOfAKind;
  if (scenario_.replicas > kMax || scenario_.servers.size() > kMax || scenario_.backends.size() > kMax)
    throw std::runtime_error(scenario_.name +
                             ": a fleet has at most 250 nodes, 250 servers and 250 backends");
  build();
}

Fleet::~Fleet() = default;

void Fleet::build() {
  for (const Actor& actor : topology_.all_actors()) {
    if (actor.kind != ActorKind::kNode && actor.kind != ActorKind::kSidecar) continue;
    Node& node = nodes_[actor];
    const std::string folder = options_.folder + "/" + bench::name_of(actor);
    Machine::Options machine{options_.program, folder, options_.environment, 0,
                             needs_shim(scenario_) ? FLEET_SHIM : ""};
    machine.environment.push_back("RELAY_CONFIG=" + std::filesystem::absolute(folder).string() +
                                  "/config.json");
    if (!scenario_.operators.empty())
      machine.environment.push_back("THYMEWOOD_OPERATORS=" + std::filesystem::absolute(folder).string() +
                                    "/operators.toml");
    node.machine = std::make_unique<Machine>(machine);
  }
  discovery_ = std::make_unique<DiscoveryStandIn>(
      io_, scenario_, history_, addresses_.discovery(),
      DiscoveryStandIn::Access{
          [this](unsigned short port) -> std::optional<TcpRelay::Origin> {
            for (const auto& [link, relay] : relays_) {
              if (link.second != kDiscoveryActor) continue;
              if (const auto origin = relay->origin(port)) return origin;
            }
            return std::nullopt;
          },
          [this](const Actor& node, const Actor& server) {
            return endpoint_text(relay(node, server).endpoint());
          },
          [this](const Actor& node) { return !links_.direction(kDiscoveryActor, node).cut(); }},
      options_.seed ^ 0xD15C);
  build_relays();
  build_servers();
  std::vector<HttpClient::Endpoint> node_endpoints;
  node_endpoints.reserve(static_cast<std::size_t>(scenario_.replicas));
  for (int i = 0; i < scenario_.replicas; ++i)
    node_endpoints.push_back(relay(kClientsActor, {ActorKind::kNode, i}).endpoint());
  clients_ = std::make_unique<ClientPool>(io_, scenario_, history_, node_endpoints, options_.seed);
}

void Fleet::build_relays() {
  for (const auto& [link, shape] : configured_link_shapes(scenario_))
    links_.direction(link.from, link.to)
        .add_fault(std::numeric_limits<std::uint64_t>::max() - relays_.size(), shape);
  std::vector<UdpHub::Peer> peers;
  for (const auto& [actor, node] : nodes_) {
    const bool sidecar = actor.kind == ActorKind::kSidecar;
    const auto add = [&](const Actor& from, const Actor& to, const TcpRelay::Endpoint& where,
                         const TcpRelay::Endpoint& target) {
      relays_[{from, to}] =
          std::make_unique<TcpRelay>(io_, links_, from, to, where, target, options_.seed + relays_.size());
    };
    const Actor client = sidecar ? Actor{ActorKind::kServer, actor.number} : kClientsActor;
    add(client, actor, addresses_.relay_to_node(actor), addresses_.node(actor));
    add(actor, kDiscoveryActor, addresses_.relay_to_discovery(actor), discovery_->endpoint());
    const std::size_t targets = sidecar ? scenario_.backends.size() : scenario_.servers.size();
    for (std::size_t i = 0; i < targets; ++i) {
      const int number = static_cast<int>(i);
      const Actor server{sidecar ? ActorKind::kBackend : ActorKind::kServer, number};
      add(actor, server, addresses_.relay_to_server(actor, number), addresses_.server(server));
    }
    peers.push_back({actor, addresses_.gossip_proxy(actor), addresses_.node_gossip(actor)});
  }
  if (!scenario_.peers) return;
  std::erase_if(peers, [](const UdpHub::Peer& p) { return p.actor.kind == ActorKind::kSidecar; });
  hub_ = std::make_unique<UdpHub>(io_, links_, peers, addresses_.gossip_broadcast(), options_.seed);
}

void Fleet::build_servers() {
  const auto add = [this](const Actor& actor, const bench::ScenarioServer& spec) {
    HttpClient* second_tier_client = nullptr;
    const Actor sidecar{ActorKind::kSidecar, actor.number};
    if (actor.kind == ActorKind::kServer && scenario_.chain.calls > 0) {
      nodes_.at(sidecar).client =
          std::make_unique<HttpClient>(io_, history_, actor, sidecar, relay(actor, sidecar).endpoint());
      second_tier_client = nodes_.at(sidecar).client.get();
    }
    const auto origin = [this, actor](unsigned short port) -> std::optional<TcpRelay::Origin> {
      for (const auto& [node, state] : nodes_) {
        const auto relay_it = relays_.find({node, actor});
        if (relay_it == relays_.end()) continue;
        if (const auto found = relay_it->second->origin(port)) return found;
      }
      return std::nullopt;
    };
    servers_[actor] =
        std::make_unique<ServerStandIn>(io_, scenario_, history_, actor, spec, addresses_.server(actor),
                                        origin, second_tier_client, options_.seed * 7919 + servers_.size());
  };
  for (std::size_t i = 0; i < scenario_.servers.size(); ++i)
    add({ActorKind::kServer, static_cast<int>(i)}, scenario_.servers[i]);
  for (std::size_t i = 0; i < scenario_.backends.size(); ++i)
    add({ActorKind::kBackend, static_cast<int>(i)}, scenario_.backends[i]);
}

TcpRelay& Fleet::relay(const Actor& from, const Actor& to) { return *relays_.at({from, to}); }

void Fleet::start_servers() {
  for (auto& [actor, server] : servers_) {
    const auto& specs = actor.kind == ActorKind::kBackend ? scenario_.backends : scenario_.servers;
    if (specs.at(static_cast<std::size_t>(actor.number)).up) {
      server->start(false);
    } else {
      refuse_connections_to(actor, true);
    }
  }
}

// Returns the sidecars that it started; a sidecar whose server is down is not started.
std::vector<Actor> Fleet::start_nodes() {
  std::vector<Actor> sidecars;
  for (const auto& [actor, node] : nodes_) {
    const bool is_sidecar = actor.kind == ActorKind::kSidecar;
    if (is_sidecar && !servers_.at({ActorKind::kServer, actor.number})->is_up()) continue;
    start_node(actor);
    if (is_sidecar) sidecars.push_back(actor);
  }
  return sidecars;
}

asio::awaitable<void> Fleet::count_when_healthy(Actor sidecar, std::shared_ptr<std::size_t> healthy) {
  asio::steady_timer timer(io_);
  error_code ignored;
  while (!co_await nodes_.at(sidecar).client->is_healthy()) {
    timer.expires_after(kHealthInterval);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  *healthy += 1;
}

// Runs the event loop until the clients see all nodes as healthy, and the rig all sidecars.
void Fleet::await_healthy(const std::vector<Actor>& sidecars) {
  const auto healthy = std::make_shared<std::size_t>(0);
  for (const Actor& sidecar : sidecars)
    asio::co_spawn(io_, count_when_healthy(sidecar, healthy), asio::detached);
  const double deadline = history_.now() + kStartupTimeout;
  while (clients_->available_count() < static_cast<std::size_t>(scenario_.replicas) ||
         *healthy < sidecars.size()) {
    io_.run_for(std::chrono::milliseconds(10));
    for (auto& [actor, node] : nodes_) {
      const bool exited = node.should_run && !node.machine->running();
      if (exited || history_.now() > deadline)
        throw std::runtime_error(options_.program + " exited or did not become healthy; see " +
                                 node.machine->folder() + "/log: " + node.machine->log());
    }
  }
}

// The clients send the floods; this only records their begin and end, as those of faults.
void Fleet::schedule_flood_records() {
  for (const bench::Flood& flood : scenario_.floods) {
    const std::string note = "flood of " + scenario_.tenants.at(flood.tenant).name +
                             (flood.replica < 0 ? "" : " through node:" + std::to_string(flood.replica));
    schedule_at(flood.at, [this, note] { record(Record::What::kFault, kDiscoveryActor, note); });
    if (std::isfinite(flood.lasts))
      schedule_at(flood.at + flood.lasts,
                  [this, note] { record(Record::What::kFaultEnded, kDiscoveryActor, note); });
  }
}

std::string Fleet::run() {
  start_servers();
  discovery_->start();
  await_healthy(start_nodes());
  constexpr double kLeadTime = 0.1;  // s; before the load begins
  history_.begin(kLeadTime);
  Record begin;
  begin.what = Record::What::kBegin;
  begin.limit = scenario_.seconds;
  history_.add(begin);
  std::vector<Actor> history_actors{kClientsActor, kDiscoveryActor};
  for (const auto& [actor, server] : servers_) history_actors.push_back(actor);
  for (const Actor& actor : history_actors) record(Record::What::kActorJoined, actor);
  run_steps(plan(scenario_, options_.seed), 0);
  schedule_flood_records();
  lateness_.start();
  observe_nodes();
  clients_->start();
  const double end = scenario_.seconds + kDrainTime;
  while (!clients_->done() && history_.now() < end) io_.run_for(std::chrono::milliseconds(20));
  // The servers still have to record the last attempts.
  const double record_deadline = history_.now() + kAttemptRecordTime;
  while (history_.now() < record_deadline) io_.run_for(std::chrono::milliseconds(10));
  if (clients_->done()) {
    for (const Actor& actor : history_actors) record(Record::What::kClosed, actor);
  }
  history_.flush();
  kill_nodes();
  return options_.folder + "/history.jsonl";
}

void Fleet::kill_nodes() {
  for (auto& [actor, node] : nodes_) {
    node.should_run = node.cpu_limited = false;
    node.machine->kill();
  }
}

}  // namespace thymewood::fleet
