// Fake servers that the test controls.
#pragma once

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "raw_connection.h"
#include "test_socket.h"

namespace thymewood::node {

// Accepts connections and runs `handler` for each on a separate thread.
class Listener {
 public:
  explicit Listener(std::function<void(RawConnection&)> handler, int port = 0)
      : handler_(std::move(handler)) {
    listen_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int enable = 1;
    ::setsockopt(listen_.get(), SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
    sockaddr_in bound_address = loopback(port);
    EXPECT_EQ(::bind(listen_.get(), reinterpret_cast<sockaddr*>(&bound_address), sizeof bound_address), 0);
    EXPECT_EQ(::listen(listen_.get(), 128), 0);
    socklen_t size = sizeof bound_address;
    ::getsockname(listen_.get(), reinterpret_cast<sockaddr*>(&bound_address), &size);
    port_ = ntohs(bound_address.sin_port);
    accept_thread_ = std::thread([this] { accept_connections(); });
  }
  ~Listener() { stop(); }
  void stop() {
    if (!accept_thread_.joinable()) return;
    stopping_ = true;
    accept_thread_.join();
    listen_.reset();
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : open_fds_) ::shutdown(fd, SHUT_RDWR);
    }
    for (std::thread& handler_thread : handler_threads_) handler_thread.join();
    handler_threads_.clear();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int accepted_connections() const { return accepted_; }
  int open_connections() {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(open_fds_.size());
  }

 private:
  void accept_connections() {
    while (!stopping_) {
      pollfd poll_fd{listen_.get(), POLLIN, 0};
      if (::poll(&poll_fd, 1, 5) <= 0) continue;
      Fd fd(::accept4(listen_.get(), nullptr, nullptr, SOCK_CLOEXEC));
      if (fd.get() < 0) continue;
      ++accepted_;
      const auto connection = std::make_shared<RawConnection>(std::move(fd));
      const int connection_fd = connection->fd();
      {
        const std::lock_guard lock(mutex_);
        open_fds_.push_back(connection_fd);
      }
      handler_threads_.emplace_back([this, connection, connection_fd] {
        handler_(*connection);
        const std::lock_guard lock(mutex_);
        std::erase(open_fds_, connection_fd);
        connection->close();
      });
    }
  }
  std::function<void(RawConnection&)> handler_;
  Fd listen_;
  int port_ = 0;
  std::atomic<int> accepted_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<int> open_fds_;
  std::vector<std::thread> handler_threads_;
  std::thread accept_thread_;
};

// Passes each request to `reply`, which writes the response; the connection is closed if it returns false.
class FakeServer {
 public:
  using Handler = std::function<bool(RawConnection&, const std::string& request)>;
  explicit FakeServer(Handler reply, int port = 0)
      : reply_(std::move(reply)),
        listener_(
            [this](RawConnection& connection) {
              for (std::string request = connection.read_message(); !request.empty();
                   request = connection.read_message()) {
                {
                  const std::lock_guard lock(mutex_);
                  requests_.push_back(request);
                }
                if (!reply_(connection, request)) return;
              }
              ++closed_by_node_;
            },
            port) {}
  std::string address() const { return listener_.address(); }
  Listener& listener() { return listener_; }
  std::vector<std::string> requests() {
    const std::lock_guard lock(mutex_);
    return requests_;
  }
  // The number of connections that the node closed, or on which it sent nothing for kMaxWait.
  int closed_by_node() const { return closed_by_node_; }

 private:
  Handler reply_;
  std::mutex mutex_;
  std::vector<std::string> requests_;
  std::atomic<int> closed_by_node_ = 0;
  Listener listener_;
};

inline std::string http_response(int status, const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + headers + "\r\n" + body;
}

inline FakeServer::Handler respond_with(int status, const std::string& body,
                                        const std::string& headers = "") {
  return [=](RawConnection& connection, const std::string&) {
    return connection.write(http_response(status, body, headers));
  };
}

// Blocks wait() until open() is called, for kMaxWait at most, so that a test decides when a response is
// written.
class Gate {
 public:
  void open() {
    const std::lock_guard lock(mutex_);
    is_open_ = true;
    changed_.notify_all();
  }
  bool wait() {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kMaxWait, [this] { return is_open_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_open_ = false;
};

}  // namespace thymewood::node
