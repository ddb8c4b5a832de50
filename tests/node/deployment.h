// A node with fake servers and a fake discovery service, and the requests that clients send to it.
#pragma once

#include <sys/resource.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config_text.h"
#include "fake_discovery.h"
#include "fake_server.h"
#include "node_program.h"
#include "raw_connection.h"

namespace thymewood::node {

// A node whose configured endpoint list names the servers, unless the configuration has a list already, and
// which watches a fake discovery service. Discovery sends no update unless the test pushes one.
class Deployment {
 public:
  explicit Deployment(const std::vector<FakeServer*>& servers, NodeConfig initial_config = {},
                      rlim_t max_descriptors = 0, void (*before_exec)() = nullptr)
      : config(std::move(initial_config)) {
    std::string endpoints;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      endpoints += (i > 0 ? "," : "") + endpoint_json("s" + std::to_string(i), servers[i]->address());
    }
    if (config.known.empty()) config.known = endpoint_list_json(7, true, endpoints);
    config.discovery = discovery.address();
    program = std::make_unique<NodeProcess>(config.text(), max_descriptors, true, "", before_exec);
  }
  RawConnection client(bool small_buffers = false) const {
    return RawConnection::connect_to(program->port(), small_buffers);
  }

  FakeDiscovery discovery;
  NodeConfig config;
  std::unique_ptr<NodeProcess> program;
};

// A client's HTTP request; with the defaults it is valid.
struct ClientRequest {
  std::string request_class = "close", id = "r1", method = "POST", body = "{}", path = "", headers = "";
  std::string timeout = "15000", key = "";
  std::string text() const {
    return method + " " + (path.empty() ? "/" + request_class + "/k1?x=1" : path) +
           " HTTP/1.1\r\nHost: origin.svc\r\n" + (id.empty() ? "" : "X-Request-ID: " + id + "\r\n") +
           "X-Priority-Class: " + request_class + "\r\nX-Tenant-Id: acme\r\n" +
           (timeout.empty() ? "" : "X-Timeout-Ms: " + timeout + "\r\n") +
           (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n") + headers +
           (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
  }
};

}  // namespace thymewood::node
