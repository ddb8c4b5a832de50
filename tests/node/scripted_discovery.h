// Fake discovery services whose behaviour a test scripts, and a node that watches one.
#pragma once

#include <algorithm>

#include "node_harness.h"

namespace thymewood::node {

using SteadyClock = std::chrono::steady_clock;

inline double seconds_since(SteadyClock::time_point start) {
  return std::chrono::duration<double>(SteadyClock::now() - start).count();
}

inline double seconds_between(SteadyClock::time_point from, SteadyClock::time_point to) {
  return std::chrono::duration<double>(to - from).count();
}

// Sends requests to a node, each with a unique id on a new connection.
class RequestSender {
 public:
  explicit RequestSender(NodeProcess& program) : program_(program) {}
  // Sends the next request and returns the response.
  std::string response() {
    RawConnection client = RawConnection::connect_to(program_.port());
    client.write(ClientRequest{.id = "w" + std::to_string(++sent_requests_)}.text());
    return client.read_message();
  }
  int status() { return status_of(response()); }

 private:
  NodeProcess& program_;
  int sent_requests_ = 0;
};

inline const std::string kWatchResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// A discovery service that passes each call to a handler of the test.
class ScriptedDiscovery {
 public:
  // `index` is the number of the call, counted from 0. The connection is closed when the handler returns.
  using Handler = std::function<void(RawConnection&, int index)>;
  explicit ScriptedDiscovery(Handler handler, int port = 0)
      : listener_(
            [this, handler = std::move(handler)](RawConnection& connection) {
              const std::string request = connection.read_message();
              if (request.empty()) return;
              int index = 0;
              {
                const std::lock_guard lock(mutex_);
                index = static_cast<int>(received_calls_.size());
                received_calls_.push_back({request, SteadyClock::now()});
              }
              handler(connection, index);
            },
            port) {}
  struct Request {
    std::string text;
    SteadyClock::time_point at;
  };
  std::vector<Request> requests() {
    const std::lock_guard lock(mutex_);
    return received_calls_;
  }
  Listener& listener() { return listener_; }
  std::string address() const { return listener_.address(); }

 private:
  std::mutex mutex_;
  std::vector<Request> received_calls_;
  Listener listener_;
};

// A node that watches a scripted discovery service.
struct WatchingNode {
  WatchingNode(ScriptedDiscovery& discovery, const std::string& known,
               const std::string& mode = "subscribe") {
    config.known = known;
    config.mode = mode;
    config.discovery = discovery.address();
    program = std::make_unique<NodeProcess>(config.text());
    requests = std::make_unique<RequestSender>(*program);
  }
  // Sends the next request and returns the status of the response.
  int status() { return requests->status(); }
  NodeConfig config;
  std::unique_ptr<NodeProcess> program;
  std::unique_ptr<RequestSender> requests;
};

// A discovery service that many nodes share. It processes calls one after another, each in `service_time`. A
// call that would wait for more than `max_wait` gets a 503 after that time, but still takes its service time,
// as in a service that does not notice that its client has timed out.
class QueueingDiscovery {
 public:
  QueueingDiscovery(std::chrono::milliseconds service_time, std::chrono::milliseconds max_wait)
      : service_time_(service_time),
        max_wait_(max_wait),
        listener_([this](RawConnection& connection) { serve(connection); }) {}
  ~QueueingDiscovery() {
    stopping_ = true;
    listener_.stop();
  }
  std::string address() const { return listener_.address(); }

  // Ends all watches; until set_available(), calls get a 503 after `max_wait`.
  void set_unavailable() { is_down_ = true; }
  // Makes the service available again: from now on each call takes its service time and gets this list.
  void set_available(const std::string& list) {
    const std::lock_guard lock(mutex_);
    list_ = list;
    queue_empty_at_ = SteadyClock::now();
    is_down_ = false;
    ++recoveries_;
  }
  // The number of open watches.
  int open_watches() const { return watches_; }
  int rejected_calls() const { return rejected_calls_; }

 private:
  void serve(RawConnection& connection) {
    if (connection.read_message().empty()) return;
    const auto now = SteadyClock::now();
    const int recoveries = recoveries_;
    SteadyClock::time_point completion = now;
    std::string list;
    bool is_rejected = is_down_;
    if (!is_rejected) {
      const std::lock_guard lock(mutex_);
      if (recoveries > 0) queue_empty_at_ = std::max(queue_empty_at_, now) + service_time_;
      completion = std::max(queue_empty_at_, now);
      is_rejected = completion - now > max_wait_;
      list = list_;
    }
    if (is_rejected) {
      if (recoveries > 0 && !is_down_) ++rejected_calls_;
      if (sleep_until(now + max_wait_)) connection.write(http_response(503, ""));
      return;
    }
    if (!sleep_until(completion) ||
        !connection.write(kWatchResponseHead + http_chunk(list.empty() ? "\n" : list + "\n")))
      return;
    ++watches_;
    while (!stopping_ && !is_down_ && connection.write(http_chunk("\n"))) {
      for (int i = 0; i < 50 && !stopping_ && !is_down_; ++i) std::this_thread::sleep_for(20ms);
    }
    --watches_;
  }
  bool sleep_until(SteadyClock::time_point deadline) const {
    while (!stopping_ && SteadyClock::now() < deadline) std::this_thread::sleep_for(5ms);
    return !stopping_;
  }

  std::chrono::milliseconds service_time_, max_wait_;
  std::mutex mutex_;
  std::string list_;
  SteadyClock::time_point queue_empty_at_;
  std::atomic<bool> is_down_ = false, stopping_ = false;
  std::atomic<int> recoveries_ = 0, watches_ = 0, rejected_calls_ = 0;
  Listener listener_;
};

}  // namespace thymewood::node
