// The shortest use of the installed library: one server, one request, one answer.
#include <iostream>
#include <variant>
#include <vector>

#include "marlspread/balancer.h"

int main() {
  marlspread::Settings settings;
  marlspread::RequestClass lookup;
  lookup.aim = 0.5;
  lookup.give_up = 2;
  lookup.effect = marlspread::Effect::kSafe;
  settings.classes = {lookup};
  settings.max_attempts = 3;

  marlspread::Balancer balancer(settings, 42);
  std::vector<marlspread::Action> actions;
  marlspread::MembershipUpdate members;
  members.servers.push_back({.address = "10.0.0.1:80"});
  balancer.handle(0.0, members, actions);
  balancer.handle(0.1, marlspread::Request{.id = "r1", .time_left = 2}, actions);
  for (const marlspread::Action& action : actions) {
    if (const auto* send = std::get_if<marlspread::Send>(&action)) {
      std::cout << send->id << " -> " << send->server << ", time-out " << send->timeout << " s\n";
      return 0;
    }
  }
  std::cerr << "no send\n";
  return 1;
}
