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

// s. A client listens for a moment longer than it said, so that an answer that comes too late is seen as
// such.
constexpr double kPatience = 0.3;
constexpr double kHealthWait = 1;

asio::steady_timer::duration span(double seconds) {
  return std::chrono::duration_cast<asio::steady_timer::duration>(std::chrono::duration<double>(seconds));
}

std::string text_of(const ClientRequest& call) {
  RequestHead head;
  head.host = "fleet";
  head.class_name = call.class_name;
  head.operation = call.first;
  head.id = call.id;
  head.tenant = call.tenant;
  head.key = call.key;
  head.timeout_ms = std::max(1L, std::lround(call.time * 1000));
  head.has_body = call.body;
  return request_text(head);
}

// Closes a socket when its time is up, unless the exchange is over by then: the connection may carry another.
struct Limit {
  Limit(asio::io_context& io, std::shared_ptr<tcp::socket> socket, double seconds)
      : timer(io, span(seconds)), state(std::make_shared<State>()) {
    timer.async_wait([socket = std::move(socket), state = state](error_code cancelled) {
      if (cancelled || state->over) return;
      state->hit = true;
      error_code ignored;
      socket->close(ignored);
    });
  }
  ~Limit() { end(); }
  void end() {
    state->over = true;
    error_code ignored;
    timer.cancel(ignored);
  }
  struct State {
    bool over = false, hit = false;
  };
  asio::steady_timer timer;
  std::shared_ptr<State> state;
};

}  // namespace

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity)
asio::awaitable<ClientResponse> HttpClient::ask(ClientRequest call) {
  ClientResponse reply;
  const std::string text = text_of(call);
  const double listens = call.leaves > 0 ? call.leaves : call.time + kPatience;
  const double begun = history_.now();
  const auto note = [&](Record::What what, double limit) {
    Record r;
    r.what = what;
    r.by = by_;
    r.to = node_;
    r.id = call.id;
    r.first = call.first;
    r.request_class = call.request_class;
    r.tenant = call.tenant_number;
    r.tier = call.tier;
    r.status = reply.status;
    r.wait = reply.advised;
    r.limit = limit;
    history_.add(r);
  };
  for (;;) {
    const bool fresh = idle_connections_.empty();
    std::shared_ptr<Socket> socket;
    if (fresh) {
      socket = std::make_shared<Socket>(io_);
    } else {
      socket = std::move(idle_connections_.back());
      idle_connections_.pop_back();
    }
    Limit limit(io_, socket, std::max(0.001, begun + listens - history_.now()));
    error_code problem;
    if (fresh) {
      co_await socket->async_connect(where_, asio::redirect_error(asio::use_awaitable, problem));
      error_code ignored;
      if (!problem) socket->set_option(tcp::no_delay(true), ignored);
    }
    if (!problem)
      co_await asio::async_write(*socket, asio::buffer(text),
                                 asio::redirect_error(asio::use_awaitable, problem));
    if (problem && !fresh && !limit.state->hit) continue;  // closed while it was idle
    if (problem) co_return reply;
    reply.asked = true;
    note(Record::What::kRequestSent, history_.now() + call.time);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    co_await http::async_read(*socket, buffer, answer, asio::redirect_error(asio::use_awaitable, problem));
    limit.end();
    if (!problem) {
      reply.status = static_cast<int>(answer.result_int());
      // An answer that is not this request's is none.
      if (reply.status == 200 && answer.body() != call.id) reply.status = 599;
      reply.advised = std::strtod(std::string(answer[http::field::retry_after]).c_str(), nullptr);
      note(Record::What::kResponse, 0);
      if (answer.keep_alive()) idle_connections_.push_back(std::move(socket));
      co_return reply;
    }
    if (limit.state->hit) {
      note(Record::What::kClientLeft, 0);
      co_return reply;
    }
    // The node may close an idle connection as a request is sent; that request is sent again on another.
    if (!fresh) continue;
    note(Record::What::kConnectionBroken, 0);
    co_return reply;
  }
}

asio::awaitable<bool> HttpClient::is_healthy() {
  const auto socket = std::make_shared<Socket>(io_);
  Limit limit(io_, socket, kHealthWait);
  error_code problem;
  static const std::string text = "GET /_health HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n";
  co_await socket->async_connect(where_, asio::redirect_error(asio::use_awaitable, problem));
  if (!problem)
    co_await asio::async_write(*socket, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, problem));
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> answer;
  if (!problem)
    co_await http::async_read(*socket, buffer, answer, asio::redirect_error(asio::use_awaitable, problem));
  co_return !problem && answer.result() == http::status::ok;
}

}  // namespace thymewood::fleet
