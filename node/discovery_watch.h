// Follows the endpoint list of discovery: which version is current, whether the list is stale, and when a
// silent connection is replaced.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "clock.h"
#include "discovery_connection.h"
#include "endpoint_list.h"
#include "endpoint_watch.h"
#include "start_times.h"

namespace thymewood::node {

// Replaces a connection that has fallen silent. When to call again after any other failure is the listener's
// decision.
class DiscoveryWatch : public EndpointWatch, private DiscoveryConnection::Owner {
 public:
  DiscoveryWatch(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address, ZoneNames zones,
                 const Clock& clock, StartTimes start_times);
  ~DiscoveryWatch() override;

  // Has to be called before the first watch(); the listener outlives the last run of the event loop.
  void set_listener(EndpointListener& listener) { listener_ = &listener; }
  // The version of the list that is known from before; without one the complete list is requested.
  void set_version(std::uint64_t version) { version_ = version; }

  void watch() override;
  void refresh() override;
  // Continues the watch at the new address, with the complete list.
  void move_to(const boost::asio::ip::tcp::endpoint& address);
  // Reopens the watch after an exception in a handler, which may have been the watch's own.
  void recover();

 private:
  double silence_timeout(bool has_response) const override;
  void on_response_started(std::string_view date) override;
  void on_data(double previous) override;
  void on_object(DiscoveryConnection& from, std::string_view object) override;
  void on_caught_up() override;
  void on_unreadable(const std::string& problem) override;
  void on_ended(DiscoveryConnection& from, const WatchEnd& end) override;

  void open();
  void become_stale(double heard_at);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  ZoneNames zones_;
  const Clock& clock_;
  StartTimes start_times_;
  EndpointListener* listener_ = nullptr;
  std::optional<std::uint64_t> version_;  // of the last list
  std::shared_ptr<DiscoveryConnection> connection_;
  bool is_current_ = false;
  int silent_connections_ = 0;  // in a row
  double opened_at_ = 0;        // s on the clock; when the connection was
  bool has_warned_ = false;     // of an unreadable list
};

}  // namespace thymewood::node
