// Validates requests of clients against the protocol and the settings: pure functions on one request.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "message.h"
#include "thymewood/balancer.h"

namespace thymewood::node {

// The classes and tenants that a request may name, from the settings.
struct Catalog {
  std::vector<std::string> class_names, tenant_names;
  std::vector<RequestClass> classes;
};

// The response to an invalid request.
struct Rejection {
  boost::beast::http::status status;
  const char* text;
};

// The path without its query.
[[nodiscard]] std::string_view path_of(const HttpRequest& request);

// Whether the head does not define the end of the body, or defines it twice.
[[nodiscard]] bool is_length_ambiguous(const HttpRequest& request);

// Fills in `event` from a valid request; else says what is wrong with the request.
[[nodiscard]] std::optional<Rejection> read_request_event(const HttpRequest& request, const Catalog& catalog,
                                                          Request& event);

}  // namespace thymewood::node
