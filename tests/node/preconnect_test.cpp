// The preconnect policy and the connections opened by it.
#include "preconnect.h"

#include <gtest/gtest.h>

#include "node_harness.h"

namespace thymewood::node {
namespace {

TEST(Preconnect, AllowsOneConnectPerSixteenRequests) {
  PreconnectPolicy policy;
  int connects = 0;
  for (int i = 0; i < 1600; ++i) {
    policy.on_request();
    connects += policy.try_preconnect() ? 1 : 0;
  }
  EXPECT_GE(connects, 99);
  EXPECT_LE(connects, 100);
}

TEST(Preconnect, CreditIsLimitedToTwoConnects) {
  PreconnectPolicy policy;
  for (int i = 0; i < 1000; ++i) policy.on_request();
  EXPECT_TRUE(policy.try_preconnect());
  EXPECT_TRUE(policy.try_preconnect());
  EXPECT_FALSE(policy.try_preconnect());
}

TEST(Preconnect, AFailedConnectSuspendsPreconnecting) {
  PreconnectPolicy policy;
  for (int i = 0; i < 1000; ++i) policy.on_request();
  policy.on_connect_failed();
  int requests = 0;
  do {
    policy.on_request();
    ++requests;
  } while (!policy.try_preconnect() && requests < 1000);
  EXPECT_GE(requests, 16 * 9);
  EXPECT_LE(requests, 16 * 9 + 1);
}

// A closed-loop client must not be limited to one request per cool-down.
TEST(Preconnect, ClientThatSendsItsNextRequestAtOnceGetsMoreConnections) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  RawConnection client = d.client();
  int requests = 0;
  // On a slow machine, the client rarely sends the next request within the cool-down.
  while (requests < 5000 && server.listener().accepted_connections() < 3) {
    client.write(ClientRequest{.id = "r" + std::to_string(++requests)}.text());
    ASSERT_EQ(status_of(client.read_message()), 200);
  }
  EXPECT_GE(server.listener().accepted_connections(), 3);
  EXPECT_LE(server.listener().accepted_connections(), 1 + requests / 16);
}

}  // namespace
}  // namespace thymewood::node
