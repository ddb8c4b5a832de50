// A discovery service that a test controls.
#pragma once

#include <sys/socket.h>

#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include "fake_server.h"
#include "raw_connection.h"
#include "test_socket.h"

namespace thymewood::node {

inline std::string endpoint_json(const std::string& name, const std::string& address,
                                 const std::string& status = "up", int group = 0) {
  return R"({"name":")" + name + R"(","address":")" + address + R"(","zone":"a","group":)" +
         std::to_string(group) + R"(,"status":")" + status + R"(","weight":1.0,"since_ms":0})";
}

inline std::string endpoint_list_json(int index, bool full, const std::string& endpoints) {
  return R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (full ? "true" : "false") +
         R"(,"endpoints":[)" + endpoints + "]}";
}

inline std::string chunk(const std::string& bytes) {
  std::ostringstream size;
  size << std::hex << bytes.size();
  return size.str() + "\r\n" + bytes + "\r\n";
}

// Responds to each watch with a head and the configured response; push() sends a change.
class FakeDiscovery {
 public:
  explicit FakeDiscovery(int port = 0)
      : listener_(
            [this](RawConnection& connection) {
              const std::string call = connection.read_message();
              if (call.empty()) return;
              {
                const std::lock_guard lock(mutex_);
                calls_.push_back(call);
                std::string response = response_;
                if (response.empty())
                  response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n");
                connection.write(response);  // under the lock, so that no pushed chunk precedes the head
                current_ = &connection;
              }
              connection.read_until_close();
              const std::lock_guard lock(mutex_);
              if (current_ == &connection) current_ = nullptr;
            },
            port) {}
  std::string address() const { return listener_.address(); }
  Listener& listener() { return listener_; }
  // The response to all later calls, with its head.
  void set_response(const std::string& bytes) {
    const std::lock_guard lock(mutex_);
    response_ = bytes;
  }
  bool push_bytes(const std::string& bytes) {
    return eventually([&] {
      const std::lock_guard lock(mutex_);
      return current_ != nullptr && current_->write(bytes);
    });
  }
  bool push(const std::string& line) { return push_bytes(chunk(line + "\n")); }
  void close_watch() {
    const std::lock_guard lock(mutex_);
    if (current_ != nullptr) ::shutdown(current_->fd(), SHUT_RDWR);
  }
  std::vector<std::string> calls() {
    const std::lock_guard lock(mutex_);
    return calls_;
  }

 private:
  std::mutex mutex_;
  std::string response_;
  std::vector<std::string> calls_;
  RawConnection* current_ = nullptr;
  Listener listener_;
};

}  // namespace thymewood::node
