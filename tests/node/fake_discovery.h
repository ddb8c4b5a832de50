// A fake discovery service that the test controls.
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

inline std::string http_chunk(const std::string& bytes) {
  std::ostringstream size;
  size << std::hex << bytes.size();
  return size.str() + "\r\n" + bytes + "\r\n";
}

// Answers each watch request with the response that the test has set, by default a chunked response without a
// list, and keeps the connection open. push() sends a line on the latest open watch.
class FakeDiscovery {
 public:
  explicit FakeDiscovery(int port = 0)
      : listener_(
            [this](RawConnection& connection) {
              const std::string request = connection.read_message();
              if (request.empty()) return;
              {
                const std::lock_guard lock(mutex_);
                requests_.push_back(request);
                std::string response = response_;
                if (response.empty())
                  response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + http_chunk("\n");
                // Under the lock, so that push() cannot write before the response head.
                connection.write(response);
                open_watch_ = &connection;
              }
              connection.read_until_close();
              const std::lock_guard lock(mutex_);
              if (open_watch_ == &connection) open_watch_ = nullptr;
            },
            port) {}
  std::string address() const { return listener_.address(); }
  Listener& listener() { return listener_; }
  // Sets the complete response, head included, to all later watch requests.
  void set_response(const std::string& bytes) {
    const std::lock_guard lock(mutex_);
    response_ = bytes;
  }
  bool push_bytes(const std::string& bytes) {
    return eventually([&] {
      const std::lock_guard lock(mutex_);
      return open_watch_ != nullptr && open_watch_->write(bytes);
    });
  }
  bool push(const std::string& line) { return push_bytes(http_chunk(line + "\n")); }
  void close_watch() {
    const std::lock_guard lock(mutex_);
    if (open_watch_ != nullptr) ::shutdown(open_watch_->fd(), SHUT_RDWR);
  }
  std::vector<std::string> requests() {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  std::mutex mutex_;
  std::string response_;
  std::vector<std::string> requests_;
  RawConnection* open_watch_ = nullptr;
  Listener listener_;
};

}  // namespace thymewood::node
