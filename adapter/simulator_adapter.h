// Hosts the balancers of one process for the simulator. It only translates events and actions between the
// protocol and the library, which makes every decision.
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
  // Processes one batch of events and returns the reply, which is valid until the next call. Throws
  // json::MessageError if the batch is malformed.
  const rapidjson::StringBuffer& process(const json::Value& batch);

 private:
  void process_node(double now, const json::Value& node);
  void process_event(double now, const json::Value& event_json, std::unique_ptr<Balancer>& balancer);
  void start_balancer(double now, const json::Value& event_json, std::unique_ptr<Balancer>& balancer);

  std::map<int, std::unique_ptr<Balancer>> balancers_;  // by the simulator's node id; null while stopped
  EventReader events_;
  ReplyWriter reply_;
  std::vector<Action> actions_;  // of the node being processed
};

}  // namespace thymewood::adapter
