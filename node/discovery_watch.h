// Watches discovery's endpoint list: tracks the version of the list and whether the list is stale, and
// replaces silent connections.
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

// Reconnects by itself only after a connection has become silent. After any other failure the listener
// decides when to reconnect.
class DiscoveryWatch : public EndpointWatch, private DiscoveryConnection::Owner {
 public:
  DiscoveryWatch(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address, ZoneNames zones,
                 const Clock& clock, StartTimes start_times);
  ~DiscoveryWatch() override;

  // Must be called before the first watch(). The listener must outlive the last run of the event loop.
  void set_listener(EndpointListener& listener) { listener_ = &listener; }
  // Sets the version of the list that was known before startup. Without a version the full list is requested.
  void set_known_version(std::uint64_t version) { version_ = version; }

  void watch() override;
  void list() override;
  void refresh() override;
  // Moves the watch to a new address and requests the full list there.
  void move_to(const boost::asio::ip::tcp::endpoint& address);
  // Reopens the watch after an exception escaped from an event handler, which may have been one of the
  // watch's.
  void recover();

 private:
  double silence_timeout(bool has_response) const override;
  void on_response_overdue() override;
  void on_response_started(std::string_view date) override;
  void on_data_received(double previous_data_at) override;
  void on_object(DiscoveryConnection& connection, std::string_view object) override;
  void on_all_objects_complete() override;
  void on_malformed_list(const std::string& error) override;
  void on_ended(DiscoveryConnection& connection, const WatchEnd& end) override;

  void open(DiscoveryCall call);
  void mark_stale(double last_received_at);
  void on_versions_restarted();
  void on_listed(const WatchEnd& end);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  ZoneNames zones_;
  const Clock& clock_;
  StartTimes start_times_;
  EndpointListener* listener_ = nullptr;
  std::optional<std::uint64_t> version_;  // of the last received list
  std::shared_ptr<DiscoveryConnection> connection_;
  bool is_current_ = false;
  bool has_listed_ = false;                 // the open connection has delivered a full list
  bool has_received_update_ = false;        // the open connection has delivered a list or a change
  int consecutive_silent_connections_ = 0;  // without a stable connection in between
  double connection_opened_at_ = 0;         // s on the node's clock
  bool is_malformed_list_logged_ = false;   // since the last valid list
};

}  // namespace thymewood::node
