#include "discovery.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace review {

std::string list_text(std::uint64_t version, bool is_whole, const std::vector<Endpoint>& entries) {
  std::ostringstream text;
  text << R"({"index":)" << version << R"(,"snapshot":)" << (is_whole ? "true" : "false")
       << R"(,"endpoints":[)";
  const char* separator = "";
  for (const Endpoint& entry : entries) {
    if (is_whole && entry.status != "up") continue;
    text << std::exchange(separator, ",") << R"({"name":")" << entry.name << R"(","address":"127.0.0.1:)"
         << entry.port << R"(","zone":")" << entry.zone << R"(","type":"front-2c","group":)" << entry.group
         << R"(,"status":")" << entry.status << R"(","weight":1.0,"since_ms":0})";
  }
  text << "]}";
  return text.str();
}

Discovery::Discovery(std::vector<Endpoint> endpoints, Ledger& ledger)
    : ledger_(ledger),
      listener_(listen_on_loopback()),
      endpoints_(std::move(endpoints)),
      thread_([this] { run(); }) {}

Discovery::~Discovery() {
  is_stopping_ = true;
  thread_.join();
}

std::string Discovery::whole_list() {
  const std::lock_guard lock(mutex_);
  return list_text(version_, true, endpoints_);
}

void Discovery::set_status(const std::string& name, const std::string& status) {
  const std::lock_guard lock(mutex_);
  ++version_;
  std::vector<Endpoint> changed;
  for (Endpoint& endpoint : endpoints_) {
    if (endpoint.name != name) continue;
    endpoint.status = status;
    changed.push_back(endpoint);
  }
  std::size_t watches = 0;
  for (Connection& connection : connections_) {
    if (!connection.is_watch) continue;
    send_line(connection, list_text(version_, false, changed));
    ++watches;
  }
  ledger_.note("discovery server=" + name + " status=" + status +
               " written_to_watches=" + std::to_string(watches));
}

void Discovery::go_down() {
  const std::lock_guard lock(mutex_);
  is_down_ = true;
  reset_all();
  ledger_.note("discovery down");
}

void Discovery::come_back() {
  const std::lock_guard lock(mutex_);
  const std::size_t waiting = connections_.size();
  reset_all();
  is_down_ = false;
  ledger_.note("discovery back calls_that_had_waited=" + std::to_string(waiting));
}

void Discovery::reset_all() {
  for (Connection& connection : connections_) connection.socket.reset();
  connections_.clear();
}

void Discovery::run() {
  constexpr double kTick = 0.002;      // s
  constexpr double kLineInterval = 2;  // s; an empty line while nothing changes
  while (!is_stopping_) {
    if (listener_.socket.wait_readable(now() + kTick)) {
      Connection connection;
      connection.socket = accept_from(listener_);
      const std::lock_guard lock(mutex_);
      if (connection.socket.is_open()) connections_.push_back(std::move(connection));
    }
    const std::lock_guard lock(mutex_);
    for (Connection& connection : connections_) {
      read_from(connection);
      if (connection.is_watch && now() >= connection.last_line_at + kLineInterval) send_line(connection, "");
    }
    connections_.remove_if([](const Connection& connection) { return !connection.socket.is_open(); });
  }
}

void Discovery::read_from(Connection& connection) {
  if (!connection.socket.wait_readable(now())) return;
  const std::string bytes = connection.socket.receive();
  if (bytes.empty()) return connection.socket.close();
  connection.received.append(bytes);
  if (!connection.received.next()) return;
  ledger_.note(std::string("discovery called ") + (is_down_ ? "(down: no answer)" : "(answered at once)"));
  if (!is_down_) answer(connection);
}

void Discovery::answer(Connection& connection) {
  connection.is_watch = true;
  static_cast<void>(connection.socket.send_all("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
  send_line(connection, list_text(version_, true, endpoints_));
}

void Discovery::send_line(Connection& connection, const std::string& line) {
  std::ostringstream chunk;
  chunk << std::hex << line.size() + 1 << "\r\n" << line << "\n\r\n";
  static_cast<void>(connection.socket.send_all(chunk.str()));
  connection.last_line_at = now();
}

}  // namespace review
