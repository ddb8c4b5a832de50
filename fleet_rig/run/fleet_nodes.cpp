// The node processes of a fleet: configuration, start, stop, restart and limits on CPU time.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "fleet.h"
#include "node_config.h"
#include "sockets.h"

namespace thymewood::fleet {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr double kCpuLimitPeriod = 0.1;  // s; one cycle of being stopped and running
// s; from SIGTERM until SIGKILL. PROTOCOL: no sooner than the longest deadline, at most 3 s, plus 0.7 s.
constexpr double kLongestDeadline = 3, kKillMargin = 0.75;
constexpr double kRoutingAfterSigterm = 0.3;  // s; clients go on using a node for so long after its SIGTERM

}  // namespace

void Fleet::write_config(const Actor& actor) {
  const bool sidecar = actor.kind == ActorKind::kSidecar;
  const int member = actor.number + 1;
  const Node& node = nodes_.at(actor);
  NodeParameters parameters;
  parameters.name = bench::name_of(actor);
  parameters.listen = endpoint_text(addresses_.node(actor));
  parameters.discovery = endpoint_text(relay(actor, kDiscoveryActor).endpoint());
  parameters.seed = options_.seed * 1000003 + static_cast<std::uint64_t>(member) * 1009 +
                    static_cast<std::uint64_t>(node.incarnation) * (sidecar ? 31 : 17);
  parameters.replica_index = actor.number;
  parameters.replica_count = sidecar ? topology_.sidecar : scenario_.replicas;
  parameters.tier = sidecar ? 1 : 0;
  parameters.zone = topology_.zone_of(actor);
  parameters.initial_endpoints = discovery_->initial_list(actor);
  if (hub_ && !sidecar) {
    parameters.peer_listen = endpoint_text(addresses_.node_gossip(actor));
    parameters.peers_all = endpoint_text(hub_->broadcast_endpoint());
    for (int i = 0; i < scenario_.replicas; ++i)
      parameters.peers.push_back(endpoint_text(hub_->proxy_endpoint(static_cast<std::size_t>(i))));
  }
  if (!scenario_.operators.empty()) {
    std::ofstream operators(node.machine->folder() + "/operators.toml", std::ios::trunc);
    operators << scenario_.operators;
    if (!operators.flush()) throw std::runtime_error(node.machine->folder() + ": cannot be written");
  }
  const std::string path = node.machine->folder() + "/config.json";
  std::ofstream file(path + ".new", std::ios::trunc);
  file << node_config(scenario_, parameters);
  if (!file.flush()) throw std::runtime_error(path + ": cannot be written");
  file.close();
  std::filesystem::rename(path + ".new", path);
}

void Fleet::start_node(const Actor& actor) {
  Node& node = nodes_.at(actor);
  write_config(actor);
  node.machine->start();
  node.incarnation += 1;
  node.should_run = true;
  node.started_at = history_.now();
  asio::co_spawn(io_, admit_when_listening(actor, node.incarnation), asio::detached);
  record(Record::What::kUp, actor);
  if (actor.kind == ActorKind::kNode) clients_->add_when_healthy(actor.number);
}

// Before a process listens, a real machine refuses connections. A relay would accept them and then break
// them, so it refuses them until the process listens.
asio::awaitable<void> Fleet::admit_when_listening(Actor actor, int incarnation) {
  constexpr auto kConnectRetryInterval = std::chrono::milliseconds(2);
  const auto endpoint = addresses_.node(actor);
  asio::steady_timer timer(io_);
  for (error_code error = asio::error::connection_refused; error;) {
    if (nodes_.at(actor).incarnation != incarnation || !nodes_.at(actor).should_run) co_return;
    asio::ip::tcp::socket socket(io_);
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (!error) break;
    error_code ignored;
    timer.expires_after(kConnectRetryInterval);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (nodes_.at(actor).incarnation == incarnation && nodes_.at(actor).should_run)
    refuse_connections_to(actor, false);
}

void Fleet::stop_node(const Actor& actor) {
  Node& node = nodes_.at(actor);
  node.should_run = false;
  node.machine->kill();
  refuse_connections_to(actor, true);
  if (node.client) node.client->drop_idle_connections();
  record(Record::What::kDown, actor);
}

asio::awaitable<void> Fleet::restart(Actor actor, double down_time) {
  Node& node = nodes_.at(actor);
  if (!node.should_run) co_return;
  double longest_deadline = 0;
  for (const bench::LoadClass& c : scenario_.classes)
    longest_deadline = std::max(longest_deadline, std::min(c.settings.client_timeout, kLongestDeadline));
  record(Record::What::kTerm, actor);
  const int incarnation = node.incarnation;
  node.should_run = false;  // its exit is no crash from now on
  node.machine->terminate();
  if (actor.kind == ActorKind::kNode) clients_->remove_after(actor.number, kRoutingAfterSigterm);
  const double deadline = history_.now() + longest_deadline + kKillMargin;
  asio::steady_timer timer(io_);
  error_code ignored;
  while (node.machine->running() && history_.now() < deadline) {
    timer.expires_after(std::chrono::milliseconds(20));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (node.incarnation != incarnation) co_return;  // another fault has restarted it meanwhile
  stop_node(actor);
  timer.expires_at(history_.time_of(history_.now() + down_time));
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  if (node.incarnation == incarnation) start_node(actor);
}

// Limits a node to a share of a core by stopping and resuming it in turn.
asio::awaitable<void> Fleet::limit_cpu(Actor actor, double share) {
  Node& node = nodes_.at(actor);
  asio::steady_timer timer(io_);
  error_code ignored;
  while (node.cpu_limited) {
    node.machine->pause();
    timer.expires_at(history_.time_of(history_.now() + kCpuLimitPeriod * (1 - share)));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    node.machine->resume();
    if (!node.cpu_limited) break;
    timer.expires_at(history_.time_of(history_.now() + kCpuLimitPeriod * share));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

}  // namespace thymewood::fleet
