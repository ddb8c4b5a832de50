// A discovery service that a test controls.
#pragma once

#include <sys/socket.h>

#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include "fake_server.h"
#include "test_socket.h"
#include "wire.h"

namespace thymewood::node {

inline std::string member(const std::string& name, const std::string& address,
                          const std::string& status = "up", int group = 0) {
  return R"({"name":")" + name + R"(","address":")" + address + R"(","zone":"a","group":)" +
         std::to_string(group) + R"(,"status":")" + status + R"(","weight":1.0,"since_ms":0})";
}

inline std::string list(int index, bool full, const std::string& members) {
  return R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (full ? "true" : "false") +
         R"(,"endpoints":[)" + members + "]}";
}

inline std::string chunk(const std::string& bytes) {
  std::ostringstream size;
  size << std::hex << bytes.size();
  return size.str() + "\r\n" + bytes + "\r\n";
}

// Answers each watch with a head and the configured answer; say() pushes more.
class FakeDiscovery {
 public:
  explicit FakeDiscovery(int port = 0)
      : listener_(
            [this](Wire& wire) {
              const std::string call = wire.read_message();
              if (call.empty()) return;
              {
                const std::lock_guard lock(mutex_);
                calls_.push_back(call);
                std::string first = answer_;
                if (first.empty())
                  first = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n");
                wire.write(first);  // under the lock, so that no pushed chunk precedes the head
                current_ = &wire;
              }
              wire.read_rest();
              const std::lock_guard lock(mutex_);
              if (current_ == &wire) current_ = nullptr;
            },
            port) {}
  std::string address() const { return listener_.address(); }
  Listener& listener() { return listener_; }
  // The answer to all later calls, with its head.
  void answer_with(const std::string& bytes) {
    const std::lock_guard lock(mutex_);
    answer_ = bytes;
  }
  bool say_raw(const std::string& bytes) {
    return eventually([&] {
      const std::lock_guard lock(mutex_);
      return current_ != nullptr && current_->write(bytes);
    });
  }
  bool say(const std::string& line) { return say_raw(chunk(line + "\n")); }
  void hang_up() {
    const std::lock_guard lock(mutex_);
    if (current_ != nullptr) ::shutdown(current_->fd(), SHUT_RDWR);
  }
  std::vector<std::string> calls() {
    const std::lock_guard lock(mutex_);
    return calls_;
  }

 private:
  std::mutex mutex_;
  std::string answer_;
  std::vector<std::string> calls_;
  Wire* current_ = nullptr;
  Listener listener_;
};

}  // namespace thymewood::node
