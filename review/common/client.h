// Stand-in for the clients of a node: one request at a time on a connection that is kept.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "ledger.h"
#include "sockets.h"

namespace review {

// A number of clients that send one request after another to a node.
class Clients {
 public:
  Clients(int node, int port, int count, std::uint64_t seed, Ledger& ledger);
  ~Clients() { stop(); }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  // Waits for the answers of the requests that are out.
  void stop();

 private:
  void run(int client, std::uint64_t seed);

  int node_, port_;
  Ledger& ledger_;
  std::atomic<bool> is_stopping_{false};
  std::vector<std::thread> threads_;
};

// Waits until `GET /_health` has answered 200. Returns false if it does not within `seconds`.
[[nodiscard]] bool wait_until_healthy(int port, double seconds);

}  // namespace review
