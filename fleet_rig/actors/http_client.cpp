#include "http_client.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <cstdlib>

#include "http_messages.h"

namespace thymewood::fleet {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

// In seconds. A client keeps reading for this long after its timeout, so that a late response is recorded as
// late.
constexpr double kLateResponseWindow = 0.3;
constexpr double kHealthCheckTimeout = 1;

asio::steady_timer::duration to_duration(double seconds) {
  return std::chrono::duration_cast<asio::steady_timer::duration>(std::chrono::duration<double>(seconds));
}

std::string serialize_request(const ClientRequest& request) {
  RequestHead head;
  head.host = "fleet";
  head.class_name = request.class_name;
  head.operation_id = request.operation_id;
  head.id = request.id;
  head.tenant = request.tenant;
  head.idempotency_key = request.idempotency_key;
  head.timeout_ms = std::max(1L, std::lround(request.timeout * 1000));
  head.has_body = request.has_body;
  return serialize_http_request(head);
}

// Closes a socket at its deadline. After the exchange has finished, the socket is left open, since it may be
// in use for the next request.
struct Deadline {
  Deadline(asio::io_context& io, std::shared_ptr<tcp::socket> socket, double seconds)
      : timer(io, to_duration(seconds)), state(std::make_shared<State>()) {
    timer.async_wait([socket = std::move(socket), state = state](error_code cancelled) {
      if (cancelled || state->finished) return;
      state->expired = true;
      error_code ignored;
      socket->close(ignored);
    });
  }
  ~Deadline() { cancel(); }
  void cancel() {
    state->finished = true;
    error_code ignored;
    timer.cancel(ignored);
  }
  struct State {
    bool finished = false, expired = false;
  };
  asio::steady_timer timer;
  std::shared_ptr<State> state;
};

}  // namespace

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity)
asio::awaitable<ClientResponse> HttpClient::send_request(ClientRequest request) {
  ClientResponse result;
  const std::string text = serialize_request(request);
  const double wait_limit =
      request.abandon_after > 0 ? request.abandon_after : request.timeout + kLateResponseWindow;
  const double started_at = history_.now();
  const auto record = [&](Record::What what, double limit) {
    Record r;
    r.what = what;
    r.by = client_;
    r.to = node_;
    r.id = request.id;
    r.operation_id = request.operation_id;
    r.request_class = request.request_class;
    r.tenant = request.tenant_index;
    r.tier = request.tier;
    r.status = result.status;
    r.wait = result.retry_after;
    r.limit = limit;
    history_.add(r);
  };
  for (;;) {
    const bool is_new_connection = idle_connections_.empty();
    std::shared_ptr<Socket> socket;
    if (is_new_connection) {
      socket = std::make_shared<Socket>(io_);
    } else {
      socket = std::move(idle_connections_.back());
      idle_connections_.pop_back();
    }
    Deadline deadline(io_, socket, std::max(0.001, started_at + wait_limit - history_.now()));
    error_code error;
    if (is_new_connection) {
      co_await socket->async_connect(node_endpoint_, asio::redirect_error(asio::use_awaitable, error));
      error_code ignored;
      if (!error) socket->set_option(tcp::no_delay(true), ignored);
    }
    if (!error)
      co_await asio::async_write(*socket, asio::buffer(text),
                                 asio::redirect_error(asio::use_awaitable, error));
    if (error && !is_new_connection && !deadline.state->expired)
      continue;  // the node closed it while it was idle
    if (error) co_return result;
    result.request_sent = true;
    record(Record::What::kRequestSent, history_.now() + request.timeout);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(*socket, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    deadline.cancel();
    if (!error) {
      result.status = static_cast<int>(response.result_int());
      // A response that belongs to another request counts as a failure.
      if (result.status == 200 && response.body() != request.id) result.status = 599;
      result.retry_after = std::strtod(std::string(response[http::field::retry_after]).c_str(), nullptr);
      record(Record::What::kResponse, 0);
      if (response.keep_alive()) idle_connections_.push_back(std::move(socket));
      co_return result;
    }
    if (deadline.state->expired) {
      record(Record::What::kClientDisconnected, 0);
      co_return result;
    }
    // The node may close an idle connection just as a request is sent; the request is resent on another one.
    if (!is_new_connection) continue;
    record(Record::What::kConnectionBroken, 0);
    co_return result;
  }
}

asio::awaitable<bool> HttpClient::is_healthy() {
  const auto socket = std::make_shared<Socket>(io_);
  Deadline deadline(io_, socket, kHealthCheckTimeout);
  error_code error;
  static const std::string text = "GET /_health HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n";
  co_await socket->async_connect(node_endpoint_, asio::redirect_error(asio::use_awaitable, error));
  if (!error)
    co_await asio::async_write(*socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  if (!error)
    co_await http::async_read(*socket, buffer, response, asio::redirect_error(asio::use_awaitable, error));
  co_return !error && response.result() == http::status::ok;
}

}  // namespace thymewood::fleet
