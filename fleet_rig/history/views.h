// The views of the replica set that nodes log.
#pragma once

#include <optional>
#include <string>

#include "record.h"

namespace thymewood::fleet {

// The fields of the log event replica_set_changed, see docs/operators/log.md.
struct ObservedView {
  int epoch = 0;
  int rank = 0;
  int live_count = 0;
  int max_count = 0;
  int reachable_count = 0;
  int configured_count = 0;
  std::string connectivity;
  bool is_settling = false;
};

// Parses a record's note: the fields of the event, or the sentence that earlier versions recorded. Returns
// nullopt if the record is not a view or can't be parsed.
[[nodiscard]] std::optional<ObservedView> parse_view(const Record& record);

}  // namespace thymewood::fleet
