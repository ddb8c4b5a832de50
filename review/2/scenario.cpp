// Case 2: some hundred clients that stop in the middle of a request whose head has many fields.
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <thread>

#include "../common/deployment.h"

namespace {

constexpr int kMemoryMb = 64;
constexpr int kClients = 36;
constexpr std::size_t kBadClients = 300;
constexpr std::size_t kFields = 4000;
constexpr double kQuiet = 5, kLength = 20;  // s

// A head of almost 16 KiB and no body.
std::string half_request() {
  std::string text = "POST /fault-mark/1 HTTP/1.1\r\nHost: origin.svc\r\nContent-Length: 40000\r\n";
  for (std::size_t i = 0; i < kFields; ++i) text += "a:\r\n";
  return text + "\r\n";
}

// Clients that send half a request and stay, and the same again as soon as they are turned away.
class BadClients {
 public:
  BadClients(int port, review::Ledger& ledger) : port_(port), ledger_(ledger), thread_([this] { run(); }) {}
  ~BadClients() {
    is_stopping_ = true;
    thread_.join();
  }
  BadClients(const BadClients&) = delete;
  BadClients& operator=(const BadClients&) = delete;

 private:
  void run() {
    const std::string request = half_request();
    std::vector<review::Socket> sockets(kBadClients);
    std::size_t sent = 0, turned_away = 0;
    while (!is_stopping_) {
      for (review::Socket& socket : sockets) {
        if (socket.is_open() && socket.wait_readable(review::now())) {
          static_cast<void>(socket.receive());
          socket.close();
          ++turned_away;
        }
        if (socket.is_open()) continue;
        socket = review::connect_to(port_);
        if (socket.is_open() && socket.send_all(request)) ++sent;
      }
      constexpr double kInterval = 0.02;  // s
      review::sleep_until(review::now() + kInterval);
    }
    ledger_.note("bad clients: half requests sent=" + std::to_string(sent) +
                 " turned away or closed=" + std::to_string(turned_away));
  }

  int port_;
  review::Ledger& ledger_;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

// The memory in MB that a process has allocated, without the program's own files.
double memory_of(int process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string name;
  while (status >> name) {
    double kilobytes = 0;
    constexpr double kKilobytesPerMegabyte = 1024;
    if (name == "RssAnon:" && status >> kilobytes) return kilobytes / kKilobytesPerMegabyte;
  }
  return 0;
}

// The platform: ends the node when it is over its limit. Returns whether it did, by `deadline`.
bool watch_memory(int process, double deadline, review::Ledger& ledger) {
  double most = 0;
  while (review::now() < deadline) {
    const double used = memory_of(process);
    most = std::max(most, used);
    if (used > kMemoryMb) {
      ::kill(process, SIGKILL);
      ledger.note("BROKEN the node has " + std::to_string(used) + " MB, over its limit of " +
                  std::to_string(kMemoryMb) + " MB, and is killed");
      return true;
    }
    constexpr double kInterval = 0.005;  // s
    review::sleep_until(review::now() + kInterval);
  }
  ledger.note("most memory of the node: " + std::to_string(most) + " MB of " + std::to_string(kMemoryMb));
  return false;
}

int play(const review::Arguments& arguments) {
  review::DeploymentOptions options;
  options.memory_mb = kMemoryMb;
  options.server.keyed_time = 0.08;
  options.server.unsafe_time = 0.18;
  review::Ledger ledger(arguments.record_path);
  review::Deployment deployment(arguments.folder, options, ledger);
  if (!deployment.wait_until_healthy()) return 2;
  const int process = deployment.node_process(0);
  if (process <= 0) return 2;
  deployment.start_clients(kClients);
  bool is_killed = watch_memory(process, review::now() + kQuiet, ledger);
  if (!is_killed) {
    std::unique_ptr<BadClients> bad_clients;
    if (arguments.has_trouble) bad_clients = std::make_unique<BadClients>(deployment.node_port(0), ledger);
    is_killed = watch_memory(process, review::now() + kLength, ledger);
  }
  deployment.stop_clients();
  ledger.write_summary();
  if (ledger.count(review::AnswerKind::kServed) == 0) return 2;
  return is_killed ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return review::run_scenario(argc, argv, play); }
