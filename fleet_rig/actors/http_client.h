// HTTP client of a node, as PROTOCOL specifies: one request at a time per connection, keep-alive connections,
// and a new connection when all are busy. Records what it observes in the history.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "history_writer.h"

namespace thymewood::fleet {

struct ClientRequest {
  std::string id, operation_id;                     // of this attempt, and of the operation's first attempt
  std::string class_name, tenant, idempotency_key;  // idempotency_key: empty unless the class requires one
  int request_class = 0, tenant_index = 0, tier = 0;
  bool has_body = true;      // false: a GET
  double timeout = 1;        // s; sent to the node as X-Timeout-Ms
  double abandon_after = 0;  // s until the client closes early; 0: it waits for `timeout` plus a grace period
};

struct ClientResponse {
  int status = 0;             // 0: no response was received
  double retry_after = 0;     // s, from Retry-After
  bool request_sent = false;  // the request was written completely
};

class HttpClient {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  // `client` sends requests to `node`, which is reached at `node_endpoint`.
  HttpClient(boost::asio::io_context& io, HistoryWriter& history, const Actor& client, const Actor& node,
             const Endpoint& node_endpoint)
      : io_(io), history_(history), client_(client), node_(node), node_endpoint_(node_endpoint) {}

  // By value: the caller's object may be destroyed before the response arrives.
  boost::asio::awaitable<ClientResponse> send_request(ClientRequest request);
  // Whether GET /_health returns 200 within the health check timeout. Records nothing in the history.
  boost::asio::awaitable<bool> is_healthy();
  void drop_idle_connections() { idle_connections_.clear(); }
  std::size_t idle_connections() const {
    return idle_connections_.size();
  }  // open connections that are not in use
  const Actor& node() const { return node_; }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  boost::asio::io_context& io_;
  HistoryWriter& history_;
  Actor client_, node_;
  Endpoint node_endpoint_;
  std::vector<std::shared_ptr<Socket>> idle_connections_;
};

}  // namespace thymewood::fleet
