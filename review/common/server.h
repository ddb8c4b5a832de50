// Stand-in for a server behind a network link: reads a request, works on it and answers with a body that
// names the request's id.
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

struct ServerOptions {
  double keyed_time = 0.12, unsafe_time = 0.4;  // s; work on a request
  double idle_close = 5;                        // s; connections idle for this long are closed
  double one_way_delay = 0;                     // s; of the network, in each direction
  // Share of the answers that are followed by a second copy, and its delay in s.
  double second_copy_share = 0, second_copy_after_min = 0, second_copy_after_max = 0;
};

class Server {
 public:
  Server(std::string name, ServerOptions options, std::uint64_t seed, Ledger& ledger);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] int port() const { return listener_.port; }
  [[nodiscard]] int second_copies() const { return second_copies_; }

  // The process ends: its connections are reset and new ones are refused.
  void end();

 private:
  friend class ServerConnection;
  void accept_all();

  std::string name_;
  ServerOptions options_;
  std::uint64_t seed_;
  Ledger& ledger_;
  Listener listener_;
  std::atomic<bool> has_ended_{false};
  std::atomic<int> second_copies_{0};
  std::list<std::thread> threads_;  // of the accepted connections; used by the accepting thread
  std::thread accepting_;
};

}  // namespace review
