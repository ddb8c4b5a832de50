// Validates client requests against the protocol and the settings. Pure functions on a single request.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "message.h"
#include "thymewood/balancer.h"

namespace thymewood::node {

// The request classes and tenants defined in the settings.
struct Catalog {
  std::vector<std::string> class_names, tenant_names;
  std::vector<RequestClass> classes;
};

// The response to an invalid request.
struct Rejection {
  boost::beast::http::status status;
  const char* text;
};

// Returns the request target without its query.
[[nodiscard]] std::string_view path_without_query(const HttpRequest& request);

// Returns whether the head leaves the length of the body undefined or defines it more than once.
[[nodiscard]] bool is_length_ambiguous(const HttpRequest& request);

// Fills in `event` from a valid request; otherwise returns the reason for the rejection.
[[nodiscard]] std::optional<Rejection> parse_request_event(const HttpRequest& request, const Catalog& catalog,
                                                           Request& event);

}  // namespace thymewood::node
