// Servers that start at the address of one that has gone, while discovery still lists both.
#include "address_owners.h"

#include <set>

#include "scripted_discovery.h"

namespace thymewood::node {
namespace {

ListedEndpoint listed(const std::string& name, unsigned short port, double started_at,
                      EndpointState state = EndpointState::kReady) {
  ListedEndpoint out;
  out.endpoint.address = name;
  out.endpoint.started_at = started_at;
  out.endpoint.state = state;
  out.socket_address = {boost::asio::ip::address_v4::loopback(), port};
  return out;
}

std::map<std::string, EndpointState> states(const EndpointList& list) {
  std::map<std::string, EndpointState> out;
  for (const ListedEndpoint& entry : list.endpoints) out[entry.endpoint.address] = entry.endpoint.state;
  return out;
}

TEST(AddressOwners, TheLatestProcessHasTheAddress) {
  AddressOwners owners;
  const auto old_entry = listed("old", 80, 0), other = listed("other", 81, 0),
             new_entry = listed("new", 80, 50);
  EXPECT_EQ(states(owners.resolve({1, true, {old_entry, other}, ""}))["old"], EndpointState::kReady);
  auto result = states(owners.resolve({2, false, {new_entry}, ""}));
  EXPECT_EQ(result["new"], EndpointState::kReady);
  EXPECT_EQ(result["old"], EndpointState::kRemoved);
  EXPECT_FALSE(result.contains("other"));
  result = states(owners.resolve({3, true, {old_entry, other, new_entry}, ""}));
  EXPECT_EQ(result["old"], EndpointState::kRemoved) << "also if it is listed again";
  result =
      states(owners.resolve({4, false, {listed("new", 80, 50, EndpointState::kRemoved), old_entry}, ""}));
  EXPECT_EQ(result["old"], EndpointState::kRemoved) << "it went before the new one came";
  EXPECT_EQ(states(owners.resolve({4, false, {listed("before this node", 81, -5)}, ""}))["other"],
            EndpointState::kRemoved);
  result = states(owners.resolve({5, false, {listed("old", 80, 60)}, ""}));
  EXPECT_EQ(result["old"], EndpointState::kReady) << "it has restarted";
}

TEST(AddressOwners, ServersWithTheSameStartTimeKeepTheirAddress) {
  AddressOwners owners;
  auto result = states(owners.resolve({1, true, {listed("a", 80, 0), listed("b", 80, 0)}, ""}));
  EXPECT_EQ(result["a"], EndpointState::kReady);
  EXPECT_EQ(result["b"], EndpointState::kReady);
}

constexpr int kCellOfOld = 1, kCellOfNew = 2;

std::string recently_started(std::string entry) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  return entry.replace(entry.find("\"since_ms\":0"), 12, "\"since_ms\":" + std::to_string(now));
}

ClientRequest keyed_request(const std::string& id) {
  return {.request_class = "mark", .id = id, .key = "k" + id};
}

// Guards against a keyed request that runs twice: discovery lists a new server at an address before it
// removes the one that had it, and a retry for the cell of the old server reached the new one, in another
// cell.
TEST(AddressOwners, RetryDoesNotReachTheNewServerUnderTheNameOfTheOld) {
  FakeServer new_server(respond_with(200, "ok"));
  FakeServer resetting([](RawConnection& connection, const std::string&) {
    connection.reset();
    return false;
  });
  const std::string old_entry = endpoint_json("s0", new_server.address(), "up", kCellOfOld);
  const std::string resetting_entry = endpoint_json("s1", resetting.address(), "up", kCellOfOld);
  const std::string new_entry = recently_started(endpoint_json("s2", new_server.address(), "up", kCellOfNew));
  Deployment d({}, NodeConfig{.known = endpoint_list_json(7, true, old_entry + "," + resetting_entry)});
  ASSERT_TRUE(d.discovery.push(endpoint_list_json(8, false, new_entry)));
  ASSERT_TRUE(eventually([&] { return d.program->count_in_log("list_received") > 0; }));
  for (int i = 0; i < 60; ++i) {
    RawConnection client = d.client();
    client.write(keyed_request("m" + std::to_string(i)).text());
    client.read_message();
  }
  const auto ids_at = [](FakeServer& server) {
    std::set<std::string> ids;
    for (const std::string& request : server.requests()) ids.insert(header_of(request, "X-Request-ID"));
    return ids;
  };
  const std::set<std::string> in_old_cell = ids_at(resetting);
  int in_both_cells = 0;
  for (const std::string& id : ids_at(new_server)) in_both_cells += in_old_cell.contains(id) ? 1 : 0;
  EXPECT_GT(in_old_cell.size(), 0U);
  EXPECT_EQ(in_both_cells, 0);
}

// Guards against overload of a server that has just started: it was sent the load of the old server at its
// address, which discovery still listed.
TEST(AddressOwners, NewServerWarmsUpWhileTheOldOneIsStillListed) {
  FakeServer new_server(respond_with(200, "ok")), warmed_up(respond_with(200, "ok"));
  NodeConfig config;
  config.rules = R"("askWithin":10.0,"startCapacity":0.1,"rampTime":60.0)";
  config.known = endpoint_list_json(
      7, true, endpoint_json("s0", new_server.address()) + "," + endpoint_json("s1", warmed_up.address()));
  Deployment d({}, config);
  ASSERT_TRUE(d.discovery.push(
      endpoint_list_json(8, false, recently_started(endpoint_json("s2", new_server.address())))));
  ASSERT_TRUE(eventually([&] { return d.program->count_in_log("list_received") > 0; }));
  for (int i = 0; i < 200; ++i) {
    RawConnection client = d.client();
    client.write(
        ClientRequest{.request_class = "look", .id = "c" + std::to_string(i), .method = "GET", .body = ""}
            .text());
    EXPECT_EQ(status_of(client.read_message()), 200);
  }
  EXPECT_LE(new_server.requests().size(), 10U) << "limited by slow start";
}

}  // namespace
}  // namespace thymewood::node
