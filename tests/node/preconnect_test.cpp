// Connections that rest after an answer, and how many more are dialled so that nobody waits for them.
#include "preconnect.h"

#include <gtest/gtest.h>

#include "node_harness.h"

namespace thymewood::node {
namespace {

TEST(SpareDials, OneRequestInSixteenPaysForADial) {
  SpareDials spare;
  int dials = 0;
  for (int i = 0; i < 1600; ++i) {
    spare.request();
    dials += spare.take() ? 1 : 0;
  }
  EXPECT_GE(dials, 99);
  EXPECT_LE(dials, 100);
}

TEST(SpareDials, LittleIsSavedUp) {
  SpareDials spare;
  for (int i = 0; i < 1000; ++i) spare.request();
  EXPECT_TRUE(spare.take());
  EXPECT_TRUE(spare.take());
  EXPECT_FALSE(spare.take());
}

TEST(SpareDials, AFailedDialCostsEight) {
  SpareDials spare;
  for (int i = 0; i < 1000; ++i) spare.request();
  spare.failed();
  int until = 0;
  do {
    spare.request();
    ++until;
  } while (!spare.take() && until < 1000);
  EXPECT_GE(until, 16 * 9);
  EXPECT_LE(until, 16 * 9 + 1);
}

// Guards against a caller in a closed loop that is served once a rest: it used to get 250 requests a second
// of a server that could answer tens of thousands.
TEST(SpareDials, ACallerThatAsksAgainAtOnceGetsMoreConnections) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  Wire client = d.client();
  int asked = 0;
  // A slow machine comes back at once only now and then.
  while (asked < 5000 && server.listener().accepted() < 3) {
    client.write(Ask{.id = "r" + std::to_string(++asked)}.text());
    ASSERT_EQ(status_of(client.read_message()), 200);
  }
  EXPECT_GE(server.listener().accepted(), 3);
  EXPECT_LE(server.listener().accepted(), 1 + asked / 16);
}

}  // namespace
}  // namespace thymewood::node
