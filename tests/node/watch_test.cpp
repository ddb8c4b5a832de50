// The list of servers, and the watches that bring it: silent, reset, in pieces, out of order. What a watch
// misses counts as told 6 s after it fell silent; after a new configuration, 4 s later.
#include "scripted_discovery.h"

namespace thymewood::node {
namespace {

std::string indented(const std::string& json) {
  std::string out, pad;
  bool text = false, escaped = false;
  for (const char c : json) {
    if (c == '"' && !escaped) text = !text;
    escaped = c == '\\' && !escaped;
    if (!text && (c == '}' || c == ']'))
      out += "\n" + pad.substr(0, pad.size() - 2), pad.resize(pad.size() - 2);
    out += c;
    if (!text && (c == '{' || c == '[')) out += "\r\n" + (pad += "  ");
    if (!text && c == ',') out += "\n" + pad;
  }
  return out;
}

// Lists may come indented, over many lines, with empty ones before, between and behind.
TEST(Lists, MayComeIndentedAndInPieces) {
  FakeServer server(replies(200, "ok"));
  Deployment d({}, ConfigText{.known = list(1, true, "")});
  const std::string odd =
      R"({"name":"a}\"{[\\","address":"127.0.0.1:9","status":"draining","note":{"x":[1,{}]}})";
  const std::string all = "\n\n" + indented(list(8, true, odd + "," + member("s0", server.address()))) +
                          "\n\n" + indented(list(9, false, member("s1", server.address(), "draining")));
  for (std::size_t at = 0; at < all.size(); at += 7)
    ASSERT_TRUE(d.discovery.say_raw(chunk(all.substr(at, 7))));
  int n = 0;
  EXPECT_TRUE(eventually([&] {
    Wire client = d.client();
    client.write(Ask{.id = "i" + std::to_string(++n)}.text());
    return status_of(client.read_message()) == 200;
  }));
  ASSERT_TRUE(d.discovery.say_raw(
      chunk("\n" + indented(list(10, false, member("s0", server.address(), "draining"))))));
  EXPECT_TRUE(eventually([&] {
    Wire client = d.client();
    client.write(Ask{.id = "i" + std::to_string(++n)}.text());
    return status_of(client.read_message()) == 503;
  })) << "an object is whole at its last brace, whether or not a line ends there";
  EXPECT_EQ(d.discovery.calls().size(), 1U) << d.program->log();
}

// Two objects on one line, and unknown fields; a server named twice is as the later entry says.
TEST(Lists, OneServerNamedTwiceIsAsTheLaterEntrySays) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  int n = 0;
  const auto status = [&] {
    Wire client = d.client();
    client.write(Ask{.id = "t" + std::to_string(++n)}.text());
    return status_of(client.read_message());
  };
  const std::string up = member("s0", server.address()), drain = member("s0", server.address(), "draining");
  d.discovery.say(list(8, true, up + "," + drain));
  EXPECT_TRUE(eventually([&] { return status() == 503; }));
  d.discovery.say(list(9, true, drain + "," + up));
  EXPECT_TRUE(eventually([&] { return status() == 200; }));
  d.discovery.say(list(10, false, up) + list(11, false, drain));
  EXPECT_TRUE(eventually([&] { return status() == 503; }));
  d.discovery.say(list(12, true, ""));
  EXPECT_TRUE(eventually([&] { return server.listener().open() == 0; }));
  EXPECT_EQ(status(), 503);
  EXPECT_EQ(d.discovery.calls().size(), 1U);
}

// One entry that can't be read is that server's misfortune: it gets nothing new until it can be read again,
// and what the same list says of the others counts.
TEST(Lists, AnEntryThatCantBeReadCostsNoOther) {
  const char* const kUnread[] = {R"({"name":"s0","address":"nowhere","status":"up"})",
                                 R"({"name":"s0","status":"up"})",
                                 R"({"name":"s0","address":"127.0.0.1:9","status":"resting"})",
                                 R"({"name":"s0","address":"127.0.0.1:9","status":"up","group":"x"})"};
  for (const char* unread : kUnread) {
    FakeServer odd(replies(200, "odd")), other(replies(200, "other"));
    Deployment d({&odd, &other});
    int n = 0;
    const auto ask = [&] {
      Wire client = d.client();
      client.write(Ask{.id = "e" + std::to_string(++n)}.text());
      return client.read_message();
    };
    const std::string nobody = R"({"status":"up"},7,{"name":"","address":"127.0.0.1:9","status":"up"})";
    d.discovery.say(
        list(8, false, unread + ("," + nobody) + "," + member("s1", other.address(), "draining")));
    EXPECT_TRUE(eventually([&] { return status_of(ask()) == 503; })) << unread;
    EXPECT_GE(d.program->logged("endpoints[0]: field '"), 1) << d.program->log();
    d.discovery.say(list(9, false, member("s0", odd.address())));
    EXPECT_TRUE(eventually([&] { return body_of(ask()) == "odd"; })) << unread;
    EXPECT_EQ(d.discovery.calls().size(), 1U) << "no need to ask for the list anew";
  }
}

// A change that is older than what is known takes nothing back, least of all a drain.
TEST(Lists, AnOlderChangeIsPassedOver) {
  FakeServer drained(replies(200, "drained")), marker(replies(200, "marker"));
  Deployment d({&drained, &marker});
  d.discovery.say(list(20, false, member("s0", drained.address(), "draining")));
  ASSERT_TRUE(eventually([&] { return drained.listener().open() == 0; }));
  d.discovery.say(list(19, false, member("s0", drained.address())));
  d.discovery.say(list(21, false, member("s1", marker.address(), "draining")));
  // Once the last of these is known, none is left to serve.
  int n = 0;
  EXPECT_TRUE(eventually([&] {
    Wire client = d.client();
    client.write(Ask{.id = "o" + std::to_string(++n)}.text());
    return status_of(client.read_message()) == 503;
  }));
  const std::size_t before = drained.requests().size();
  for (int i = 0; i < 10; ++i) {
    Wire client = d.client();
    client.write(Ask{.id = "p" + std::to_string(i)}.text());
    EXPECT_EQ(status_of(client.read_message()), 503);
  }
  EXPECT_EQ(drained.requests().size(), before);
}

// A watch that breaks within a line: the line counts for nothing, and is asked for again.
TEST(Lists, HalfALineIsAskedForAgain) {
  FakeServer server(replies(200, "ok"));
  const std::string whole = list(8, false, member("s0", server.address(), "draining")) + "\n";
  ScriptedDiscovery discovery([&](Wire& wire, int call) {
    if (call == 0) {
      wire.write(kHead + chunk(whole.substr(0, whole.size() / 2)));
      return;
    }
    wire.write(kHead + chunk(whole));
    wire.read_rest();
  });
  Node node(discovery, list(7, true, member("s0", server.address())));
  EXPECT_TRUE(eventually([&] { return node.status() == 503; }));
  ASSERT_GE(discovery.calls().size(), 2U);
  EXPECT_NE(discovery.calls()[1].text.find("after=7 "), std::string::npos) << discovery.calls()[1].text;
}

// An object that was torn: those behind it are not swallowed with it, nor do empty lines keep such a watch.
TEST(Lists, WhatComesBehindATornObjectIsAskedForAgain) {
  FakeServer server(replies(200, "ok"));
  for (const bool more : {true, false}) {
    std::atomic<bool> over = false;
    const std::string drain = list(8, false, member("s0", server.address(), "draining")) + "\n";
    ScriptedDiscovery discovery([&](Wire& wire, int call) {
      wire.write(kHead + chunk(call == 0 ? drain.substr(0, 40) + "\n" : drain));
      if (call == 0 && more) wire.write(chunk(drain + drain));
      for (int i = 0; i < 200 && !over && wire.is_open(); ++i) {
        if (!wire.write(chunk("\n"))) return;
        std::this_thread::sleep_for(100ms);
      }
    });
    {
      Node node(discovery, list(7, true, member("s0", server.address())));
      EXPECT_TRUE(eventually([&] { return node.status() == 503; })) << more;
      EXPECT_EQ(discovery.calls().size(), 2U);
      EXPECT_NE(discovery.calls()[1].text.find("after=7 "), std::string::npos);
      EXPECT_LT(std::chrono::duration<double>(discovery.calls()[1].at - discovery.calls()[0].at).count(), 6);
    }
    over = true;
  }
}

// A watch that was good and falls silent is opened anew in time for what it missed, and so once more if the
// new one is accepted and as silent: before the 6 s are over, two have been tried.
TEST(SilentWatch, ANewOneThatIsSilentTooIsGivenUpInTime) {
  FakeServer server(replies(200, "ok"));
  std::atomic<bool> over = false;
  ScriptedDiscovery discovery([&](Wire& wire, int call) {
    if (call == 0) wire.write(kHead + chunk("\n"));
    if (call == 2)
      wire.write(kHead + chunk(list(8, false, member("s0", server.address(), "draining")) + "\n"));
    while (!over && wire.more()) {
    }
  });
  Node node(discovery, list(7, true, member("s0", server.address())));
  ASSERT_TRUE(eventually([&] { return discovery.calls().size() >= 3; }));
  const auto calls = discovery.calls();
  EXPECT_LT(std::chrono::duration<double>(calls[2].at - calls[0].at).count(), 6.2);
  EXPECT_TRUE(eventually([&] { return node.status() == 503; }));
  over = true;
}

// The pauses that have grown while discovery was down are over with the first word of a watch, be it an empty
// line: nothing may have changed.
TEST(SilentWatch, IsOpenedAnewAtOnceAlsoAfterAnOutage) {
  FakeServer server(replies(200, "ok"));
  constexpr int kDown = 4;
  std::mutex mutex;
  Steady::time_point spoke;
  ScriptedDiscovery discovery([&](Wire& wire, int call) {
    if (call < kDown) {
      wire.write(http_answer(503, ""));
      return;
    }
    if (call == kDown) {
      const std::lock_guard lock(mutex);
      spoke = Steady::now();
    }
    wire.write(kHead + chunk("\n"));
    wire.read_rest();
  });
  Node node(discovery, list(7, true, member("s0", server.address())));
  ASSERT_TRUE(eventually([&] { return discovery.calls().size() >= kDown + 2; }));
  const std::lock_guard lock(mutex);
  EXPECT_LT(std::chrono::duration<double>(discovery.calls()[kDown + 1].at - spoke).count(), 4);
}

// A watch that fell silent, and a discovery that is busy and turns the next calls away.
TEST(SilentWatch, IsTriedAgainSeveralTimesInTime) {
  FakeServer server(replies(200, "ok"));
  constexpr int kDown = 4;  // these fail first, so that the pauses have grown
  ScriptedDiscovery discovery([&](Wire& wire, int call) {
    if (call != kDown && call < kDown + 3) {
      wire.write(http_answer(503, ""));
      return;
    }
    wire.write(kHead + chunk("\n"));
    wire.read_rest();
  });
  Node node(discovery, list(7, true, member("s0", server.address())));
  ASSERT_TRUE(eventually([&] { return discovery.calls().size() >= kDown + 4; }));
  const auto calls = discovery.calls();
  EXPECT_LT(std::chrono::duration<double>(calls[kDown + 3].at - calls[kDown].at).count(), 6);
}

// After a new configuration: what discovery says at its new address counts 4 s later, also where its first
// calls there are turned away and the pauses at the old one had grown.
TEST(MovedWatch, IsTriedSeveralTimesWithinFourSeconds) {
  FakeServer server(replies(200, "ok"));
  ScriptedDiscovery old([](Wire& wire, int) { wire.write(http_answer(503, "")); });
  Node node(old, list(7, true, member("s0", server.address())));
  ASSERT_TRUE(eventually([&] { return old.calls().size() >= 4; }));
  ScriptedDiscovery moved([&](Wire& wire, int call) {
    if (call < 5) return;  // reset or closed without a word
    wire.write(kHead + chunk(list(3, true, member("s0", server.address(), "draining")) + "\n"));
    wire.read_rest();
  });
  ConfigText text = node.text;
  text.discovery = moved.address();
  const auto start = Steady::now();
  node.program->reload(text.text());
  ASSERT_TRUE(eventually([&] { return moved.calls().size() >= 6; }));
  EXPECT_LT(seconds_since(start), 4);
  EXPECT_TRUE(eventually([&] { return node.status() == 503; }));
}

// Where lists are pushed, what the agent on the node's own machine has counts as told, watch or not: it is
// asked again without a pause that could be longer than a grace.
TEST(PushedLists, ABrokenWatchIsOpenedAnewAtOnce) {
  FakeServer server(replies(200, "ok"));
  std::mutex mutex;
  std::vector<Steady::time_point> ended;
  ScriptedDiscovery agent([&](Wire& wire, int call) {
    wire.write(kHead + chunk("\n"));
    if (call >= 5) wire.read_rest();
    const std::lock_guard lock(mutex);
    ended.push_back(Steady::now());
  });
  Node node(agent, list(7, true, member("s0", server.address())), "automatic");
  ASSERT_TRUE(eventually([&] { return agent.calls().size() >= 6; }));
  const auto calls = agent.calls();
  EXPECT_LT(std::chrono::duration<double>(calls[5].at - calls[0].at).count(), 1.5)
      << "five pauses; each was 0.5 to 1.5 s";
}

// The same from the first moment of a new process, which starts with the list that the one before it had: a
// request that is there before the agent has spoken waits for its word.
TEST(PushedLists, ANewProcessTakesNobodyBeforeTheAgentHasSpoken) {
  FakeServer server(replies(200, "ok"));
  // The agent's word has to come within the time that the node waits for it; a machine that is busy may miss
  // that, and then it is tried again.
  constexpr double kInTime = 0.5;
  constexpr int kTries = 20;
  bool in_time = false;
  for (int i = 0; i < kTries && !in_time; ++i) {
    Gate gate;
    ScriptedDiscovery agent([&](Wire& wire, int) {
      if (!gate.wait()) return;
      wire.write(kHead + chunk(list(8, true, member("s0", server.address(), "draining")) + "\n"));
      wire.read_rest();
    });
    ConfigText config;
    config.known = list(7, true, member("s0", server.address()));
    config.mode = "automatic";
    config.discovery = agent.address();
    Program program(config.text(), 0, false);
    // The node counts from when it says that it listens; it may take long to come that far.
    auto start = Steady::now();
    ASSERT_TRUE(eventually([&] {
      const auto looked = Steady::now();
      if (program.port() != 0) return true;
      start = looked;
      return false;
    }));
    Wire client = Wire::to(program.port());
    client.write(Ask{}.text());
    // Long enough for an answer to a request that is taken at once.
    pollfd answered{client.fd(), POLLIN, 0};
    const bool early = ::poll(&answered, 1, 50) > 0;
    gate.open();
    in_time = seconds_since(start) < kInTime;
    if (!in_time) continue;
    EXPECT_FALSE(early);
    EXPECT_EQ(status_of(client.read_message()), 503);
    EXPECT_EQ(server.requests().size(), 0U) << "what the agent has counts as told";
  }
  EXPECT_TRUE(in_time);
}

// An agent that is silent, as it is while discovery is down, keeps no node from serving.
TEST(PushedLists, ANewProcessServesByItsKnownListIfTheAgentIsSilent) {
  FakeServer server(replies(200, "ok"));
  ScriptedDiscovery agent([](Wire& wire, int) { wire.read_rest(); });
  Node node(agent, list(7, true, member("s0", server.address())), "automatic");
  const auto start = Steady::now();
  EXPECT_EQ(node.status(), 200);
  EXPECT_LT(seconds_since(start), 10) << "ready in time";
}

// Guards against a request that waits for the agent's first list for longer than its client waits.
TEST(PushedLists, ARequestThatCantWaitForTheAgentIsRefusedInTime) {
  FakeServer server(replies(200, "ok"));
  ScriptedDiscovery agent([](Wire& wire, int) { wire.read_rest(); });
  ConfigText config;
  config.known = list(7, true, member("s0", server.address()));
  config.mode = "automatic";
  config.discovery = agent.address();
  Program program(config.text());
  Wire client = Wire::to(program.port());
  const auto start = Steady::now();
  client.write(Ask{.id = "hasty", .timeout = "400"}.text());
  EXPECT_EQ(status_of(client.read_message()), 503) << "nothing was sent: it may come again";
  EXPECT_LT(seconds_since(start), 0.45);
  EXPECT_EQ(server.requests().size(), 0U);
}

}  // namespace
}  // namespace thymewood::node
