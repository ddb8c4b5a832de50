// The two sides of a watch on the endpoint list: the one that follows discovery, and the one that uses what
// it says.
#pragma once

#include "endpoint_list.h"
#include "thymewood/balancer.h"

namespace thymewood::node {

class EndpointWatch {
 public:
  EndpointWatch() = default;
  EndpointWatch(const EndpointWatch&) = delete;
  EndpointWatch& operator=(const EndpointWatch&) = delete;
  virtual ~EndpointWatch() = default;

  // Requests the changes since the current list, unless a watch is open or being opened.
  virtual void watch() = 0;
  // Reads what discovery has sent, without waiting; listeners are notified from within. Where nothing has
  // been sent it costs one system call.
  virtual void refresh() = 0;
};

// Is never notified from within EndpointWatch::watch().
class EndpointListener {
 public:
  EndpointListener() = default;
  EndpointListener(const EndpointListener&) = delete;
  EndpointListener& operator=(const EndpointListener&) = delete;
  virtual ~EndpointListener() = default;

  // A complete list, or a change to the last one.
  virtual void on_endpoints(const EndpointList& update) = 0;
  // The watch has delivered all that discovery had.
  virtual void on_list_current() = 0;
  // That is no longer so; the list was current until `as_of`, s on the node's clock.
  virtual void on_list_stale(double as_of) = 0;
  // Discovery has another address from now on.
  virtual void on_discovery_moved() = 0;
  // No watch is open, and none will be without a call of EndpointWatch::watch().
  virtual void on_watch_failed(const WatchFailure& failure) = 0;
};

}  // namespace thymewood::node
