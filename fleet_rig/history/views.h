// The views of the replica set that nodes write into their logs.
#pragma once

#include <optional>
#include <string>

#include "record.h"

namespace thymewood::fleet {

// As a node logs it, see docs/operators/log.md, event replica_set_changed.
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

// Reads a record's note: the fields of the event, or the sentence that earlier versions recorded. Nothing
// where the record is no view, or can't be read.
[[nodiscard]] std::optional<ObservedView> parse_view(const Record& record);

}  // namespace thymewood::fleet
