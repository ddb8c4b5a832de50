// Interfaces of a watch on the endpoint list: the watch on discovery, and the listener that receives its
// updates.
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

  // Opens a watch for the changes since the current list, unless one is open or being opened.
  virtual void watch() = 0;
  // Requests the complete list, unless a watch is open or any call is in progress.
  virtual void list() = 0;
  // Reads available data from discovery without blocking and notifies the listener before returning. Costs
  // one system call if there is no data.
  virtual void refresh() = 0;
};

// EndpointWatch::watch() and list() never notify the listener before they return.
class EndpointListener {
 public:
  EndpointListener() = default;
  EndpointListener(const EndpointListener&) = delete;
  EndpointListener& operator=(const EndpointListener&) = delete;
  virtual ~EndpointListener() = default;

  // A full list, or a delta to the last one.
  virtual void on_endpoints(const EndpointList& update) = 0;
  // The watch has delivered all changes that discovery had.
  virtual void on_list_current() = 0;
  // The list is no longer current; it was until `as_of`, in seconds on the node's clock.
  virtual void on_list_stale(double as_of) = 0;
  // A call has had no response so far, or is closed and repeated at once.
  virtual void on_call_unanswered() = 0;
  // A request for the complete list was answered after `wait_time` s; the list was current at `as_of`, in
  // seconds on the node's clock. No watch is open.
  virtual void on_endpoints_listed(double as_of, double wait_time) = 0;
  // Discovery has moved to another address.
  virtual void on_discovery_moved() = 0;
  // The watch, or the request for the list, has failed. No call is made until watch() or list() is called.
  virtual void on_watch_failed(const WatchFailure& failure) = 0;
};

}  // namespace thymewood::node
