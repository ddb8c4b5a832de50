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

#include "node_config.h"

namespace thymewood::fleet {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// The third part of an address says what stands there; the fourth is the party's number + 1.
constexpr int kNodes = 1, kServers = 2, kDiscovery = 3, kFaces = 4, kInners = 5, kBackends = 6,
              kInnerFaces = 7;
constexpr int kToNodes = 10, kOfNodes = 11, kToInners = 12, kOfInners = 13;
constexpr int kMostMembers = 250, kAll = 254;
constexpr unsigned short kHttp = 8081, kCatalog = 8500, kPeer = 7946, kFirstRelay = 9000;

constexpr double kUpWithin = 20;       // s; for all nodes to come up
constexpr double kAfterwards = 30;     // s; after the day's end, for what is still under way
constexpr double kTick = 0.005;        // s; how often the rig looks how late it is
constexpr double kWorthNoting = 0.02;  // s; lateness that goes into the history
constexpr double kLookAtNodes = 0.05;  // s
constexpr double kUsageEvery = 1;      // s
constexpr double kStarvePeriod = 0.1;  // s; one turn of being stopped and running
// s; from SIGTERM until the kill. PROTOCOL: no sooner than the longest deadline, 3 s at most, and 0.7 s more.
constexpr double kLongestDeadline = 3, kKillAfter = 0.75;
constexpr double kDealtOn = 0.3;  // s; for which the front goes on dealing to a node that is told to end

template <class Endpoint>
std::string text_of(const Endpoint& endpoint) {
  std::ostringstream out;
  out << endpoint;
  return out.str();
}

void raise_descriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

// Loaded only where a day needs it: without it a node is as it is shipped.
bool wants_shim(const bench::Scenario& scenario) {
  return std::any_of(scenario.faults.begin(), scenario.faults.end(), [](const Fault& f) {
    return f.what == Fault::What::kDiskFails || f.what == Fault::What::kDiskReadOnly ||
           f.what == Fault::What::kDiskSlow || f.what == Fault::What::kClock;
  });
}

std::string made(const std::string& folder) {
  std::filesystem::create_directories(folder);
  return folder;
}

}  // namespace

Fleet::Fleet(const bench::Scenario& scenario, Options options)
    : scenario_(scenario),
      cast_(scenario.cast()),
      options_(std::move(options)),
      addresses_(io_),
      history_(made(options_.folder) + "/history.jsonl"),
      tick_(io_),
      look_(io_) {
  raise_descriptors();
  if (scenario_.copies > kMostMembers || scenario_.servers.size() > kMostMembers ||
      scenario_.backends.size() > kMostMembers)
    throw std::runtime_error(scenario_.name +
                             ": a fleet has at most 250 of nodes, servers and backends each");
  build();
}

Fleet::~Fleet() = default;

// ---------------------------------------------------------------- who there is

void Fleet::build() {
  for (const Party& party : cast_.everyone()) {
    if (party.kind != PartyKind::kNode && party.kind != PartyKind::kInner) continue;
    Node& node = nodes_[party];
    const std::string folder = options_.folder + "/" + bench::name_of(party);
    Machine::Options machine{options_.program, folder, options_.environment, 0,
                             wants_shim(scenario_) ? FLEET_SHIM : ""};
    machine.environment.push_back("RELAY_CONFIG=" + std::filesystem::absolute(folder).string() +
                                  "/config.json");
    if (!scenario_.operators.empty())
      machine.environment.push_back("THYMEWOOD_OPERATORS=" + std::filesystem::absolute(folder).string() +
                                    "/operators.toml");
    node.machine = std::make_unique<Machine>(machine);
  }
  discovery_ = std::make_unique<Discovery>(
      io_, scenario_, history_, addresses_.tcp(kDiscovery, 1, kCatalog),
      Discovery::Access{
          [this](unsigned short port) -> std::optional<TcpRelay::Origin> {
            for (const auto& [ends, relay] : relays_) {
              if (ends.second != kTheDiscovery) continue;
              if (const auto origin = relay->origin(port)) return origin;
            }
            return std::nullopt;
          },
          [this](const Party& node, const Party& server) { return text_of(relay(node, server).where()); },
          [this](const Party& node) { return !links_.way(kTheDiscovery, node).cut(); }},
      options_.seed ^ 0xD15C);
  build_relays();
  build_servers();
  std::vector<Asker::Endpoint> fronts;
  fronts.reserve(static_cast<std::size_t>(scenario_.copies));
  for (int i = 0; i < scenario_.copies; ++i)
    fronts.push_back(relay(kTheCallers, {PartyKind::kNode, i}).where());
  callers_ = std::make_unique<Callers>(io_, scenario_, history_, fronts, options_.seed);
}

void Fleet::build_relays() {
  for (const auto& [way, shape] : standing_shapes(scenario_))
    links_.way(way.from, way.to).lay(std::numeric_limits<std::uint64_t>::max() - relays_.size(), shape);
  std::vector<UdpHub::Peer> peers;
  for (const auto& [party, node] : nodes_) {
    const bool inner = party.kind == PartyKind::kInner;
    const int member = party.number + 1;
    const auto add = [&](const Party& from, const Party& to, const TcpRelay::Endpoint& where,
                         const TcpRelay::Endpoint& target) {
      relays_[{from, to}] =
          std::make_unique<TcpRelay>(io_, links_, from, to, where, target, options_.seed + relays_.size());
    };
    const Party caller = inner ? Party{PartyKind::kServer, party.number} : kTheCallers;
    add(caller, party, addresses_.tcp(inner ? kToInners : kToNodes, member, kHttp),
        addresses_.tcp(inner ? kInners : kNodes, member, kHttp));
    const int own = inner ? kOfInners : kOfNodes;
    add(party, kTheDiscovery, addresses_.tcp(own, member, kCatalog), discovery_->where());
    const std::size_t targets = inner ? scenario_.backends.size() : scenario_.servers.size();
    for (std::size_t i = 0; i < targets; ++i) {
      const int number = static_cast<int>(i);
      add(party, {inner ? PartyKind::kBackend : PartyKind::kServer, number},
          addresses_.tcp(own, member, static_cast<unsigned short>(kFirstRelay + number)),
          addresses_.tcp(inner ? kBackends : kServers, number + 1, kHttp));
    }
    peers.push_back({party, addresses_.udp(inner ? kInnerFaces : kFaces, member, kPeer),
                     addresses_.udp(inner ? kInners : kNodes, member, kPeer)});
  }
  if (!scenario_.peers) return;
  std::erase_if(peers, [](const UdpHub::Peer& p) { return p.party.kind == PartyKind::kInner; });
  hub_ = std::make_unique<UdpHub>(io_, links_, peers, addresses_.udp(kFaces, kAll, kPeer), options_.seed);
}

void Fleet::build_servers() {
  const auto add = [this](const Party& party, const bench::ScenarioServer& spec, int group) {
    Asker* calls = nullptr;
    const Party inner{PartyKind::kInner, party.number};
    if (party.kind == PartyKind::kServer && scenario_.chain.calls > 0) {
      nodes_.at(inner).calls =
          std::make_unique<Asker>(io_, history_, party, inner, relay(party, inner).where());
      calls = nodes_.at(inner).calls.get();
    }
    const auto origin = [this, party](unsigned short port) -> std::optional<TcpRelay::Origin> {
      for (const auto& [node, held] : nodes_) {
        const auto at = relays_.find({node, party});
        if (at == relays_.end()) continue;
        if (const auto found = at->second->origin(port)) return found;
      }
      return std::nullopt;
    };
    servers_[party] = std::make_unique<Server>(io_, scenario_, history_, party, spec,
                                               addresses_.tcp(group, party.number + 1, kHttp), origin, calls,
                                               options_.seed * 7919 + servers_.size());
  };
  for (std::size_t i = 0; i < scenario_.servers.size(); ++i)
    add({PartyKind::kServer, static_cast<int>(i)}, scenario_.servers[i], kServers);
  for (std::size_t i = 0; i < scenario_.backends.size(); ++i)
    add({PartyKind::kBackend, static_cast<int>(i)}, scenario_.backends[i], kBackends);
}

TcpRelay& Fleet::relay(const Party& from, const Party& to) { return *relays_.at({from, to}); }

void Fleet::write_config(const Party& party) {
  const bool inner = party.kind == PartyKind::kInner;
  const int member = party.number + 1;
  Node& node = nodes_.at(party);
  NodeTold told;
  told.name = bench::name_of(party);
  told.listen = text_of(addresses_.tcp(inner ? kInners : kNodes, member, kHttp));
  told.discovery = text_of(relay(party, kTheDiscovery).where());
  told.seed = options_.seed * 1000003 + static_cast<std::uint64_t>(member) * 1009 +
              static_cast<std::uint64_t>(node.lives) * (inner ? 31 : 17);
  told.position = party.number;
  told.count = inner ? cast_.inner : scenario_.copies;
  told.tier = inner ? 1 : 0;
  told.zone = cast_.zone_of(party);
  told.known = discovery_->known(party);
  if (hub_ && !inner) {
    told.peer_listen = text_of(addresses_.udp(kNodes, member, kPeer));
    told.peers_all = text_of(hub_->all());
    for (int i = 0; i < scenario_.copies; ++i)
      told.peers.push_back(text_of(hub_->face(static_cast<std::size_t>(i))));
  }
  if (!scenario_.operators.empty()) {
    std::ofstream operators(node.machine->folder() + "/operators.toml", std::ios::trunc);
    operators << scenario_.operators;
    if (!operators.flush()) throw std::runtime_error(node.machine->folder() + ": cannot be written");
  }
  const std::string path = node.machine->folder() + "/config.json";
  std::ofstream file(path + ".new", std::ios::trunc);
  file << node_config(scenario_, told);
  if (!file.flush()) throw std::runtime_error(path + ": cannot be written");
  file.close();
  std::filesystem::rename(path + ".new", path);
}

// ---------------------------------------------------------------- machines

void Fleet::start_node(const Party& party) {
  Node& node = nodes_.at(party);
  write_config(party);
  node.machine->start();
  node.lives += 1;
  node.wanted = true;
  node.started_at = history_.now();
  asio::co_spawn(io_, admit_when_listening(party, node.lives), asio::detached);
  note(Record::What::kUp, party);
  if (party.kind == PartyKind::kNode) callers_->expect(party.number);
}

// Until a process listens its machine refuses connections; a relay would take them, and break them.
asio::awaitable<void> Fleet::admit_when_listening(Party party, int life) {
  constexpr auto kPause = std::chrono::milliseconds(2);
  const bool inner = party.kind == PartyKind::kInner;
  const auto where = addresses_.tcp(inner ? kInners : kNodes, party.number + 1, kHttp);
  asio::steady_timer timer(io_);
  for (error_code bad = asio::error::connection_refused; bad;) {
    if (nodes_.at(party).lives != life || !nodes_.at(party).wanted) co_return;
    asio::ip::tcp::socket socket(io_);
    co_await socket.async_connect(where, asio::redirect_error(asio::use_awaitable, bad));
    if (!bad) break;
    error_code ignored;
    timer.expires_after(kPause);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (nodes_.at(party).lives == life && nodes_.at(party).wanted) refuse_to(party, false);
}

void Fleet::stop_node(const Party& party) {
  Node& node = nodes_.at(party);
  node.wanted = false;
  node.machine->kill();
  refuse_to(party, true);
  if (node.calls) node.calls->forget();
  note(Record::What::kDown, party);
}

asio::awaitable<void> Fleet::restart(Party party, double down) {
  Node& node = nodes_.at(party);
  if (!node.wanted) co_return;
  double longest = 0;
  for (const bench::LoadClass& c : scenario_.classes)
    longest = std::max(longest, std::min(c.told.client_timeout, kLongestDeadline));
  note(Record::What::kTerm, party);
  const int life = node.lives;
  node.wanted = false;  // it may end by itself now
  node.machine->terminate();
  if (party.kind == PartyKind::kNode) callers_->lost(party.number, kDealtOn);
  const double until = history_.now() + longest + kKillAfter;
  asio::steady_timer timer(io_);
  error_code ignored;
  while (node.machine->running() && history_.now() < until) {
    timer.expires_after(std::chrono::milliseconds(20));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (node.lives != life) co_return;  // another fault has started it meanwhile
  stop_node(party);
  timer.expires_at(history_.time_of(history_.now() + down));
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  if (node.lives == life) start_node(party);
}

// A share of a core: stopped and running in turn.
asio::awaitable<void> Fleet::starve(Party party, double share) {
  Node& node = nodes_.at(party);
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

// How a node sees the fleet stands in its log; it is put beside what the others saw at the moment it is read.
void Fleet::look_at_log(const Party& party, Node& node) {
  std::ifstream log(node.machine->folder() + "/log");
  if (!log.seekg(node.read)) return;
  constexpr std::string_view kMark = " event=replica_set_changed ";
  for (std::string line; std::getline(log, line) && !log.eof();) {
    node.read += static_cast<std::streamoff>(line.size()) + 1;
    const std::size_t at = line.find(kMark);
    if (at != std::string::npos) note(Record::What::kView, party, line.substr(at + kMark.size()));
  }
}

void Fleet::look_at_nodes() {
  for (auto& [party, node] : nodes_) {
    if (!scenario_.operators.empty() && party.kind == PartyKind::kNode) look_at_log(party, node);
    if (!node.wanted || node.machine->running()) continue;
    node.wanted = false;
    refuse_to(party, true);
    if (party.kind == PartyKind::kNode) callers_->lost(party.number, scenario_.clients.notice);
    const int status = node.machine->status();
    note(Record::What::kCrash, party,
         WIFSIGNALED(status) ? "ended by signal " + std::to_string(WTERMSIG(status))
                             : "ended with status " + std::to_string(WEXITSTATUS(status)));
  }
  if (history_.now() - looked_ >= kUsageEvery) {
    looked_ = history_.now();
    for (auto& [party, node] : nodes_) {
      if (!node.wanted) continue;
      const Machine::Usage usage = node.machine->usage();
      Record r;
      r.what = Record::What::kUsage;
      r.by = party;
      r.work = usage.cpu_s;
      r.status = static_cast<int>(usage.memory_kb);
      r.count = usage.descriptors;
      r.tier = static_cast<int>(party.kind == PartyKind::kNode ? callers_->kept(party.number)
                                                               : node.calls->kept());
      history_.add(r);
    }
    std::size_t open = 0;
    for (const auto& [party, server] : servers_) open += server->connections();
    Record r;
    r.what = Record::What::kOpen;
    r.by = kTheDiscovery;
    r.count = static_cast<int>(open);
    history_.add(r);
    history_.flush();
    if (options_.progress) options_.progress(history_.now(), "");
  }
  look_.expires_at(history_.time_of(history_.now() + kLookAtNodes));
  look_.async_wait([this](error_code cancelled) {
    if (!cancelled) look_at_nodes();
  });
}

void Fleet::look_at_clock() {
  tick_.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(std::chrono::duration<double>(kTick)));
  tick_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    const double late = std::chrono::duration<double>(Historian::Steady::now() - tick_.expiry()).count();
    if (late >= kWorthNoting) {
      Record r;
      r.what = Record::What::kLate;
      r.by = kTheDiscovery;
      r.work = late;
      history_.add(r);
    }
    look_at_clock();
  });
}

// ---------------------------------------------------------------- a day

void Fleet::start_nodes() {
  for (auto& [party, server] : servers_) {
    const auto& all = party.kind == PartyKind::kBackend ? scenario_.backends : scenario_.servers;
    if (all.at(static_cast<std::size_t>(party.number)).up) {
      server->up(false);
    } else {
      refuse_to(party, true);
    }
  }
  discovery_->up();
  std::vector<Party> inner;
  for (const auto& [party, node] : nodes_) {
    const bool beside = party.kind == PartyKind::kInner;
    if (!beside || servers_.at({PartyKind::kServer, party.number})->is_up()) start_node(party);
    if (beside && nodes_.at(party).wanted) inner.push_back(party);
  }
  // The servers' own nodes are looked at as the front looks at its own.
  const auto healthy = std::make_shared<std::size_t>(0);
  for (const Party& party : inner) {
    asio::co_spawn(
        io_,
        [](Fleet& fleet, Party who, std::shared_ptr<std::size_t> count) -> asio::awaitable<void> {
          asio::steady_timer timer(fleet.io_);
          error_code ignored;
          while (!co_await fleet.nodes_.at(who).calls->healthy()) {
            timer.expires_after(std::chrono::milliseconds(20));
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
          }
          *count += 1;
        }(*this, party, healthy),
        asio::detached);
  }
  const double until = history_.now() + kUpWithin;
  while (callers_->up() < static_cast<std::size_t>(scenario_.copies) || *healthy < inner.size()) {
    io_.run_for(std::chrono::milliseconds(10));
    for (auto& [party, node] : nodes_) {
      const bool ended = node.wanted && !node.machine->running();
      if (ended || history_.now() > until)
        throw std::runtime_error(options_.program + " did not come up; see " + node.machine->folder() +
                                 "/log: " + node.machine->log());
    }
  }
}

// The callers make them; here they are put beside the faults.
void Fleet::note_floods() {
  for (const bench::Flood& flood : scenario_.floods) {
    const std::string text = "flood of " + scenario_.tenants.at(flood.tenant).name +
                             (flood.copy < 0 ? "" : " through node:" + std::to_string(flood.copy));
    at(flood.at, [this, text] { note(Record::What::kFault, kTheDiscovery, text); });
    if (std::isfinite(flood.lasts))
      at(flood.at + flood.lasts, [this, text] { note(Record::What::kHealed, kTheDiscovery, text); });
  }
}

std::string Fleet::play() {
  start_nodes();
  constexpr double kBreath = 0.1;  // s; before the load
  history_.begin(kBreath);
  Record begin;
  begin.what = Record::What::kBegin;
  begin.limit = scenario_.seconds;
  history_.add(begin);
  std::vector<Party> writers{kTheCallers, kTheDiscovery};
  for (const auto& [party, server] : servers_) writers.push_back(party);
  for (const Party& party : writers) note(Record::What::kParty, party);
  go_through(plan(scenario_, options_.seed), 0);
  note_floods();
  look_at_clock();
  look_at_nodes();
  callers_->start();
  const double end = scenario_.seconds + kAfterwards;
  while (!callers_->done() && history_.now() < end) io_.run_for(std::chrono::milliseconds(20));
  // What a server works on for callers that have gone is still to be seen where it was sent: a moment more.
  const double quiet = history_.now() + 2 * kLookAtNodes;
  while (history_.now() < quiet) io_.run_for(std::chrono::milliseconds(10));
  if (callers_->done()) {
    for (const Party& party : writers) note(Record::What::kClosed, party);
  }
  history_.flush();
  finish();
  return options_.folder + "/history.jsonl";
}

void Fleet::finish() {
  for (auto& [party, node] : nodes_) {
    node.wanted = node.starved = false;
    node.machine->kill();
  }
}

}  // namespace thymewood::fleet
