// Hosts the balancers of one process in the simulator. It maps events and actions; every decision is the
// library's.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "event_reader.h"
#include "reply_writer.h"
#include "thymewood/balancer.h"

namespace thymewood::adapter {

class SimulatorAdapter {
 public:
  // Processes one batch of events. Throws json::MessageError where it can't be read. The reply is valid until
  // the next call.
  const rapidjson::StringBuffer& process(const json::Value& batch);

 private:
  void process_node(double now, const json::Value& node);
  void process_item(double now, const json::Value& item, std::unique_ptr<Balancer>& balancer);
  void start_balancer(double now, const json::Value& item, std::unique_ptr<Balancer>& balancer);

  std::map<int, std::unique_ptr<Balancer>> balancers_;  // by the simulator's number; empty while stopped
  EventReader events_;
  ReplyWriter reply_;
  std::vector<Action> actions_;  // of the node that is being processed
};

}  // namespace thymewood::adapter
