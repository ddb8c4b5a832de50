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

constexpr double kHealthPollInterval = 0.02;   // s; between two health checks of a starting node
constexpr double kNoNodeRetryInterval = 0.05;  // s; wait of a client that finds no node available
constexpr double kMinAttemptTimeout = 0.01;    // s; no attempt starts with less time left
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

std::size_t ClientPool::available_count() const {
  return static_cast<std::size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [](const Node& n) { return n.available; }));
}

void ClientPool::add_when_healthy(int node) {
  Node& target = nodes_.at(static_cast<std::size_t>(node));
  asio::co_spawn(io_, wait_until_healthy(node, ++target.generation), asio::detached);
}

asio::awaitable<void> ClientPool::wait_until_healthy(int node, std::uint64_t generation) {
  Node& target = nodes_.at(static_cast<std::size_t>(node));
  while (target.generation == generation) {
    const bool is_healthy = co_await target.client->is_healthy();
    if (target.generation != generation) co_return;
    if (is_healthy) {
      target.available = true;
      co_return;
    }
    co_await sleep(kHealthPollInterval);
  }
}

void ClientPool::remove_after(int node, double detection_delay) {
  Node& target = nodes_.at(static_cast<std::size_t>(node));
  const auto timer =
      std::make_shared<asio::steady_timer>(io_, history_.time_of(history_.now() + detection_delay));
  timer->async_wait([&target, timer, generation = target.generation](error_code cancelled) {
    if (cancelled || target.generation != generation) return;  // the node has restarted meanwhile
    target.available = false;
    target.client->drop_idle_connections();
  });
}

void ClientPool::start() {
  ++active_generators_;
  asio::co_spawn(io_, run_open_loop(), asio::detached);
  for (const bench::Flood& each : scenario_.floods) {
    ++active_generators_;
    asio::co_spawn(io_, run_flood(each), asio::detached);
  }
  for (const bench::ClosedLoop& group : scenario_.closed_loops) {
    for (int i = 0; i < group.count; ++i) {
      ++active_generators_;
      asio::co_spawn(io_, run_closed_loop(group), asio::detached);
    }
  }
}

asio::awaitable<void> ClientPool::sleep(double seconds) {
  asio::steady_timer timer(io_, history_.time_of(history_.now() + seconds));
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> ClientPool::run_open_loop() {
  bench::Arrivals arrivals(scenario_, seed_ ^ 0xA11);
  asio::steady_timer timer(io_);
  error_code ignored;
  for (double due = arrivals.after(0); due <= scenario_.seconds; due = arrivals.after(due)) {
    timer.expires_at(history_.time_of(due));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    asio::co_spawn(io_, run_operation(nullptr), asio::detached);
  }
  timer.expires_at(history_.time_of(scenario_.seconds));
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  arrivals_over_ = true;
  --active_generators_;
}

asio::awaitable<void> ClientPool::run_operation(const bench::Flood* flood) {
  co_await perform_operation(flood);
}

asio::awaitable<void> ClientPool::run_flood(const bench::Flood& flood) {
  bench::Random random(seed_ ^ (0xF100D + flood.tenant));
  asio::steady_timer timer(io_);
  error_code ignored;
  const double end = std::min(flood.at + flood.lasts, scenario_.seconds);
  for (double due = flood.at + random.exponential(1 / flood.rate); due < end;
       due += random.exponential(1 / flood.rate)) {
    timer.expires_at(history_.time_of(due));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    asio::co_spawn(io_, run_operation(&flood), asio::detached);
  }
  --active_generators_;
}

asio::awaitable<void> ClientPool::run_closed_loop(const bench::ClosedLoop& group) {
  asio::steady_timer timer(io_, history_.time_of(group.from));
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  while (history_.now() < std::min(group.to, scenario_.seconds)) {
    const int status = co_await perform_operation(nullptr);
    const bool rejected = status == 429 || status == 503;
    const double wait = !rejected                 ? group.think
                        : group.after_refusal < 0 ? last_retry_after_
                                                  : group.after_refusal;
    if (wait > 0) co_await sleep(wait);
  }
  --active_generators_;
}

int ClientPool::pick_node() {
  std::vector<int> available;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].available) available.push_back(static_cast<int>(i));
  }
  return available.empty() ? -1 : available[random_.below(available.size())];
}

// One client operation with all its attempts; returns the last status.
// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity)
asio::awaitable<int> ClientPool::perform_operation(const bench::Flood* flood) {
  ++operations_in_flight_;
  const std::string operation_id = "w" + std::to_string(++operation_count_);
  const std::size_t class_index = bench::draw_by_share(random_, scenario_.classes);
  const std::size_t tenant_index =
      flood != nullptr ? flood->tenant : bench::draw_by_share(random_, scenario_.tenants);
  // A flood that is pinned to one node waits until that node is available.
  const int pinned_node = flood != nullptr ? flood->replica : -1;
  const RequestClass& settings = scenario_.classes[class_index].settings;
  const double started_at = history_.now(), deadline = started_at + settings.client_timeout;
  Record began;
  began.t = started_at;
  began.what = Record::What::kOperationBegan;
  began.by = kClients;
  began.operation_id = operation_id;
  began.request_class = static_cast<int>(class_index);
  began.tenant = static_cast<int>(tenant_index);
  history_.add(began);
  int status = 0;
  for (int attempts = 0; attempts <= scenario_.client_behavior.retries;) {
    const double remaining = deadline - history_.now();
    if (remaining < kMinAttemptTimeout) break;
    const int node = pinned_node < 0                                           ? pick_node()
                     : nodes_[static_cast<std::size_t>(pinned_node)].available ? pinned_node
                                                                               : -1;
    if (node < 0) {
      co_await sleep(std::min(kNoNodeRetryInterval, remaining));
      continue;
    }
    ClientRequest request;
    request.operation_id = operation_id;
    request.id = attempts == 0 ? operation_id : operation_id + "r" + std::to_string(attempts);
    request.class_name = scenario_.classes[class_index].name;
    request.request_class = static_cast<int>(class_index);
    request.tenant_index = static_cast<int>(tenant_index);
    if (!scenario_.tenants.empty()) request.tenant = scenario_.tenants[tenant_index].name;
    if (settings.idempotency == Idempotency::kIdempotentWithKey) request.idempotency_key = request.id;
    request.has_body = settings.idempotency != Idempotency::kIdempotent;
    request.timeout = std::min(remaining, scenario_.client_behavior.attempt_share * settings.client_timeout);
    const bool abandons = scenario_.client_behavior.impatient_share > 0 &&
                          random_.unit() < scenario_.client_behavior.impatient_share;
    if (abandons) request.abandon_after = request.timeout / 2;
    ++attempts;
    const ClientResponse response =
        co_await nodes_[static_cast<std::size_t>(node)].client->send_request(request);
    status = response.status;
    if (status == 200) break;
    last_retry_after_ = response.retry_after;
    const double backoff = std::max(scenario_.client_behavior.wait,
                                    scenario_.client_behavior.honors_retry_after ? response.retry_after : 0);
    if (attempts <= scenario_.client_behavior.retries && backoff > 0) co_await sleep(backoff);
  }
  Record ended = began;
  ended.t = 0;
  ended.what = Record::What::kOperationEnded;
  ended.status = status;
  history_.add(ended);
  --operations_in_flight_;
  co_return status;
}

}  // namespace thymewood::fleet
