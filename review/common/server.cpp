#include "server.h"

#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <queue>
#include <random>
#include <utility>

namespace review {

// One connection. Every step has its time on one clock: when bytes leave the node, when they arrive at the
// server, when the server answers, and when the answer arrives at the node.
class ServerConnection {
 public:
  ServerConnection(Server& server, Socket socket, std::uint64_t seed)
      : server_(server), options_(server.options_), socket_(std::move(socket)), random_(seed) {}

  void run() {
    while (!server_.has_ended_) {
      constexpr double kPollInterval = 0.02;  // s; in which the end of the process is noticed
      const double next = steps_.empty() ? now() + kPollInterval : steps_.top().at;
      if (socket_.wait_readable(std::min(next, now() + kPollInterval))) {
        std::string bytes = socket_.receive();
        if (bytes.empty()) return;
        push(now() + options_.one_way_delay, Step::kArrive, std::move(bytes));
      }
      perform_due();
      const bool is_idle = !is_busy_ && steps_.empty();
      if (is_idle && now() > idle_since_ + options_.idle_close) return;
    }
    socket_.reset();
  }

 private:
  enum class Step { kArrive, kAnswer, kSecondCopy, kDeliver };
  struct PlannedStep {
    double at = 0;
    std::uint64_t number = 0;  // orders steps with equal times
    Step step = Step::kArrive;
    std::string bytes;
    bool operator<(const PlannedStep& other) const {
      return std::pair(other.at, other.number) < std::pair(at, number);
    }
  };

  void push(double at, Step step, std::string bytes) {
    steps_.push({at, ++step_count_, step, std::move(bytes)});
  }

  void perform_due() {
    while (!steps_.empty() && steps_.top().at <= now()) {
      const PlannedStep planned = steps_.top();
      steps_.pop();
      switch (planned.step) {
        case Step::kArrive:
          received_.append(planned.bytes);
          begin_next(planned.at);
          break;
        case Step::kAnswer:
          answer(planned);
          break;
        case Step::kSecondCopy:
          send_second_copy(planned);
          break;
        case Step::kDeliver:
          static_cast<void>(socket_.send_all(planned.bytes));
          break;
      }
      idle_since_ = now();
    }
  }

  void begin_next(double at) {
    if (is_busy_) return;
    const std::optional<Message> request = received_.next();
    if (!request) return;
    is_busy_ = true;
    const std::string id = request->field("x-request-id");
    const Effect effect =
        request->field("x-priority-class") == "test-close" ? Effect::kUnsafe : Effect::kKeyed;
    server_.ledger_.add_run({now(), id, server_.name_, effect});
    const std::string body = "made by " + server_.name_ + " for " + id + "\n";
    const double time = effect == Effect::kUnsafe ? options_.unsafe_time : options_.keyed_time;
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    push(at + time * spread(random_), Step::kAnswer,
         "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  void answer(const PlannedStep& planned) {
    is_busy_ = false;
    push(planned.at + options_.one_way_delay, Step::kDeliver, planned.bytes);
    if (std::uniform_real_distribution<double>(0, 1)(random_) < options_.second_copy_share) {
      std::uniform_real_distribution<double> delay(options_.second_copy_after_min,
                                                   options_.second_copy_after_max);
      push(planned.at + delay(random_), Step::kSecondCopy, planned.bytes);
    }
    begin_next(planned.at);
  }

  // Sent only if nothing else waits on the connection: no byte of a next request has arrived. Bytes that are
  // still unread may have arrived, so they count.
  void send_second_copy(const PlannedStep& planned) {
    if (is_busy_ || !received_.is_empty() || socket_.wait_readable(now())) return;
    ++server_.second_copies_;
    server_.ledger_.note("second_copy server=" + server_.name_ + " \"" +
                         planned.bytes.substr(planned.bytes.find("made by")) + "\"");
    push(planned.at + options_.one_way_delay, Step::kDeliver, planned.bytes);
  }

  Server& server_;
  const ServerOptions& options_;
  Socket socket_;
  std::mt19937_64 random_;
  MessageParser received_;
  std::priority_queue<PlannedStep> steps_;
  std::uint64_t step_count_ = 0;
  bool is_busy_ = false;
  double idle_since_ = now();
};

Server::Server(std::string name, ServerOptions options, std::uint64_t seed, Ledger& ledger)
    : name_(std::move(name)),
      options_(options),
      seed_(seed),
      ledger_(ledger),
      listener_(listen_on_loopback()),
      accepting_([this] { accept_all(); }) {}

Server::~Server() { end(); }

void Server::accept_all() {
  for (std::uint64_t number = 0; !has_ended_; ++number) {
    Socket socket = accept_from(listener_);
    if (!socket.is_open()) break;
    threads_.emplace_back([this, number, owned = std::move(socket)]() mutable {
      constexpr std::uint64_t kSeedStep = 1000003;
      ServerConnection(*this, std::move(owned), seed_ * kSeedStep + number).run();
    });
  }
}

void Server::end() {
  if (has_ended_.exchange(true)) return;
  ::shutdown(listener_.socket.descriptor(), SHUT_RDWR);
  accepting_.join();
  listener_.socket.close();
  for (std::thread& thread : threads_) thread.join();
}

}  // namespace review
