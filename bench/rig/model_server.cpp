#include "model_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <limits>

#include "http_messages.h"

namespace thymewood::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

ModelServer::ModelServer(asio::io_context& io, const Scenario& scenario, std::size_t index,
                         std::chrono::steady_clock::time_point begin, std::uint64_t seed, Observer observer)
    : io_(io),
      scenario_(scenario),
      index_(index),
      begin_(begin),
      acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      completion_timer_(io),
      model_(scenario.servers[index].capacity, -std::numeric_limits<double>::infinity()),
      random_(seed),
      observer_(std::move(observer)) {}

void ModelServer::start() { asio::co_spawn(io_, accept(), asio::detached); }

void ModelServer::slow_down(double factor) {
  advance_model();
  model_.slow_down(factor);
}

double ModelServer::now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin_).count();
}

asio::awaitable<void> ModelServer::accept() {
  for (;;) {
    error_code error;
    tcp::socket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    socket.set_option(tcp::no_delay(true), error);
    asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> ModelServer::serve(tcp::socket socket) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    error_code error;
    http::request<http::string_body> request;
    co_await http::async_read(socket, buffer, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    const std::string id(request["X-Request-ID"]);
    const bool served = co_await process(id, std::string(request["X-Priority-Class"]));
    const auto response =
        fleet::server_response(served ? http::status::ok : http::status::service_unavailable, id);
    co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
  }
}

asio::awaitable<bool> ModelServer::process(const std::string& id, const std::string& class_name) {
  const LoadClass& c = scenario_.class_named(class_name);
  const double work = c.service.draw(random_);
  advance_model();
  const double at = now();
  const std::uint64_t number = ++requests_;
  const double warmup_rate = model_.warmth(at) < 1 ? model_.rate(at, 1) : 0;
  const bool accepted = model_.arrive(at, number, work);
  observer_({at, index_, id, work, warmup_rate, !accepted});
  if (!accepted) co_return false;
  const auto waiter = std::make_shared<Waiter>(io_);
  waiter->timer.expires_at(asio::steady_timer::time_point::max());
  waiters_[number] = waiter;
  schedule_next_completion();
  error_code ignored;
  if (!waiter->ended) co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  work_done_ += work;
  co_return true;
}

void ModelServer::advance_model() {
  std::vector<std::uint64_t> ended;
  model_.advance(now(), ended);
  for (const std::uint64_t number : ended) {
    const auto at = waiters_.find(number);
    at->second->ended = true;
    at->second->timer.cancel();
    waiters_.erase(at);
  }
}

void ModelServer::schedule_next_completion() {
  const std::optional<double> next = model_.next();
  if (!next) return;
  completion_timer_.expires_at(begin_ + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                            std::chrono::duration<double>(*next)));
  completion_timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    advance_model();
    schedule_next_completion();
  });
}

}  // namespace thymewood::bench
