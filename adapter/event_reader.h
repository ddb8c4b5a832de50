// Reads the simulator's events and maps them to the balancer's.
#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "field_reader.h"
#include "thymewood/events.h"

namespace thymewood::adapter {

// Owns the endpoint lists, which the simulator sends once and then refers to by number. All balancers of the
// process share them.
class EventReader {
 public:
  // Stores a numbered endpoint list.
  void read_endpoint_list(const json::Value& item);
  // Nothing for kinds that the balancer does not ask for, such as those of later protocol versions. Throws
  // json::FieldError.
  [[nodiscard]] std::optional<Event> read_event(std::string_view kind, const json::Value& item) const;

 private:
  [[nodiscard]] EndpointUpdate read_endpoint_update(const json::Value& item) const;

  std::map<int, std::vector<Endpoint>> lists_;
};

}  // namespace thymewood::adapter
