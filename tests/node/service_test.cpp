// The node in service: clients and servers that misbehave, limits that bind, addresses that are used again.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "node_harness.h"

namespace thymewood::node {
namespace {

double seconds_since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

// ---------------------------------------------------------------- bad clients

// Guards against callers that connect and say nothing, for as long as they please.
TEST(BadClients, ASilentOneIsClosedSoon) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  const auto start = std::chrono::steady_clock::now();
  Wire client = d.client();
  EXPECT_EQ(client.read_rest(), "");
  EXPECT_LT(seconds_since(start), 10) << "3 s are allowed; 15 s were once given";
}

// Guards against a time that starts with the first byte, or anew with each.
TEST(BadClients, ASlowFirstRequestIsTurnedDownByItsConnectionsAge) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  const auto start = std::chrono::steady_clock::now();
  Wire client = d.client();
  std::this_thread::sleep_for(1500ms);
  client.write("POST /close/k HTTP/1.1\r\n");
  EXPECT_EQ(status_of(client.read_message()), 408);
  EXPECT_LT(seconds_since(start), 5.5);
}

// Guards against silent connections that push out the callers which wait between two requests.
TEST(BadClients, SilentOnesAreEvictedBeforeCallersThatWereServed) {
  FakeServer server(replies(200, "ok"));
  ConfigText config;
  config.sockets = 64;  // 20 connections of callers
  Deployment d({&server}, config);
  Wire usual = d.client();
  usual.write(Ask{.id = "first"}.text());
  ASSERT_EQ(status_of(usual.read_message()), 200);
  std::vector<Wire> silent;
  for (int i = 0; i < 60; ++i) silent.push_back(d.client());
  // All of them have been taken in once a later one is served.
  int n = 0;
  ASSERT_TRUE(eventually([&] {
    Wire late = d.client();
    late.write(Ask{.id = "late" + std::to_string(++n)}.text());
    return status_of(late.read_message()) == 200;
  }));
  usual.write(Ask{.id = "second"}.text());
  EXPECT_EQ(status_of(usual.read_message()), 200) << "its connection is still there";
}

// Guards against requests that were taken and dropped: with no descriptor left for its connection, a caller
// was closed on without a word.
TEST(Descriptors, ACallerForWhomThereIsNoneIsToldSo) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP()
      << "the sanitizer's check of vptrs opens a pipe to see whether memory can be read, and takes a pipe "
         "that can't be had for memory that can't";
#endif
  Gate gate;
  const FakeServer::Reply hold = [&](Wire& wire, const std::string&) {
    return gate.wait() && wire.write(http_answer(200, "ok"));
  };
  FakeServer one(hold), two(hold), three(hold), four(hold), five(hold), six(hold);
  std::vector<FakeServer*> servers{&one, &two, &three, &four, &five, &six};
  Deployment d(servers);
  std::vector<Wire> held;
  for (int i = 0; i < 6; ++i) {
    held.push_back(d.client());
    held.back().write(Ask{.id = "held" + std::to_string(i)}.text());
  }
  ASSERT_TRUE(eventually([&] {
    std::size_t there = 0;
    for (FakeServer* server : servers) there += server->requests().size();
    return there == 6;
  }));
  // None is left, and none of these calls can be closed for others.
  d.program->limit_descriptors(d.program->next_descriptor());
  std::vector<Wire> late;
  for (int i = 0; i < 3; ++i) {
    late.push_back(d.client());
    late.back().write(Ask{.id = "late" + std::to_string(i)}.text());
  }
  for (Wire& caller : late) {
    const std::string answer = caller.read_message();
    EXPECT_EQ(status_of(answer), 503);
    EXPECT_NE(field_of(answer, "Retry-After"), "");
  }
  gate.open();
  for (Wire& caller : held) EXPECT_EQ(status_of(caller.read_message()), 200);
  d.program->limit_descriptors(256);
  Wire again = d.client();
  again.write(Ask{.id = "again"}.text());
  EXPECT_EQ(status_of(again.read_message()), 200);
}

TEST(BadClients, ErrorsAreAnsweredOneByOneAndTheConnectionStays) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  Wire client = d.client();
  client.write(Ask{.id = "", .body = ""}.text() + Ask{.kind = "dance", .body = ""}.text() + Ask{}.text());
  EXPECT_EQ(status_of(client.read_message()), 400);
  EXPECT_EQ(status_of(client.read_message()), 400);
  EXPECT_EQ(status_of(client.read_message()), 200);
}

TEST(BadClients, ATimeOfDaysIsCutToThatOfTheClass) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  Wire client = d.client();
  client.write(Ask{.timeout = "900000000"}.text());
  ASSERT_EQ(status_of(client.read_message()), 200);
  EXPECT_LE(std::stoi(field_of(server.requests()[0], "X-Timeout-Ms")), 15000);
}

TEST(BadClients, OneThatWaitsToBeToldToContinueIs) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  Wire client = d.client();
  const std::string all = Ask{.fields = "Expect: 100-continue\r\n"}.text();
  client.write(all.substr(0, all.size() - 2));
  EXPECT_EQ(status_of(client.read_message()), 100);
  client.write("{}");
  EXPECT_EQ(status_of(client.read_message()), 200);
}

// Whatever leaves open where the body ends may hide another request in it.
TEST(BadClients, UnclearLengthsAreNeverForwarded) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  const std::string hidden = Ask{.id = "hidden"}.text();
  for (const std::string fields :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5, 5\r\n", "Content-Length: -5\r\n", "Content-Length: 99999999999999999999999\r\n",
        "Transfer-Encoding: identity, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "Transfer-Encoding: xchunked\r\n",
        "Content-Length : 5\r\n"}) {
    Wire client = d.client();
    client.write(Ask{.body = "", .fields = fields}.text() + "0\r\n\r\n" + hidden);
    const std::string answer = client.read_message();
    EXPECT_TRUE(answer.empty() || status_of(answer) >= 400) << fields << answer;
    EXPECT_EQ(client.read_rest().find("200 OK"), std::string::npos) << fields;
  }
  EXPECT_TRUE(server.requests().empty());
}

// ---------------------------------------------------------------- limits

// Guards against bodies that add up, over all connections, to more than the memory.
TEST(Limits, BodiesBeyondTheMemoryAreRefusedWithAdvice) {
  FakeServer server(replies(200, "ok"));
  ConfigText config;
  config.memory_mb = 8;  // 2.7 MB of it for messages: 40 bodies
  Deployment d({&server}, config);
  constexpr int kClients = 80;
  {
    std::vector<Wire> clients;
    for (int i = 0; i < kClients; ++i) {
      clients.push_back(d.client());
      clients.back().write("POST /close/k HTTP/1.1\r\nHost: a\r\nContent-Length: 65000\r\n\r\n" +
                           std::string(60000, 'x'));
    }
    int refused = 0, slow = 0;
    for (Wire& client : clients) {
      const std::string answer = client.read_message();
      if (!answer.empty() && status_of(answer) == 503 && !field_of(answer, "Retry-After").empty()) ++refused;
      if (!answer.empty() && status_of(answer) == 408) ++slow;
    }
    EXPECT_GE(refused, kClients / 4);
    EXPECT_GT(slow, 0) << "what there was room for was taken in";
  }
  Wire after = d.client();
  after.write(Ask{.body = std::string(60000, 'x')}.text());
  EXPECT_EQ(status_of(after.read_message()), 200) << "the room has been given back";
}

// ---------------------------------------------------------------- bad servers

TEST(BadServers, LengthsThatDontFitAreNoAnswer) {
  std::mutex mutex;
  std::string next;
  FakeServer server([&](Wire& wire, const std::string&) {
    const std::lock_guard lock(mutex);
    return wire.write("HTTP/1.1 200 OK\r\n" + next);
  });
  Deployment d({&server});
  int n = 0;
  for (const std::string rest :
       {"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "Content-Length: -2\r\n\r\nab",
        "Content-Length: two\r\n\r\nab",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", "Content-Length: 3000000000\r\n\r\nab"}) {
    {
      const std::lock_guard lock(mutex);
      next = rest;
    }
    Wire client = d.client();
    client.write(Ask{.id = "l" + std::to_string(++n)}.text());
    const int status = status_of(client.read_message());
    EXPECT_TRUE(status == 502 || status == 503) << rest << status;
  }
}

// Guards against a line of a body that never ends, and is taken in as long as it comes.
TEST(BadServers, AChunksHeadWithoutEndIsGivenUp) {
  FakeServer server([](Wire& wire, const std::string&) {
    wire.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;");
    while (wire.write(std::string(64 * 1024, 'x'))) {
    }
    return false;
  });
  Deployment d({&server});
  const auto start = std::chrono::steady_clock::now();
  Wire client = d.client();
  client.write(Ask{}.text());
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_LT(seconds_since(start), 10) << "the client waits 15 s";
}

// Guards against a freed connection that is handed to an attempt which waits for one, with a copy of the last
// answer still in it: that attempt would be answered by it. The first answer is just what one read takes in.
TEST(BadServers, ASecondCopyDoesNotAnswerTheAttemptThatWaits) {
  FullListener server;
  FakeDiscovery discovery;
  ConfigText config;
  config.discovery = discovery.address();
  config.known = list(7, true, member("s0", server.address()));
  config.bounds = R"("cancel":true,"maxAttempts":3,"dialTimeout":14.0,"idleClose":60.0)";
  Program program(config.text());
  Wire one = Wire::to(program.port()), two = Wire::to(program.port());
  one.write(Ask{.id = "one"}.text());
  Wire first(server.accept());
  ASSERT_EQ(field_of(first.read_message(), "X-Request-ID"), "one");
  server.fill();
  two.write(Ask{.id = "two"}.text());
  ASSERT_TRUE(eventually([&] { return server.dials() == 1; }));
  std::string answer = http_answer(200, "one", "X-Fill: \r\n");
  answer.insert(answer.find("\r\n\r\n"), std::string(512 - answer.size(), 'x'));
  first.write(answer + answer);
  EXPECT_EQ(body_of(one.read_message()), "one");
  Wire second(server.accept());
  EXPECT_EQ(field_of(second.read_message(), "X-Request-ID"), "two");
  second.write(http_answer(200, "two"));
  EXPECT_EQ(body_of(two.read_message()), "two");
}

TEST(BadServers, OneThatSpeaksUnaskedIsNotAsked) {
  std::atomic<int> asked = 0;
  Listener server([&](Wire& wire) {
    wire.write(http_answer(200, "unasked"));
    if (!wire.read_message().empty()) ++asked;
  });
  FakeDiscovery discovery;
  ConfigText config;
  config.discovery = discovery.address();
  config.known = list(7, true, member("s0", server.address()));
  Program program(config.text());
  for (int i = 0; i < 5; ++i) {
    Wire client = Wire::to(program.port());
    client.write(Ask{.id = "u" + std::to_string(i)}.text());
    // The greeting may come just after the request: then nothing tells it from an answer.
    const std::string answer = client.read_message();
    EXPECT_FALSE(answer.empty());
  }
  EXPECT_TRUE(program.running());
}

// ---------------------------------------------------------------- a long day

// Guards against a dial to a server that has gone, which brings what waits for it to the one that stands at
// its address now.
TEST(LongDay, ANewServerAtAGoneOnesAddressIsAnotherServer) {
  FullListener server;
  FakeDiscovery discovery;
  ConfigText config;
  config.discovery = discovery.address();
  config.known = list(7, true, member("s0", server.address()));
  config.bounds = R"("cancel":true,"maxAttempts":3,"dialTimeout":14.0,"idleClose":60.0)";
  Program program(config.text());
  server.fill();
  Wire client = Wire::to(program.port());
  client.write(Ask{}.text());
  ASSERT_TRUE(eventually([&] { return server.dials() == 1; }));
  discovery.say(
      list(8, false, member("s0", server.address(), "removed") + "," + member("s1", server.address())));
  // What waited has been told that it never ran, and goes to the new one by a dial of its own.
  ASSERT_TRUE(eventually([&] { return server.dials() == 2; }));
  std::vector<Wire> wires;
  for (int i = 0; i < 2; ++i) wires.emplace_back(server.accept());
  int requests = 0;
  for (Wire& wire : wires) {
    if (wire.read_message().empty()) continue;  // closed unused
    ++requests;
    wire.write(http_answer(200, "new"));
  }
  EXPECT_EQ(requests, 1);
  EXPECT_EQ(body_of(client.read_message()), "new");
}

// Longer than the protocol says, by callers who are no strangers: whole at the server, with a length or in
// chunks, all at once or in pieces of which each has been taken in before the next.
TEST(Clients, MaySendLongRequests) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  Wire client = d.client();
  const std::string body(90 * 1024, 'b');
  client.write(Ask{.id = "length", .body = body}.text());
  EXPECT_EQ(status_of(client.read_message()), 200);
  client.write(Ask{.id = "chunks", .body = "", .fields = "Transfer-Encoding: chunked\r\n"}.text());
  for (std::size_t at = 0; at < body.size(); at += 9 * 1024) {
    ASSERT_TRUE(client.write("2400\r\n" + body.substr(at, 9 * 1024) + "\r\n"));
    int unread = 1;
    ASSERT_TRUE(eventually([&] { return ::ioctl(client.fd(), SIOCOUTQ, &unread) == 0 && unread == 0; }));
  }
  client.write("0\r\n\r\n");
  EXPECT_EQ(status_of(client.read_message()), 200);
  ASSERT_EQ(server.requests().size(), 2U);
  for (const std::string& request : server.requests()) EXPECT_EQ(body_of(request), body);
}

// Whose time is up as he asks is refused, for nothing has run, and his connection goes on as it was: no pause
// as after an error.
TEST(Clients, WithNoTimeLeftAreRefusedAtOnce) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  Wire client = d.client();
  for (int i = 0; i < 3; ++i) {
    client.write(Ask{.id = "none" + std::to_string(i), .timeout = "0"}.text());
    const std::string answer = client.read_message();
    EXPECT_EQ(status_of(answer), 503) << answer;
    EXPECT_FALSE(field_of(answer, "Retry-After").empty());
  }
  EXPECT_TRUE(server.requests().empty());
  client.write(Ask{.id = "some"}.text());
  EXPECT_EQ(status_of(client.read_message()), 200);
}

}  // namespace
}  // namespace thymewood::node
