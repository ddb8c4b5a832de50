// Parses the endpoint list in discovery's JSON format. This is the only place that maps the field names of
// the wire format to those of the code.
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

// The names in the "azs" setting, in its order. Settings::zone and Endpoint::zone are indices into this list;
// an endpoint in an unlisted zone has the index names.size().
struct ZoneNames {
  std::vector<std::string> names;
};

struct ListedEndpoint {
  // `endpoint.address` is the server's name. It is only an identifier and is the same at every replica;
  // `socket_address`, to which the node connects, may differ.
  Endpoint endpoint;
  boost::asio::ip::tcp::endpoint socket_address;
};

// A full endpoint list or a delta.
struct EndpointList {
  std::uint64_t version = 0;
  bool is_full = false;
  std::vector<ListedEndpoint> endpoints;
  std::string first_error;  // describes the first malformed entry and its field; empty if there is none
};

// Parses "host:port". The host is an IPv4 or IPv6 address; brackets around an IPv6 address are optional.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_socket_address(std::string_view text);

// Throws std::exception, whose message names the field, if `in` is not an endpoint list. A malformed entry
// does not affect the others: its server is treated as draining, or the entry is skipped if it has no name.
// `start_times` converts the start times of the servers. It is updated: it stores those that it has not
// converted before, and is notified of removed servers.
[[nodiscard]] EndpointList read_endpoint_list(const json::Value& in, const ZoneNames& zones,
                                              const ClockReading& now, StartTimes& start_times);

}  // namespace thymewood::node
