#include "load_generator.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>

#include "http_messages.h"

namespace thymewood::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

asio::steady_timer::duration to_duration(double seconds) {
  return std::chrono::duration_cast<asio::steady_timer::duration>(std::chrono::duration<double>(seconds));
}

std::string build_request(const RequestClass& settings, const std::string& name, const std::string& id) {
  fleet::RequestHead head;
  head.host = "rig";
  head.class_name = name;
  head.operation_id = head.id = id;
  if (settings.idempotency == Idempotency::kIdempotentWithKey) head.idempotency_key = id;
  head.timeout_ms = std::lround(settings.client_timeout * 1000);
  head.has_body = settings.idempotency != Idempotency::kIdempotent;
  return fleet::serialize_http_request(head);
}

}  // namespace

LoadGenerator::LoadGenerator(asio::io_context& io, const Scenario& scenario,
                             std::vector<tcp::endpoint> replicas, std::chrono::steady_clock::time_point begin,
                             std::uint64_t seed, Observer observer)
    : io_(io),
      scenario_(scenario),
      replicas_(std::move(replicas)),
      begin_(begin),
      seed_(seed),
      random_(seed),
      observer_(std::move(observer)),
      idle_connections_(replicas_.size()) {}

double LoadGenerator::now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin_).count();
}

void LoadGenerator::start() {
  asio::co_spawn(io_, open_loop(), asio::detached);
  for (const ClosedLoop& group : scenario_.closed_loops) {
    for (int i = 0; i < group.count; ++i)
      asio::co_spawn(io_, closed_loop_client(group, i % static_cast<int>(replicas_.size())), asio::detached);
  }
}

asio::awaitable<void> LoadGenerator::open_loop() {
  Arrivals arrivals(scenario_, seed_ ^ 0xA11);
  asio::steady_timer timer(io_);
  error_code ignored;
  for (double due = arrivals.after(0); due <= scenario_.seconds; due = arrivals.after(due)) {
    timer.expires_at(begin_ + to_duration(due));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    asio::co_spawn(io_, send_detached(static_cast<int>(random_.below(replicas_.size())), due),
                   asio::detached);
  }
  timer.expires_at(begin_ + to_duration(scenario_.seconds));
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  arrivals_done_ = true;
}

asio::awaitable<void> LoadGenerator::send_detached(int replica, double due) { co_await send(replica, due); }

asio::awaitable<void> LoadGenerator::closed_loop_client(const ClosedLoop& group, int replica) {
  asio::steady_timer timer(io_, begin_ + to_duration(group.from));
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  while (now() < std::min(group.to, scenario_.seconds)) {
    const CompletedRequest request = co_await send(replica, now());
    const double wait = request.result == Final::kRejected ? std::max(0.0, group.after_refusal) : group.think;
    if (wait <= 0) continue;
    timer.expires_after(to_duration(wait));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

// Sends on an idle connection if there is one, otherwise on a new one. If the node has closed the idle
// connection in the meantime, it has not read the request, so the request is sent again on another
// connection.
//
// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity)
asio::awaitable<LoadGenerator::CompletedRequest> LoadGenerator::send(int replica, double due) {
  ++in_flight_;
  CompletedRequest out;
  out.id = "r" + std::to_string(++requests_);
  out.request_class = draw_by_share(random_, scenario_.classes);
  out.replica = replica;
  out.due = due;
  const LoadClass& c = scenario_.classes[out.request_class];
  const std::string text = build_request(c.settings, c.name, out.id);
  auto& idle = idle_connections_[static_cast<std::size_t>(replica)];
  for (;;) {
    const bool new_connection = idle.empty();
    std::shared_ptr<Socket> socket;
    error_code error;
    if (new_connection) {
      socket = std::make_shared<Socket>(io_);
      co_await socket->async_connect(replicas_[static_cast<std::size_t>(replica)],
                                     asio::redirect_error(asio::use_awaitable, error));
      if (!error) socket->set_option(tcp::no_delay(true), error);
    } else {
      socket = std::move(idle.back());
      idle.pop_back();
    }
    out.sent = now();
    // The connection is closed 1 s after the client timeout; the request then counts as failed.
    asio::steady_timer client_timer(io_, begin_ + to_duration(out.sent + c.settings.client_timeout + 1));
    // The timer may expire just as the exchange completes; by then the connection may carry another request.
    const auto exchange_done = std::make_shared<bool>(false);
    client_timer.async_wait([socket, exchange_done](error_code timer_error) {
      error_code ignored;
      if (!timer_error && !*exchange_done) socket->close(ignored);
    });
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!error)
      co_await asio::async_write(*socket, asio::buffer(text),
                                 asio::redirect_error(asio::use_awaitable, error));
    if (!error)
      co_await http::async_read(*socket, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    *exchange_done = true;
    client_timer.cancel();
    if (error && !new_connection && now() < out.sent + c.settings.client_timeout) continue;
    out.completed_at = now();
    out.response_received = !error;
    const unsigned status = error ? 0 : response.result_int();
    if (status == 200) out.result = response.body() == out.id ? Final::kServed : Final::kFailed;
    if (status == 429 || status == 503) out.result = Final::kRejected;
    if (!error && response.keep_alive()) idle.push_back(std::move(socket));
    break;
  }
  --in_flight_;
  observer_(out);
  co_return out;
}

}  // namespace thymewood::bench
