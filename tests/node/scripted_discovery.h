// Stand-ins for discovery whose behaviour a test scripts, and a node that follows one.
#pragma once

#include <algorithm>

#include "node_harness.h"

namespace thymewood::node {

using Steady = std::chrono::steady_clock;

inline double seconds_since(Steady::time_point start) {
  return std::chrono::duration<double>(Steady::now() - start).count();
}

inline double seconds_between(Steady::time_point from, Steady::time_point to) {
  return std::chrono::duration<double>(to - from).count();
}

// Sends requests to a node, each with its own id on a connection of its own.
class RequestSender {
 public:
  explicit RequestSender(Program& program) : program_(program) {}
  // The response to the next request.
  std::string response() {
    RawConnection client = RawConnection::connect_to(program_.port());
    client.write(ClientRequest{.id = "w" + std::to_string(++requests_)}.text());
    return client.read_message();
  }
  int status() { return status_of(response()); }

 private:
  Program& program_;
  int requests_ = 0;
};

inline const std::string kWatchResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Discovery whose calls are handled by the test, one by one.
class ScriptedDiscovery {
 public:
  // `call` is counted from 0; the connection is closed when the handler returns.
  using Handler = std::function<void(RawConnection&, int call)>;
  explicit ScriptedDiscovery(Handler handler, int port = 0)
      : listener_(
            [this, handler = std::move(handler)](RawConnection& connection) {
              const std::string call = connection.read_message();
              if (call.empty()) return;
              int number = 0;
              {
                const std::lock_guard lock(mutex_);
                number = static_cast<int>(calls_.size());
                calls_.push_back({call, Steady::now()});
              }
              handler(connection, number);
            },
            port) {}
  struct Call {
    std::string text;
    Steady::time_point at;
  };
  std::vector<Call> calls() {
    const std::lock_guard lock(mutex_);
    return calls_;
  }
  Listener& listener() { return listener_; }
  std::string address() const { return listener_.address(); }

 private:
  std::mutex mutex_;
  std::vector<Call> calls_;
  Listener listener_;
};

// A node that follows a scripted discovery.
struct WatchingNode {
  WatchingNode(ScriptedDiscovery& discovery, const std::string& known,
               const std::string& mode = "subscribe") {
    text.known = known;
    text.mode = mode;
    text.discovery = discovery.address();
    program = std::make_unique<Program>(text.text());
    requests = std::make_unique<RequestSender>(*program);
  }
  // The status that the next request gets.
  int status() { return requests->status(); }
  ConfigText text;
  std::unique_ptr<Program> program;
  std::unique_ptr<RequestSender> requests;
};

// Discovery that many nodes share. It serves calls from a queue, each in `cost`; a call that would wait for
// more than `longest_wait` gets a 503 after that time, and still costs its work, as in a service that does
// not notice that its client has timed out.
class QueueingDiscovery {
 public:
  QueueingDiscovery(std::chrono::milliseconds cost, std::chrono::milliseconds longest_wait)
      : cost_(cost),
        longest_wait_(longest_wait),
        listener_([this](RawConnection& connection) { serve(connection); }) {}
  ~QueueingDiscovery() {
    over_ = true;
    listener_.stop();
  }
  std::string address() const { return listener_.address(); }

  // All watches end, and calls get a 503 after `longest_wait` until it is up again.
  void go_down() { down_ = true; }
  // From now on each call gets this list and costs its work.
  void come_up(const std::string& list) {
    const std::lock_guard lock(mutex_);
    list_ = list;
    free_at_ = Steady::now();
    down_ = false;
    ++generation_;
  }
  // How many watches are open.
  int watches() const { return watches_; }
  int rejected_calls() const { return rejected_calls_; }

 private:
  void serve(RawConnection& connection) {
    if (connection.read_message().empty()) return;
    const auto now = Steady::now();
    const int generation = generation_;
    Steady::time_point done = now;
    std::string list;
    bool is_rejected = down_;
    if (!is_rejected) {
      const std::lock_guard lock(mutex_);
      if (generation > 0) free_at_ = std::max(free_at_, now) + cost_;
      done = std::max(free_at_, now);
      is_rejected = done - now > longest_wait_;
      list = list_;
    }
    if (is_rejected) {
      if (generation > 0 && !down_) ++rejected_calls_;
      if (sleep_until(now + longest_wait_)) connection.write(http_response(503, ""));
      return;
    }
    if (!sleep_until(done) ||
        !connection.write(kWatchResponseHead + chunk(list.empty() ? "\n" : list + "\n")))
      return;
    ++watches_;
    while (!over_ && !down_ && connection.write(chunk("\n"))) {
      for (int i = 0; i < 50 && !over_ && !down_; ++i) std::this_thread::sleep_for(20ms);
    }
    --watches_;
  }
  bool sleep_until(Steady::time_point then) const {
    while (!over_ && Steady::now() < then) std::this_thread::sleep_for(5ms);
    return !over_;
  }

  std::chrono::milliseconds cost_, longest_wait_;
  std::mutex mutex_;
  std::string list_;
  Steady::time_point free_at_;
  std::atomic<bool> down_ = false, over_ = false;
  std::atomic<int> generation_ = 0, watches_ = 0, rejected_calls_ = 0;
  Listener listener_;
};

}  // namespace thymewood::node
