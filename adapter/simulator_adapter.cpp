#include "simulator_adapter.h"

#include <exception>
#include <optional>

#include "settings_reader.h"

namespace thymewood::adapter {

using json::Value;

const rapidjson::StringBuffer& SimulatorAdapter::process(const Value& batch) {
  const double now = json::number(batch, "clock");
  reply_.begin(json::token(batch, "turn"));
  for (const Value& node : json::array(batch, "nodes").GetArray()) process_node(now, node);
  return reply_.finish();
}

void SimulatorAdapter::process_node(double now, const Value& node) {
  const int id = json::whole(node, "who");
  std::unique_ptr<Balancer>& balancer = balancers_[id];
  actions_.clear();
  std::optional<std::string> fault;
  for (const Value& item : json::array(node, "news").GetArray()) {
    try {
      process_item(now, item, balancer);
    } catch (const json::MessageError&) {
      throw;
    } catch (const std::exception& problem) {  // of the library; the simulator gets the first one
      if (!fault) fault = problem.what();
    }
  }
  if (actions_.empty() && !fault) return;
  reply_.write_node(id, actions_, fault);
}

void SimulatorAdapter::process_item(double now, const Value& item, std::unique_ptr<Balancer>& balancer) {
  const std::string_view kind = json::text(item, "kind");
  if (kind == "TABLE") {
    events_.read_endpoint_list(item);
  } else if (kind == "OPEN_INSTANCE") {
    start_balancer(now, item, balancer);
  } else if (kind == "POWER_OFF") {
    balancer.reset();
    actions_.clear();
  } else if (const std::optional<Event> event = events_.read_event(kind, item); event && balancer) {
    balancer->handle(now, *event, actions_);
  }
}

void SimulatorAdapter::start_balancer(double now, const Value& item, std::unique_ptr<Balancer>& balancer) {
  balancer.reset();
  const std::uint64_t seed = json::token(item, "initSeed");
  const Settings settings = json::read_settings(json::need(item, "config"));
  json::validate_settings(settings);
  balancer = std::make_unique<Balancer>(settings, seed);
  actions_.clear();  // those of the previous instance, which was stopped in this batch
  balancer->handle(now, Started{}, actions_);
}

}  // namespace thymewood::adapter
