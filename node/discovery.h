// The watch on the list of servers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "endpoint_list.h"
#include "thymewood/balancer.h"

namespace thymewood::node {

// Calls discovery and follows its watch. It decides when a watch has fallen silent and replaces it; when to
// call again after a failure is the listener's decision.
class Discovery {
 public:
  // None of these is called from within watch().
  struct Listener {
    std::function<void(const EndpointList&)> update;  // a list, or a change
    std::function<void()> current;                    // the watch has said what it had to say
    std::function<void(double as_of)> stale;   // no more; `as_of`, s on the clock: when it was last heard
    std::function<void()> moved;               // discovery is called at another address from now on
    std::function<void(WatchFailure)> failed;  // no watch is open, and none will be without watch()
  };

  Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint where, ZoneNames zone_names,
            const Clock& clock, StartTimes start_times, Listener listener);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Asks for the changes after the list in hand, unless a watch is open or about to be.
  void watch();
  // Takes in at once what discovery has sent and has not been read: the listener hears of it from within.
  // Where nothing waits it costs one system call.
  void refresh();
  // Discovery has moved: the watch goes on at the new address, with the whole list.
  void move_to(const boost::asio::ip::tcp::endpoint& where);
  // After an exception that got out of a handler, which may have been the watch's: it is opened anew.
  void recover();
  // The version of the list in hand; without one the whole list is asked for.
  void set_version(std::uint64_t index) { version_ = index; }

 private:
  class Watch;
  // Why a watch ended.
  enum class End { kBroken, kSilent };
  void take_object(const std::shared_ptr<Watch>& from, std::string_view object);
  void became_current();
  void became_stale(double heard_at);
  void end(const std::shared_ptr<Watch>& from, End why, WatchFailure failure, double heard_at);
  void open();
  double patience(bool heard) const;  // s; of a watch that has said something, or nothing yet
  void warn(const std::string& text);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint where_;
  ZoneNames zone_names_;
  const Clock& clock_;
  Listener listener_;
  StartTimes start_times_;
  std::optional<std::uint64_t> version_;
  std::shared_ptr<Watch> watch_;
  bool current_ = false;
  int silences_ = 0;      // watches in a row that were given up as silent
  double opened_at_ = 0;  // s on the clock; when the watch in hand was
  bool has_warned_ = false;
};

}  // namespace thymewood::node
