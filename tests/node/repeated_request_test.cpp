// Requests that come again with the same id after their client has left.
#include "abandoned_ids.h"
#include "node_harness.h"

namespace thymewood::node {
namespace {

// Guards against a request that runs twice: its client left while it was in flight, and the same id came
// again.
TEST(RepeatedRequest, RunsOnceIfItComesAgainAfterItsClientHasLeft) {
  for (const char* const request_class : {"close", "mark"}) {
    const std::string key = std::string(request_class) == "mark" ? "k" : "";
    const ClientRequest request{.request_class = request_class, .id = "again", .key = key};
    FakeServer server([](RawConnection& connection, const std::string&) {
      sleep_for(200ms);
      return connection.write(http_response(200, "ok"));
    });
    Deployment d({&server});
    RawConnection first = d.client();
    first.write(request.text());
    ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
    first.reset();
    for (int i = 0; i < 5; ++i) {
      sleep_for(100ms);
      RawConnection next = d.client();
      next.write(request.text());
      EXPECT_EQ(status_of(next.read_message()), 400);
    }
    EXPECT_EQ(server.requests().size(), 1U) << request_class;
  }
}

// A request that was never sent, or that may run twice, is served when it comes again.
TEST(RepeatedRequest, IsServedIfNoHarmCanCome) {
  FakeServer server([](RawConnection& connection, const std::string&) {
    sleep_for(200ms);
    return connection.write(http_response(200, "ok"));
  });
  Deployment d({&server});
  const ClientRequest request{.request_class = "look", .id = "again", .method = "GET", .body = ""};
  RawConnection first = d.client();
  first.write(request.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  first.reset();
  EXPECT_TRUE(eventually([&] {
    RawConnection next = d.client();
    next.write(request.text());
    return status_of(next.read_message()) == 200;
  })) << "400 only while the first attempt ends";
}

TEST(AbandonedIds, AreDroppedAfterATimeAndBeyondALimit) {
  AbandonedIds ids;
  ids.add("a", 10);
  EXPECT_TRUE(ids.contains("a", 40));
  EXPECT_FALSE(ids.contains("a", 100));
  constexpr int kMany = 20000;
  for (int i = 0; i < kMany; ++i) ids.add(std::to_string(i), 200);
  EXPECT_FALSE(ids.contains("0", 200));
  EXPECT_TRUE(ids.contains(std::to_string(kMany - 1), 200));
}

}  // namespace
}  // namespace thymewood::node
