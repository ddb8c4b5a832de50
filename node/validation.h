// What callers may ask: pure functions on one request.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "message.h"
#include "thymewood/balancer.h"

namespace thymewood::node {

// What a request may name, from the settings.
struct Catalog {
  std::vector<std::string> class_names, tenant_names;
  std::vector<RequestClass> classes;
};

// Why a request is turned down.
struct Rejected {
  boost::beast::http::status status;
  const char* text;
};

// The path without its query.
std::string_view path_of(const HttpRequest& request);

// Whether the head leaves open where the body ends.
bool is_length_ambiguous(const HttpRequest& request);

// Fills in the event, or says what is wrong with the request.
std::optional<Rejected> read_request(const HttpRequest& request, const Catalog& catalog, Request& event);

}  // namespace thymewood::node
