// Decides which listed server a socket address belongs to. A server listens at an address of its own, but
// discovery may list a new process at an address before it removes the server that had it. Until then the
// older server has the address of another process and must get no requests under its own name.
//
// No I/O and no clock.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "endpoint_list.h"

namespace thymewood::node {

class AddressOwners {
 public:
  // Applies an update to the known servers. Returns it with each server that has lost its address as removed;
  // it stays so until discovery lists it with another address or start time.
  [[nodiscard]] EndpointList resolve(EndpointList update);

 private:
  struct Listed {
    boost::asio::ip::tcp::endpoint address;
    double started_at = 0;          // s on the node's clock; minus infinity: long ago
    std::uint64_t last_listed = 0;  // number of the update that last listed it
    bool has_lost_address = false;
  };

  using Address = boost::asio::ip::tcp::endpoint;

  void store(const ListedEndpoint& entry);
  void remove(const std::string& name);
  void drop_unlisted();
  [[nodiscard]] std::vector<std::string> find_owner(const Address& address);

  std::unordered_map<std::string, Listed> servers_;         // by name
  std::map<Address, std::vector<std::string>> by_address_;  // names of the servers
  std::uint64_t update_ = 0;                                // number of the current update
};

}  // namespace thymewood::node
