// Parses events of the simulator's protocol into events of the balancer.
#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "field_reader.h"
#include "thymewood/events.h"

namespace thymewood::adapter {

// Keeps the endpoint lists: the simulator sends each list once and then refers to it by number. All balancers
// of the process share them.
class EventReader {
 public:
  // Stores a numbered endpoint list; a later list of the same number replaces it.
  void read_endpoint_list(const json::Value& event_json);
  // Returns std::nullopt for kinds that the balancer does not handle, such as those of later protocol
  // versions. Throws json::FieldError.
  [[nodiscard]] std::optional<Event> read_event(std::string_view kind, const json::Value& event_json) const;

 private:
  [[nodiscard]] EndpointUpdate read_endpoint_update(const json::Value& event_json) const;

  std::map<int, std::vector<Endpoint>> endpoint_lists_;
};

}  // namespace thymewood::adapter
