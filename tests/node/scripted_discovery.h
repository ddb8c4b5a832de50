// Discovery as the tests play it, and a node that follows it.
#pragma once

#include <algorithm>

#include "node_harness.h"

namespace thymewood::node {

using Steady = std::chrono::steady_clock;

inline double seconds_since(Steady::time_point start) {
  return std::chrono::duration<double>(Steady::now() - start).count();
}

inline const std::string kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Discovery whose every call is played by the test, in turn.
class ScriptedDiscovery {
 public:
  using Play = std::function<void(Wire&, int call)>;  // call: counted from 0; the connection ends with it
  explicit ScriptedDiscovery(Play play, int port = 0)
      : listener_(
            [this, play = std::move(play)](Wire& wire) {
              const std::string call = wire.read_message();
              if (call.empty()) return;
              int number = 0;
              {
                const std::lock_guard lock(mutex_);
                number = static_cast<int>(calls_.size());
                calls_.push_back({call, Steady::now()});
              }
              play(wire, number);
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

struct Node {
  Node(ScriptedDiscovery& discovery, const std::string& known, const std::string& mode = "subscribe") {
    text.known = known;
    text.mode = mode;
    text.discovery = discovery.address();
    program = std::make_unique<Program>(text.text());
  }
  int status() {
    Wire client = Wire::to(program->port());
    client.write(Ask{.id = "w" + std::to_string(++asked)}.text());
    return status_of(client.read_message());
  }
  ConfigText text;
  std::unique_ptr<Program> program;
  int asked = 0;
};

// Discovery that is shared by many nodes: it works through calls in turn, each takes `cost`, and one that
// would wait for more than `longest_wait` is held for that time and then answered 503. Its work is done all
// the same, as that of a service which does not notice that a caller has given up.
class QueueingDiscovery {
 public:
  QueueingDiscovery(std::chrono::milliseconds cost, std::chrono::milliseconds longest_wait)
      : cost_(cost), longest_wait_(longest_wait), listener_([this](Wire& wire) { serve(wire); }) {}
  ~QueueingDiscovery() {
    over_ = true;
    listener_.stop();
  }
  std::string address() const { return listener_.address(); }

  // All watches end, and calls are held and answered 503 until it is up again.
  void go_down() { down_ = true; }
  // The list that calls are answered with from now on; from now on each call costs its work.
  void come_up(const std::string& list) {
    const std::lock_guard lock(mutex_);
    list_ = list;
    free_at_ = Steady::now();
    down_ = false;
    ++generation_;
  }
  // How many nodes hold the list now.
  int watches() const { return watches_; }
  int turned_away() const { return turned_away_; }

 private:
  void serve(Wire& wire) {
    if (wire.read_message().empty()) return;
    const auto now = Steady::now();
    const int generation = generation_;
    Steady::time_point done = now;
    std::string list;
    bool late = down_;
    if (!late) {
      const std::lock_guard lock(mutex_);
      if (generation > 0) free_at_ = std::max(free_at_, now) + cost_;
      done = std::max(free_at_, now);
      late = done - now > longest_wait_;
      list = list_;
    }
    if (late) {
      if (generation > 0 && !down_) ++turned_away_;
      if (sleep_until(now + longest_wait_)) wire.write(http_answer(503, ""));
      return;
    }
    if (!sleep_until(done) || !wire.write(kHead + chunk(list.empty() ? "\n" : list + "\n"))) return;
    ++watches_;
    while (!over_ && !down_ && wire.write(chunk("\n"))) {
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
  std::atomic<int> generation_ = 0, watches_ = 0, turned_away_ = 0;
  Listener listener_;
};

}  // namespace thymewood::node
