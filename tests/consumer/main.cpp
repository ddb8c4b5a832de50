// Minimal program that uses the installed library: it fails unless the balancer sends one request to the only
// server.
#include <iostream>
#include <variant>
#include <vector>

#include "thymewood/balancer.h"

int main() {
  thymewood::Settings settings;
  thymewood::RequestClass lookup;
  lookup.latency_objective = 0.5;
  lookup.client_timeout = 2;
  lookup.idempotency = thymewood::Idempotency::kIdempotent;
  settings.classes = {lookup};
  settings.max_attempts = 3;

  thymewood::Balancer balancer(settings, 42);
  std::vector<thymewood::Action> actions;
  thymewood::EndpointUpdate update;
  update.endpoints.push_back({.address = "10.0.0.1:80"});
  balancer.handle(0.0, update, actions);
  balancer.handle(0.1, thymewood::Request{.id = "r1", .time_left = 2}, actions);
  for (const thymewood::Action& action : actions) {
    if (const auto* send = std::get_if<thymewood::Send>(&action)) {
      std::cout << send->id << " -> " << send->server << ", timeout " << send->timeout << " s\n";
      return 0;
    }
  }
  std::cerr << "the balancer returned no Send\n";
  return 1;
}
