// Reads the endpoint list as discovery writes it. The field names of the wire are mapped to those of the code
// here and nowhere else.
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

// The zones by name; the settings refer to them by position.
struct ZoneNames {
  std::vector<std::string> names;
};

struct ListedEndpoint {
  // Its address is the server's name, which unlike the socket address is the same at every replica.
  Endpoint endpoint;
  boost::asio::ip::tcp::endpoint socket_address;
};

// A complete endpoint list, or a change to one.
struct EndpointList {
  std::uint64_t version = 0;
  bool is_full = false;
  std::vector<ListedEndpoint> endpoints;
  std::string problem;  // the first entry that cannot be read, with its field; empty where all can
};

// Reads "host:port"; the host is an IP address, one of IPv6 with or without brackets.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_socket_address(std::string_view text);

// Throws std::exception, naming the field, when `in` is no endpoint list. An entry that cannot be read does
// not affect the others: its server counts as draining, and without a name the entry is skipped.
[[nodiscard]] EndpointList read_endpoint_list(const json::Value& in, const ZoneNames& zones,
                                              const ClockReading& now, StartTimes& start_times);

}  // namespace thymewood::node
