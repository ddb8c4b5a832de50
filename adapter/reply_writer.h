// Serializes the reply to one batch of the simulator: the actions of each balancer, as one line of JSON.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"
#include "thymewood/actions.h"

namespace thymewood::adapter {

class ReplyWriter {
 public:
  // `turn`: the batch's number, which the reply repeats.
  void begin(std::uint64_t turn);
  // `exception_message`: what() of the node's first exception in this batch, if any.
  void write_node(int node_id, const std::vector<Action>& actions,
                  const std::optional<std::string>& exception_message);
  // The result is valid until the next begin().
  const rapidjson::StringBuffer& finish();

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_;
};

}  // namespace thymewood::adapter
