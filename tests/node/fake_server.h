// Servers that a test controls.
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

// Accepts connections, and runs `serve` for each on a thread of its own.
class Listener {
 public:
  explicit Listener(std::function<void(RawConnection&)> serve, int port = 0) : serve_(std::move(serve)) {
    listen_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(listen_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in where = loopback(port);
    EXPECT_EQ(::bind(listen_.get(), reinterpret_cast<sockaddr*>(&where), sizeof where), 0);
    EXPECT_EQ(::listen(listen_.get(), 128), 0);
    socklen_t size = sizeof where;
    ::getsockname(listen_.get(), reinterpret_cast<sockaddr*>(&where), &size);
    port_ = ntohs(where.sin_port);
    thread_ = std::thread([this] { run(); });
  }
  ~Listener() { stop(); }
  void stop() {
    if (!thread_.joinable()) return;
    stopping_ = true;
    thread_.join();
    listen_.reset();
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    for (std::thread& t : serving_) t.join();
    serving_.clear();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int accepted() const { return accepted_; }
  int open() {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(open_.size());
  }

 private:
  void run() {
    while (!stopping_) {
      pollfd wait{listen_.get(), POLLIN, 0};
      if (::poll(&wait, 1, 5) <= 0) continue;
      Fd fd(::accept4(listen_.get(), nullptr, nullptr, SOCK_CLOEXEC));
      if (fd.get() < 0) continue;
      ++accepted_;
      const auto connection = std::make_shared<RawConnection>(std::move(fd));
      const int number = connection->fd();
      {
        const std::lock_guard lock(mutex_);
        open_.push_back(number);
      }
      serving_.emplace_back([this, connection, number] {
        serve_(*connection);
        const std::lock_guard lock(mutex_);
        std::erase(open_, number);
        connection->close();
      });
    }
  }
  std::function<void(RawConnection&)> serve_;
  Fd listen_;
  int port_ = 0;
  std::atomic<int> accepted_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<int> open_;
  std::vector<std::thread> serving_;
  std::thread thread_;
};

// Responds to each request by what `reply` writes; returning false ends the connection.
class FakeServer {
 public:
  using Reply = std::function<bool(RawConnection&, const std::string& request)>;
  explicit FakeServer(Reply reply, int port = 0)
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
              ++ended_;
            },
            port) {}
  std::string address() const { return listener_.address(); }
  Listener& listener() { return listener_; }
  std::vector<std::string> requests() {
    const std::lock_guard lock(mutex_);
    return requests_;
  }
  int ended() const { return ended_; }  // connections that the node closed

 private:
  Reply reply_;
  std::mutex mutex_;
  std::vector<std::string> requests_;
  std::atomic<int> ended_ = 0;
  Listener listener_;
};

inline std::string http_response(int status, const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + fields + "\r\n" + body;
}

inline FakeServer::Reply replies(int status, const std::string& body, const std::string& fields = "") {
  return [=](RawConnection& connection, const std::string&) {
    return connection.write(http_response(status, body, fields));
  };
}

// Delays responses until open() is called.
class Gate {
 public:
  void open() {
    const std::lock_guard lock(mutex_);
    open_ = true;
    changed_.notify_all();
  }
  bool wait() {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kMaxWait, [this] { return open_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool open_ = false;
};

}  // namespace thymewood::node
