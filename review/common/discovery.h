// Stand-in for discovery where it is asked: answers `GET /catalog/members?watch=1` with a watch.
#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "ledger.h"
#include "sockets.h"

namespace review {

struct Endpoint {
  std::string name;
  int port = 0;
  std::string zone;
  int group = 0;
  std::string status = "up";
};

// A list in discovery's form. A whole list leaves out servers that drain.
[[nodiscard]] std::string list_text(std::uint64_t version, bool is_whole,
                                    const std::vector<Endpoint>& entries);

class Discovery {
 public:
  Discovery(std::vector<Endpoint> endpoints, Ledger& ledger);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  [[nodiscard]] int port() const { return listener_.port; }
  [[nodiscard]] std::string whole_list();

  // Tells every open watch of the change.
  void set_status(const std::string& name, const std::string& status);
  // Watches end; calls get no answer.
  void go_down();
  // Calls that have waited end with a reset; later ones are answered at once.
  void come_back();

 private:
  struct Connection {
    Socket socket;
    MessageParser received;
    bool is_watch = false;
    double last_line_at = 0;
  };
  void run();
  void read_from(Connection& connection);
  void answer(Connection& connection);
  void send_line(Connection& connection, const std::string& line);
  void reset_all();

  Ledger& ledger_;
  Listener listener_;
  std::mutex mutex_;  // guards the members below
  std::vector<Endpoint> endpoints_;
  std::uint64_t version_ = 41;
  bool is_down_ = false;
  std::list<Connection> connections_;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace review
