// The nodes of a fleet as processes: their configuration, start, stop, restart and limited CPU time.
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

constexpr double kStarvePeriod = 0.1;  // s; one turn of being stopped and running
// s; from SIGTERM until the kill. PROTOCOL: no sooner than the longest deadline, 3 s at most, and 0.7 s more.
constexpr double kLongestDeadline = 3, kKillAfter = 0.75;
constexpr double kRouteAfterTerm = 0.3;  // s; for which clients go on using a node that was sent SIGTERM

}  // namespace

void Fleet::write_config(const Actor& actor) {
  const bool sidecar = actor.kind == ActorKind::kSidecar;
  const int member = actor.number + 1;
  const Node& node = nodes_.at(actor);
  NodeParameters parameters;
  parameters.name = bench::name_of(actor);
  parameters.listen = endpoint_text(addresses_.node(actor));
  parameters.discovery = endpoint_text(relay(actor, kDiscoveryActor).where());
  parameters.seed = options_.seed * 1000003 + static_cast<std::uint64_t>(member) * 1009 +
                    static_cast<std::uint64_t>(node.incarnation) * (sidecar ? 31 : 17);
  parameters.position = actor.number;
  parameters.count = sidecar ? topology_.sidecar : scenario_.replicas;
  parameters.tier = sidecar ? 1 : 0;
  parameters.zone = topology_.zone_of(actor);
  parameters.known = discovery_->known(actor);
  if (hub_ && !sidecar) {
    parameters.peer_listen = endpoint_text(addresses_.node_gossip(actor));
    parameters.peers_all = endpoint_text(hub_->all());
    for (int i = 0; i < scenario_.replicas; ++i)
      parameters.peers.push_back(endpoint_text(hub_->face(static_cast<std::size_t>(i))));
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
  if (actor.kind == ActorKind::kNode) clients_->expect(actor.number);
}

// Until a process listens its machine refuses connections; a relay would take them, and break them.
asio::awaitable<void> Fleet::admit_when_listening(Actor actor, int life) {
  constexpr auto kPause = std::chrono::milliseconds(2);
  const auto where = addresses_.node(actor);
  asio::steady_timer timer(io_);
  for (error_code bad = asio::error::connection_refused; bad;) {
    if (nodes_.at(actor).incarnation != life || !nodes_.at(actor).should_run) co_return;
    asio::ip::tcp::socket socket(io_);
    co_await socket.async_connect(where, asio::redirect_error(asio::use_awaitable, bad));
    if (!bad) break;
    error_code ignored;
    timer.expires_after(kPause);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (nodes_.at(actor).incarnation == life && nodes_.at(actor).should_run)
    refuse_connections_to(actor, false);
}

void Fleet::stop_node(const Actor& actor) {
  Node& node = nodes_.at(actor);
  node.should_run = false;
  node.machine->kill();
  refuse_connections_to(actor, true);
  if (node.client) node.client->forget();
  record(Record::What::kDown, actor);
}

asio::awaitable<void> Fleet::restart(Actor actor, double down) {
  Node& node = nodes_.at(actor);
  if (!node.should_run) co_return;
  double longest = 0;
  for (const bench::LoadClass& c : scenario_.classes)
    longest = std::max(longest, std::min(c.settings.client_timeout, kLongestDeadline));
  record(Record::What::kTerm, actor);
  const int life = node.incarnation;
  node.should_run = false;  // it may end by itself now
  node.machine->terminate();
  if (actor.kind == ActorKind::kNode) clients_->lost(actor.number, kRouteAfterTerm);
  const double until = history_.now() + longest + kKillAfter;
  asio::steady_timer timer(io_);
  error_code ignored;
  while (node.machine->running() && history_.now() < until) {
    timer.expires_after(std::chrono::milliseconds(20));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (node.incarnation != life) co_return;  // another fault has started it meanwhile
  stop_node(actor);
  timer.expires_at(history_.time_of(history_.now() + down));
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  if (node.incarnation == life) start_node(actor);
}

// A share of a core: stopped and running in turn.
asio::awaitable<void> Fleet::starve(Actor actor, double share) {
  Node& node = nodes_.at(actor);
  asio::steady_timer timer(io_);
  error_code ignored;
  while (node.starved) {
    node.machine->pause();
    timer.expires_at(history_.time_of(history_.now() + kStarvePeriod * (1 - share)));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    node.machine->resume();
    if (!node.starved) break;
    timer.expires_at(history_.time_of(history_.now() + kStarvePeriod * share));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

}  // namespace thymewood::fleet
