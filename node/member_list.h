// The list of servers as discovery writes it (PROTOCOL, discovery).
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings_reader.h"
#include "start_times.h"
#include "thymewood/balancer.h"

namespace thymewood::node {

// How discovery names what the module knows by number.
struct Directory {
  std::vector<std::string> zones;
};

struct Member {
  Endpoint server;  // its address is the server's name: the same at every node, which real addresses are not
  boost::asio::ip::tcp::endpoint endpoint;
};

// A list, or what changed in it.
struct Membership {
  std::uint64_t index = 0;
  bool full = false;
  std::vector<Member> members;
  std::string complaint;  // of the first entry that can't be read, and its field; empty where all can
};

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

// Throws std::exception, naming the field, where no list can be made out. An entry that can't be read costs
// no other: the server that it names gets nothing new, as one that drains; without a name it is passed over.
Membership read_membership(const json::Value& in, const Directory& directory, const ClockReading& now,
                           StartTimes& starts);

}  // namespace thymewood::node
