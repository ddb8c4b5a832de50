#include "upstream.h"

#include <utility>

#include "connection_pool.h"

namespace thymewood::node {

Upstream::Upstream(boost::asio::io_context& io, const Limits& limits, MemoryBudget& memory_budget)
    : context_(std::make_shared<UpstreamContext>(io, limits, memory_budget,
                                                 static_cast<ConnectionEvictor&>(*this))) {}

Upstream::~Upstream() {
  context_->is_alive = false;
  for (auto& [server, pool] : pools_) pool->shut_down();
}

void Upstream::update_endpoint(const std::string& server, const boost::asio::ip::tcp::endpoint& endpoint,
                               double started_at, bool is_usable) {
  std::shared_ptr<ConnectionPool>& pool = pools_[server];
  if (!pool) pool = std::make_shared<ConnectionPool>(server, context_);
  pool->update_endpoint(endpoint, started_at, is_usable);
}

// After removal, only the active attempts and their connections own the pool. Endpoint names are not reused.
void Upstream::remove_endpoint(const std::string& server) {
  const auto it = pools_.find(server);
  if (it == pools_.end()) return;
  const std::shared_ptr<ConnectionPool> pool = it->second;
  pools_.erase(it);
  pool->remove_endpoint();
}

Upstream::Handle Upstream::start(const std::string& server, const std::shared_ptr<const HttpRequest>& request,
                                 AttemptTimeouts timeouts, bool is_retryable, AttemptCallbacks callbacks) {
  const auto attempt = std::make_shared<UpstreamAttempt>(context_, std::move(callbacks));
  const auto it = pools_.find(server);
  if (it == pools_.end() || !(timeouts.timeout > 0) || !(timeouts.send_timeout > 0)) {
    attempt->finish_later(Outcome::kNotSent);
  } else {
    attempt->start(it->second, request, timeouts, is_retryable);
  }
  return attempt;
}

void Upstream::shorten_deadline(const Handle& handle, Clock::Steady::time_point deadline) {
  if (const std::shared_ptr<UpstreamAttempt> attempt = handle.lock()) attempt->shorten_deadline(deadline);
}

void Upstream::cancel_if_unsent(const Handle& handle) {
  if (const std::shared_ptr<UpstreamAttempt> attempt = handle.lock()) attempt->cancel_if_unsent();
}

void Upstream::cancel(const Handle& handle) {
  if (const std::shared_ptr<UpstreamAttempt> attempt = handle.lock()) {
    attempt->finish_later(Outcome::kCancelled);
  }
}

bool Upstream::evict_longest_idle() {
  ConnectionPool* candidate = nullptr;
  for (auto& [server, pool] : pools_) {
    const UpstreamConnection* connection = pool->longest_idle();
    if (connection == nullptr) continue;
    if (candidate == nullptr || connection->timer.expiry() < candidate->longest_idle()->timer.expiry()) {
      candidate = pool.get();
    }
  }
  if (candidate == nullptr) return false;
  candidate->evict_longest_idle();
  return true;
}

}  // namespace thymewood::node
