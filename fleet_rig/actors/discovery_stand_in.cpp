#include "discovery_stand_in.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <sstream>
#include <utility>

#include "sockets.h"

namespace thymewood::fleet {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::seconds kKeepAlive{2};  // PROTOCOL: an empty line is sent while nothing changes

std::string chunk(const std::string& bytes) {
  std::ostringstream size;
  size << std::hex << bytes.size();
  return size.str() + "\r\n" + bytes + "\r\n";
}

const char* status_name(DiscoveryStandIn::Status status) {
  return status == DiscoveryStandIn::Status::kUp         ? "up"
         : status == DiscoveryStandIn::Status::kDraining ? "draining"
                                                         : "removed";
}

}  // namespace

DiscoveryStandIn::DiscoveryStandIn(asio::io_context& io, const bench::Scenario& scenario,
                                   HistoryWriter& history, const Endpoint& endpoint, Access access,
                                   std::uint64_t seed)
    : io_(io),
      scenario_(scenario),
      history_(history),
      endpoint_(endpoint),
      access_(std::move(access)),
      random_(seed),
      acceptor_(io) {
  for (const bench::ScenarioServer& s : scenario.servers)
    servers_.push_back({s.up ? Status::kUp : Status::kRemoved, 0});
  for (const bench::ScenarioServer& s : scenario.backends)
    backends_.push_back({s.up ? Status::kUp : Status::kRemoved, 0});
}

DiscoveryStandIn::~DiscoveryStandIn() {
  *alive_ = false;
  stop();
}

void DiscoveryStandIn::start() {
  if (acceptor_.is_open()) return;
  ++generation_;
  endpoint_ = listen_at(acceptor_, endpoint_);
  asio::co_spawn(io_, accept(generation_), asio::detached);
}

void DiscoveryStandIn::stop() {
  ++generation_;
  error_code ignored;
  acceptor_.close(ignored);
  for (auto& [node, view] : views_) {
    if (view.watch) view.watch->close(ignored);
    view.watch.reset();
  }
}

ActorKind DiscoveryStandIn::listed_kind(const Actor& node) const {
  return node.kind == ActorKind::kSidecar ? ActorKind::kBackend : ActorKind::kServer;
}

DiscoveryStandIn::View& DiscoveryStandIn::view_of(const Actor& node) {
  const auto [it, inserted] = views_.try_emplace(node);
  if (inserted) {
    it->second.entries = listed_kind(node) == ActorKind::kBackend ? backends_ : servers_;
    it->second.lag = scenario_.discovery.lag + scenario_.discovery.spread * random_.unit();
  }
  return it->second;
}

void DiscoveryStandIn::set_status(const Actor& server, Status status, std::int64_t since_ms) {
  std::vector<Entry>& all = server.kind == ActorKind::kBackend ? backends_ : servers_;
  // The view of a node that has not connected yet starts with the list as it was before this change.
  const bench::Topology topology = scenario_.topology();
  for (const Actor& node : topology.all_actors()) {
    if (node.kind == ActorKind::kNode || node.kind == ActorKind::kSidecar) view_of(node);
  }
  Entry& entry = all.at(static_cast<std::size_t>(server.number));
  entry.status = status;
  if (since_ms != 0) entry.since_ms = since_ms;
  for (auto& [node, view] : views_) {
    if (listed_kind(node) != server.kind) continue;
    const double lag = view.lag + extra_lag_;
    if (lag <= 0) {
      notify(node, server, entry);
      continue;
    }
    const auto timer = std::make_shared<asio::steady_timer>(io_, history_.time_of(history_.now() + lag));
    timer->async_wait([this, alive = alive_, timer, node = node, server, entry](error_code cancelled) {
      if (!cancelled && *alive) notify(node, server, entry);
    });
  }
}

void DiscoveryStandIn::notify(const Actor& node, const Actor& server, const Entry& entry) {
  View& view = view_of(node);
  view.entries.at(static_cast<std::size_t>(server.number)) = entry;
  view.index += 1;
  if (!view.watch) return;
  write(view.watch, chunk(R"({"index":)" + std::to_string(view.index) + R"(,"snapshot":false,"endpoints":[)" +
                          this->entry(node, server.number, entry) + "]}\n"));
  record_notified(node, view, server, entry.status);
}

void DiscoveryStandIn::record_notified(const Actor& node, View& view, const Actor& server, Status status) {
  Record notified;
  notified.what = Record::What::kNotified;
  notified.by = node;
  notified.to = server;
  notified.flag = status == Status::kUp;
  if (access_.is_reachable(node)) {
    history_.add(notified);
  } else {
    view.undelivered.push_back(notified);
  }
}

void DiscoveryStandIn::link_restored(const Actor& node) {
  View& view = view_of(node);
  for (const Record& notified : std::exchange(view.undelivered, {})) history_.add(notified);
}

std::string DiscoveryStandIn::entry(const Actor& node, int server, const Entry& entry) const {
  const Actor actor{listed_kind(node), server};
  const bench::ScenarioServer& s =
      (actor.kind == ActorKind::kBackend ? scenario_.backends : scenario_.servers)
          .at(static_cast<std::size_t>(server));
  std::ostringstream out;
  out << R"({"name":")" << bench::name_of(actor) << R"(","address":")" << access_.address(node, actor)
      << R"(","zone":"z)" << s.zone << R"(","group":)" << s.cell << R"(,"status":")"
      << status_name(entry.status) << R"(","weight":)" << s.weight << R"(,"since_ms":)" << entry.since_ms
      << "}";
  return out.str();
}

std::string DiscoveryStandIn::list(const Actor& node, const View& view) const {
  std::string entries;
  for (std::size_t i = 0; i < view.entries.size(); ++i) {
    if (view.entries[i].status == Status::kRemoved) continue;
    entries += (entries.empty() ? "" : ",") + entry(node, static_cast<int>(i), view.entries[i]);
  }
  return R"({"index":)" + std::to_string(view.index) + R"(,"snapshot":true,"endpoints":[)" + entries + "]}";
}

std::string DiscoveryStandIn::initial_list(const Actor& node) { return list(node, view_of(node)); }

asio::awaitable<void> DiscoveryStandIn::accept(std::uint64_t generation) {
  for (;;) {
    error_code error;
    tcp::socket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error || generation != generation_) co_return;
    asio::co_spawn(io_, serve(std::make_shared<Socket>(std::move(socket)), generation), asio::detached);
  }
}

asio::awaitable<void> DiscoveryStandIn::serve(std::shared_ptr<Socket> socket, std::uint64_t generation) {
  boost::beast::flat_buffer buffer;
  error_code error;
  http::request<http::empty_body> request;
  co_await http::async_read(*socket, buffer, request, asio::redirect_error(asio::use_awaitable, error));
  if (error || generation != generation_) co_return;
  const auto origin = access_.origin(socket->remote_endpoint(error).port());
  if (!origin) co_return;
  const Actor node = origin->from;
  const bool watch = std::string_view(request.target().data(), request.target().size()).find("watch=1") !=
                     std::string_view::npos;
  const std::string all = list(node, view_of(node));
  if (!watch) {
    write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(all.size()) +
                      "\r\n\r\n" + all);
    co_return;
  }
  View& view = view_of(node);
  view.watch = socket;
  write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(all + "\n"));
  for (std::size_t i = 0; i < view.entries.size(); ++i)
    record_notified(node, view, {listed_kind(node), static_cast<int>(i)}, view.entries[i].status);
  asio::co_spawn(io_, keep_alive(socket), asio::detached);
  // A watch carries no further request, so this read completes when the node closes the connection.
  char byte = 0;
  co_await socket->async_read_some(asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, error));
  if (generation == generation_ && view_of(node).watch == socket) view_of(node).watch.reset();
  error_code ignored;
  socket->close(ignored);
}

asio::awaitable<void> DiscoveryStandIn::keep_alive(std::shared_ptr<Socket> socket) {
  asio::steady_timer timer(io_);
  error_code error;
  while (!error && socket->is_open()) {
    timer.expires_after(kKeepAlive);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (!error && socket->is_open()) write(socket, chunk("\n"));
  }
}

// Never blocks: if the node doesn't read and the kernel's send buffer is full, the watch is closed and the
// remaining bytes are lost.
void DiscoveryStandIn::write(const std::shared_ptr<Socket>& socket, const std::string& text) {
  error_code error;
  socket->non_blocking(true, error);
  const std::size_t written = socket->write_some(asio::buffer(text), error);
  if (error || written != text.size()) socket->close(error);
}

}  // namespace thymewood::fleet
