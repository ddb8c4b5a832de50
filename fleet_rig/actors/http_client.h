// An HTTP client of a node as PROTOCOL has it: one request at a time on a connection, persistent connections,
// a new one when all are busy. Writes what it saw to the history.
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
  std::string id, first;                // of this attempt, and of the first one of all
  std::string class_name, tenant, key;  // key: empty unless the class is keyed
  int request_class = 0, tenant_number = 0, tier = 0;
  bool body = true;   // false: a GET
  double time = 1;    // s; the timeout that the node is given
  double leaves = 0;  // s after which it closes all the same; 0: it waits for what it said, and a moment
};

struct ClientResponse {
  int status = 0;      // 0: no answer was heard
  double advised = 0;  // s, from Retry-After
  bool asked = false;  // the request was written completely
};

class HttpClient {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  // `by` asks `node`, which is reached at `where`.
  HttpClient(boost::asio::io_context& io, HistoryWriter& history, const Actor& by, const Actor& node,
             const Endpoint& where)
      : io_(io), history_(history), by_(by), node_(node), where_(where) {}

  // By value: the caller's object may not live until the answer arrives.
  boost::asio::awaitable<ClientResponse> ask(ClientRequest call);
  // One that waits for ever says nothing to the history: GET /_health, whether it was answered 200.
  boost::asio::awaitable<bool> is_healthy();
  void forget() { idle_connections_.clear(); }
  std::size_t idle_connections() const {
    return idle_connections_.size();
  }  // connections open and not in use
  const Actor& node() const { return node_; }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  boost::asio::io_context& io_;
  HistoryWriter& history_;
  Actor by_, node_;
  Endpoint where_;
  std::vector<std::shared_ptr<Socket>> idle_connections_;
};

}  // namespace thymewood::fleet
