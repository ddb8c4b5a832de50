#include "client_pool.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace thymewood::fleet {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr double kLook = 0.02;       // s; between two looks at a node that starts
constexpr double kNobody = 0.05;     // s; before a client who finds no node up looks again
constexpr double kLeastTime = 0.01;  // s; no attempt is begun with less
constexpr Actor kClients{ActorKind::kClients, 0};

}  // namespace

ClientPool::ClientPool(asio::io_context& io, const bench::Scenario& scenario, HistoryWriter& history,
                       const std::vector<HttpClient::Endpoint>& nodes, std::uint64_t seed)
    : io_(io), scenario_(scenario), history_(history), seed_(seed), random_(seed) {
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const Actor node{ActorKind::kNode, static_cast<int>(i)};
    nodes_.push_back({std::make_unique<HttpClient>(io, history, kClients, node, nodes[i]), false, 0});
  }
}

std::size_t ClientPool::up() const {
  return static_cast<std::size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [](const Node& n) { return n.up; }));
}

void ClientPool::expect(int node) {
  Node& n = nodes_.at(static_cast<std::size_t>(node));
  asio::co_spawn(io_, watch(node, ++n.life), asio::detached);
}

asio::awaitable<void> ClientPool::watch(int node, std::uint64_t life) {
  Node& n = nodes_.at(static_cast<std::size_t>(node));
  while (n.life == life) {
    const bool is_healthy = co_await n.client->is_healthy();
    if (n.life != life) co_return;
    if (is_healthy) {
      n.up = true;
      co_return;
    }
    co_await sleep(kLook);
  }
}

void ClientPool::lost(int node, double after) {
  Node& n = nodes_.at(static_cast<std::size_t>(node));
  const auto timer = std::make_shared<asio::steady_timer>(io_, history_.time_of(history_.now() + after));
  timer->async_wait([&n, timer, life = n.life](error_code cancelled) {
    if (cancelled || n.life != life) return;  // it has been started again meanwhile
    n.up = false;
    n.client->forget();
  });
}

void ClientPool::start() {
  ++loops_;
  asio::co_spawn(io_, open_loop(), asio::detached);
  for (const bench::Flood& each : scenario_.floods) {
    ++loops_;
    asio::co_spawn(io_, flood(each), asio::detached);
  }
  for (const bench::ClosedLoop& group : scenario_.closed_loops) {
    for (int i = 0; i < group.count; ++i) {
      ++loops_;
      asio::co_spawn(io_, loop(group), asio::detached);
    }
  }
}

asio::awaitable<void> ClientPool::sleep(double seconds) {
  asio::steady_timer timer(io_, history_.time_of(history_.now() + seconds));
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> ClientPool::open_loop() {
  bench::Arrivals arrivals(scenario_, seed_ ^ 0xA11);
  asio::steady_timer timer(io_);
  error_code ignored;
  for (double due = arrivals.after(0); due <= scenario_.seconds; due = arrivals.after(due)) {
    timer.expires_at(history_.time_of(due));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    asio::co_spawn(io_, one(nullptr), asio::detached);
  }
  timer.expires_at(history_.time_of(scenario_.seconds));
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  arrivals_over_ = true;
  --loops_;
}

asio::awaitable<void> ClientPool::one(const bench::Flood* flood) { co_await want(flood); }

asio::awaitable<void> ClientPool::flood(const bench::Flood& flood) {
  bench::Random random(seed_ ^ (0xF100D + flood.tenant));
  asio::steady_timer timer(io_);
  error_code ignored;
  const double end = std::min(flood.at + flood.lasts, scenario_.seconds);
  for (double due = flood.at + random.exponential(1 / flood.rate); due < end;
       due += random.exponential(1 / flood.rate)) {
    timer.expires_at(history_.time_of(due));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    asio::co_spawn(io_, one(&flood), asio::detached);
  }
  --loops_;
}

asio::awaitable<void> ClientPool::loop(const bench::ClosedLoop& group) {
  asio::steady_timer timer(io_, history_.time_of(group.from));
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  while (history_.now() < std::min(group.to, scenario_.seconds)) {
    const int status = co_await want(nullptr);
    const bool rejected = status == 429 || status == 503;
    const double wait = !rejected ? group.think : group.after_refusal < 0 ? advised_ : group.after_refusal;
    if (wait > 0) co_await sleep(wait);
  }
  --loops_;
}

int ClientPool::pick() {
  std::vector<int> all;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].up) all.push_back(static_cast<int>(i));
  }
  return all.empty() ? -1 : all[random_.below(all.size())];
}

// One thing that is wanted, with all its attempts.
// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity)
asio::awaitable<int> ClientPool::want(const bench::Flood* flood) {
  ++under_way_;
  const std::string first = "w" + std::to_string(++wants_);
  const std::size_t c = bench::draw_by_share(random_, scenario_.classes);
  const std::size_t tenant =
      flood != nullptr ? flood->tenant : bench::draw_by_share(random_, scenario_.tenants);
  // Pinned to one node, a flood waits until that one is up again.
  const int pinned = flood != nullptr ? flood->replica : -1;
  const RequestClass& settings = scenario_.classes[c].settings;
  const double due = history_.now(), until = due + settings.client_timeout;
  Record want;
  want.t = due;
  want.what = Record::What::kOperationBegan;
  want.by = kClients;
  want.first = first;
  want.request_class = static_cast<int>(c);
  want.tenant = static_cast<int>(tenant);
  history_.add(want);
  int status = 0;
  for (int attempts = 0; attempts <= scenario_.client_behavior.retries;) {
    const double left = until - history_.now();
    if (left < kLeastTime) break;
    const int node = pinned < 0 ? pick() : nodes_[static_cast<std::size_t>(pinned)].up ? pinned : -1;
    if (node < 0) {
      co_await sleep(std::min(kNobody, left));
      continue;
    }
    ClientRequest call;
    call.first = first;
    call.id = attempts == 0 ? first : first + "r" + std::to_string(attempts);
    call.class_name = scenario_.classes[c].name;
    call.request_class = static_cast<int>(c);
    call.tenant_number = static_cast<int>(tenant);
    if (!scenario_.tenants.empty()) call.tenant = scenario_.tenants[tenant].name;
    if (settings.idempotency == Idempotency::kIdempotentWithKey) call.key = call.id;
    call.body = settings.idempotency != Idempotency::kIdempotent;
    call.time = std::min(left, scenario_.client_behavior.attempt_share * settings.client_timeout);
    const bool leaves = scenario_.client_behavior.impatient_share > 0 &&
                        random_.unit() < scenario_.client_behavior.impatient_share;
    if (leaves) call.leaves = call.time / 2;
    ++attempts;
    const ClientResponse reply = co_await nodes_[static_cast<std::size_t>(node)].client->ask(call);
    status = reply.status;
    if (status == 200) break;
    advised_ = reply.advised;
    const double wait = std::max(scenario_.client_behavior.wait,
                                 scenario_.client_behavior.honors_retry_after ? reply.advised : 0);
    if (attempts <= scenario_.client_behavior.retries && wait > 0) co_await sleep(wait);
  }
  Record end = want;
  end.t = 0;
  end.what = Record::What::kOperationEnded;
  end.status = status;
  history_.add(end);
  --under_way_;
  co_return status;
}

}  // namespace thymewood::fleet
