#include "simulator_adapter.h"

#include <exception>
#include <optional>

#include "settings_reader.h"

namespace thymewood::adapter {

using json::Value;

const rapidjson::StringBuffer& SimulatorAdapter::process(const Value& batch) {
  const double now = json::number(batch, "clock");
  reply_.begin(json::unsigned_integer(batch, "turn"));
  for (const Value& node : json::array(batch, "nodes").GetArray()) process_node(now, node);
  return reply_.finish();
}

void SimulatorAdapter::process_node(double now, const Value& node) {
  const int node_id = json::integer(node, "who");
  std::unique_ptr<Balancer>& balancer = balancers_[node_id];
  actions_.clear();
  std::optional<std::string> exception_message;
  for (const Value& event_json : json::array(node, "news").GetArray()) {
    try {
      process_event(now, event_json, balancer);
    } catch (const json::MessageError&) {
      throw;
    } catch (const std::exception& error) {  // from the library or its settings; only the first is reported
      if (!exception_message) exception_message = error.what();
    }
  }
  if (actions_.empty() && !exception_message) return;
  reply_.write_node(node_id, actions_, exception_message);
}

void SimulatorAdapter::process_event(double now, const Value& event_json,
                                     std::unique_ptr<Balancer>& balancer) {
  const std::string_view kind = json::string(event_json, "kind");
  if (kind == "TABLE") {
    events_.read_endpoint_list(event_json);
  } else if (kind == "OPEN_INSTANCE") {
    start_balancer(now, event_json, balancer);
  } else if (kind == "POWER_OFF") {
    balancer.reset();
    actions_.clear();
  } else if (const std::optional<Event> event = events_.read_event(kind, event_json); event && balancer) {
    balancer->handle(now, *event, actions_);
  }
}

void SimulatorAdapter::start_balancer(double now, const Value& event_json,
                                      std::unique_ptr<Balancer>& balancer) {
  balancer.reset();
  const std::uint64_t seed = json::unsigned_integer(event_json, "initSeed");
  const Settings settings = json::read_settings(json::required_field(event_json, "config"));
  json::validate_settings(settings);
  balancer = std::make_unique<Balancer>(settings, seed);
  actions_.clear();  // drops those of the previous instance, which ended in this batch
  balancer->handle(now, Started{}, actions_);
}

}  // namespace thymewood::adapter
