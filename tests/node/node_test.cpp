// The node's basic behaviour over loopback sockets: outcomes, invalid requests, watch, lifecycle.
#include "node_harness.h"

namespace thymewood::node {
namespace {

TEST(Node, ForwardsARequestUnchanged) {
  FakeServer server(replies(200, "the answer", "Content-Type: text/x-mark\r\n"));
  Deployment d({&server});
  Wire client = d.client();
  client.write(Ask{.kind = "mark", .body = "payload", .timeout = "9000", .key = "k-77"}.text());
  const std::string answer = client.read_message();
  EXPECT_EQ(status_of(answer), 200) << answer;
  EXPECT_EQ(body_of(answer), "the answer");
  EXPECT_EQ(field_of(answer, "Content-Type"), "text/x-mark");
  ASSERT_EQ(server.requests().size(), 1U);
  const std::string request = server.requests()[0];
  EXPECT_EQ(request.rfind("POST /mark/k1?x=1 HTTP/1.1\r\n", 0), 0U) << request;
  EXPECT_EQ(field_of(request, "X-Request-ID"), "r1");
  EXPECT_EQ(field_of(request, "Idempotency-Key"), "k-77");
  EXPECT_EQ(body_of(request), "payload");
  // The timeout of the attempt, which is shorter than that of the client.
  const int timeout_ms = std::stoi(field_of(request, "X-Timeout-Ms"));
  EXPECT_GT(timeout_ms, 0);
  EXPECT_LT(timeout_ms, 9000);
}

TEST(Node, ReusesConnectionsOnBothSides) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  Wire client = d.client();
  for (int i = 0; i < 5; ++i) {
    client.write(Ask{.id = "r" + std::to_string(i)}.text());
    EXPECT_EQ(status_of(client.read_message()), 200);
  }
  EXPECT_EQ(server.listener().accepted(), 1);
}

// Outcomes as in the protocol's table: a request that was not processed may be retried, also one that is not
// idempotent.
TEST(Outcomes, RejectedUnprocessedIsRetried) {
  FakeServer full(replies(503, "", "X-Not-Processed: 1\r\n")),
      busy(replies(503, "", "X-Not-Processed: 1\r\n"));
  Deployment d({&full, &busy});
  Wire client = d.client();
  client.write(Ask{}.text());
  const std::string answer = client.read_message();
  EXPECT_EQ(status_of(answer), 503);
  EXPECT_FALSE(field_of(answer, "Retry-After").empty());
  EXPECT_EQ(full.requests().size() + busy.requests().size(), 2U) << "each server once";
}

TEST(Outcomes, RejectedByOneServerIsServedByAnother) {
  FakeServer full(replies(503, "", "X-Not-Processed: 1\r\n")), idle(replies(200, "ok"));
  Deployment d({&full, &idle});
  Wire client = d.client();
  for (int i = 0; i < 10; ++i) {
    client.write(Ask{.id = "r" + std::to_string(i)}.text());
    EXPECT_EQ(status_of(client.read_message()), 200);
  }
  EXPECT_EQ(idle.requests().size(), 10U);
}

void expect_failed_once(const FakeServer::Reply& reply) {
  FakeServer server(reply);
  Deployment d({&server});
  Wire client = d.client();
  client.write(Ask{}.text());
  const std::string answer = client.read_message();
  EXPECT_EQ(status_of(answer), 502) << answer;
  EXPECT_EQ(server.requests().size(), 1U)
      << "a request that is not idempotent and may have been processed is not retried";
  EXPECT_TRUE(d.program->running());
}

TEST(Outcomes, ErrorMayHaveBeenProcessed) { expect_failed_once(replies(500, "no")); }
TEST(Outcomes, UnmarkedUnavailableMayHaveBeenProcessed) { expect_failed_once(replies(503, "no")); }
TEST(Outcomes, OtherValueOfTheMarkIsIgnored) {
  expect_failed_once(replies(504, "no", "X-Not-Processed: 0\r\n"));
}
TEST(Outcomes, OtherStatusMayHaveBeenProcessed) {
  expect_failed_once(replies(404, "no", "X-Not-Processed: 1\r\n"));
}
TEST(Outcomes, CloseWithoutResponseMayHaveBeenProcessed) {
  expect_failed_once([](Wire&, const std::string&) { return false; });
}
TEST(Outcomes, ResetMayHaveBeenProcessed) {
  expect_failed_once([](Wire& wire, const std::string&) {
    const linger hard{1, 0};
    ::setsockopt(wire.fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    return false;
  });
}
TEST(Outcomes, TruncatedResponseMayHaveBeenProcessed) {
  expect_failed_once([](Wire& wire, const std::string&) {
    wire.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
    return false;
  });
}
TEST(Outcomes, ResponseWithoutLengthOrConnectionCloseIsTruncated) {
  expect_failed_once([](Wire& wire, const std::string&) {
    wire.write("HTTP/1.1 200 OK\r\n\r\nperhaps half");
    return false;
  });
}
TEST(Outcomes, MalformedResponseMayHaveBeenProcessed) {
  expect_failed_once(
      [](Wire& wire, const std::string&) { return wire.write(std::string("\0\x7f~?\r\n\r\n", 8)); });
}
TEST(Outcomes, EndlessHeadMayHaveBeenProcessed) {
  expect_failed_once([](Wire& wire, const std::string&) {
    return wire.write("HTTP/1.1 200 OK\r\nX-Long: " + std::string(64 * 1024, 'x'));
  });
}
TEST(Outcomes, BodyBeyondTheLimitMayHaveBeenProcessed) {
  expect_failed_once([](Wire& wire, const std::string&) {
    return wire.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx");
  });
}

// Larger than the largest request, and with text inside that looks like a response.
std::string large_body(std::size_t size) {
  std::string out;
  while (out.size() < size)
    out += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno\r\n0\r\n\r\n" + std::to_string(out.size());
  out.resize(size);
  return out;
}

TEST(Outcomes, ResponseMayBeLargerThanARequest) {
  const std::string body = large_body(370'000);
  FakeServer server(replies(200, body));
  Deployment d({&server});
  Wire client = d.client();
  for (int i = 0; i < 3; ++i) {
    client.write(Ask{.id = "r" + std::to_string(i)}.text());
    const std::string answer = client.read_message();
    EXPECT_EQ(status_of(answer), 200);
    EXPECT_TRUE(body_of(answer) == body) << "unchanged, " << body_of(answer).size() << " bytes";
  }
}
TEST(Outcomes, LargestResponseIsOneMebibyte) {
  FakeServer server(replies(200, large_body(1024 * 1024)));
  Deployment d({&server});
  Wire client = d.client();
  client.write(Ask{}.text());
  EXPECT_EQ(body_of(client.read_message()).size(), 1024U * 1024U);
  expect_failed_once(replies(200, large_body(1024 * 1024 + 1)));
}
TEST(Outcomes, ChunkedBodyBeyondTheLimitMayHaveBeenProcessed) {
  expect_failed_once([](Wire& wire, const std::string&) {
    wire.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    for (int i = 0; i < 40 && wire.write(chunk); ++i) {
    }
    return false;
  });
}

// The attempt ends when the head has arrived, not with the client's timeout.
TEST(Outcomes, BodyBeyondTheLimitIsAbandonedAtItsHead) {
  std::atomic<bool> is_open = true;
  FakeServer server([&](Wire& wire, const std::string&) {
    wire.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx");
    wire.more();  // returns at the node's close
    is_open = false;
    return false;
  });
  Deployment d({&server});
  Wire client = d.client();
  const auto start = std::chrono::steady_clock::now();
  client.write(Ask{}.text());
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 10s) << "the client waits 15 s";
  EXPECT_TRUE(eventually([&] { return !is_open; }));
}

TEST(Outcomes, InterimResponsesAreSkipped) {
  FakeServer server([](Wire& wire, const std::string&) {
    return wire.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" +
                      http_answer(200, "ok"));
  });
  Deployment d({&server});
  Wire client = d.client();
  for (int i = 0; i < 2; ++i) {
    client.write(Ask{.id = "r" + std::to_string(i)}.text());
    EXPECT_EQ(body_of(client.read_message()), "ok");
  }
  EXPECT_EQ(server.listener().accepted(), 1);
}

TEST(Outcomes, SplitChunkedResponseIsReassembled) {
  FakeServer server([](Wire& wire, const std::string&) {
    for (const char c : std::string(
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")) {
      if (!wire.write(std::string(1, c))) return false;
    }
    return true;
  });
  Deployment d({&server});
  Wire client = d.client();
  for (int i = 0; i < 2; ++i) {
    client.write(Ask{.id = "r" + std::to_string(i)}.text());
    EXPECT_EQ(body_of(client.read_message()), "abcde");
  }
}

TEST(Outcomes, SurplusBytesAreNotTheNextResponse) {
  FakeServer server([](Wire& wire, const std::string&) {
    return wire.write(http_answer(200, "right") + http_answer(200, "wrong"));
  });
  Deployment d({&server});
  Wire client = d.client();
  for (int i = 0; i < 3; ++i) {
    client.write(Ask{.id = "r" + std::to_string(i)}.text());
    EXPECT_EQ(body_of(client.read_message()), "right");
  }
}

TEST(Outcomes, ConnectFailureIsNotProcessed) {
  int port = 0;
  {
    FakeServer stopped(replies(200, "x"));
    port = stopped.listener().port();
  }
  FakeDiscovery discovery;
  ConfigText config;
  config.discovery = discovery.address();
  config.known = list(7, true, member("s0", "127.0.0.1:" + std::to_string(port)));
  Program program(config.text());
  Wire client = Wire::to(program.port());
  client.write(Ask{}.text());
  EXPECT_EQ(status_of(client.read_message()), 503) << "shed, not failed: the request was not processed";
}

TEST(Outcomes, TimeoutMayHaveBeenProcessedAndClosesTheConnection) {
  FakeServer server([](Wire&, const std::string&) { return true; });
  Deployment d({&server});
  Wire client = d.client();
  client.write(Ask{.timeout = "300"}.text());
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_EQ(server.requests().size(), 1U);
  EXPECT_TRUE(eventually([&] { return server.ended() == 1; }));
}

// ---------------------------------------------------------------- invalid requests

void expect_rejected(const std::string& request, int status) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  Wire client = d.client();
  client.write(request);
  const std::string answer = client.read_message();
  EXPECT_EQ(status_of(answer), status) << answer;
  EXPECT_TRUE(server.requests().empty()) << "never forwarded";
  EXPECT_TRUE(d.program->running());
}

TEST(InvalidRequest, Malformed) { expect_rejected("\x01\x02 what?\r\n\r\n", 400); }
TEST(InvalidRequest, MissingId) { expect_rejected(Ask{.id = ""}.text(), 400); }
TEST(InvalidRequest, TwoIds) { expect_rejected(Ask{.fields = "X-Request-ID: r2\r\n"}.text(), 400); }
TEST(InvalidRequest, UnknownClass) { expect_rejected(Ask{.kind = "dance"}.text(), 400); }
TEST(InvalidRequest, ClassNotOfThePath) { expect_rejected(Ask{.path = "/mark/k1"}.text(), 400); }
TEST(InvalidRequest, UnknownPath) { expect_rejected("GET /ping HTTP/1.1\r\nHost: a\r\n\r\n", 404); }
TEST(InvalidRequest, TimeoutNotANumber) { expect_rejected(Ask{.timeout = "soon"}.text(), 400); }
TEST(InvalidRequest, NegativeTimeout) { expect_rejected(Ask{.timeout = "-5"}.text(), 400); }
TEST(InvalidRequest, TimeoutWithSuffix) { expect_rejected(Ask{.timeout = "50ms"}.text(), 400); }
TEST(InvalidRequest, TimeoutOutOfRange) {
  expect_rejected(Ask{.timeout = "99999999999999999999"}.text(), 400);
}
TEST(InvalidRequest, KeyOnNonIdempotentClass) { expect_rejected(Ask{.key = "k"}.text(), 400); }
TEST(InvalidRequest, MissingKey) { expect_rejected(Ask{.kind = "mark"}.text(), 400); }
TEST(InvalidRequest, GetOnNonIdempotentClass) {
  expect_rejected(Ask{.method = "GET", .body = ""}.text(), 400);
}
TEST(InvalidRequest, PostOnIdempotentClass) { expect_rejected(Ask{.kind = "look"}.text(), 400); }
TEST(InvalidRequest, BodyTooLarge) {
  expect_rejected(Ask{.body = std::string(256 * 1024 + 1, 'x')}.text(), 413);
}
TEST(InvalidRequest, ChunkedBodyTooLarge) {
  expect_rejected(Ask{.body = "", .fields = "Transfer-Encoding: chunked\r\n"}.text() + "40001\r\n" +
                      std::string(256 * 1024 + 1, 'x') + "\r\n0\r\n\r\n",
                  413);
}
TEST(InvalidRequest, BodyOfGigabytes) {
  expect_rejected("POST /close/k HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000000\r\n\r\nx", 413);
}
TEST(InvalidRequest, EndlessHead) {
  expect_rejected("GET /close/k HTTP/1.1\r\nX-Long: " + std::string(32 * 1024, 'x'), 431);
}
TEST(InvalidRequest, TwoLengths) {
  expect_rejected(
      "POST /close/k HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400);
}

TEST(InvalidRequest, IdOfAnOpenRequest) {
  Gate gate;
  FakeServer server([&](Wire& wire, const std::string&) {
    gate.wait();
    return wire.write(http_answer(200, "ok"));
  });
  Deployment d({&server});
  Wire first = d.client(), second = d.client();
  first.write(Ask{}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  second.write(Ask{}.text());
  EXPECT_EQ(status_of(second.read_message()), 400);
  gate.open();
  EXPECT_EQ(status_of(first.read_message()), 200);
  EXPECT_EQ(server.requests().size(), 1U);
}

// ---------------------------------------------------------------- clients

TEST(Clients, SplitRequestIsReassembled) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  Wire client = d.client();
  for (const char c : Ask{}.text()) client.write(std::string(1, c));
  EXPECT_EQ(status_of(client.read_message()), 200);
}

TEST(Clients, PipelinedRequestsAreAnsweredInOrder) {
  FakeServer server([](Wire& wire, const std::string& request) {
    return wire.write(http_answer(200, field_of(request, "X-Request-ID")));
  });
  Deployment d({&server});
  Wire client = d.client();
  std::string all;
  for (int i = 0; i < 20; ++i) all += Ask{.id = "r" + std::to_string(i)}.text();
  client.write(all);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(body_of(client.read_message()), "r" + std::to_string(i));
}

TEST(Clients, DisconnectIsNoticedAndItsAttemptClosed) {
  FakeServer server([](Wire&, const std::string&) { return true; });
  Deployment d({&server});
  Wire client = d.client();
  client.write(Ask{}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  client.close();
  EXPECT_TRUE(eventually([&] { return server.ended() == 1; }));
}

// ---------------------------------------------------------------- discovery

TEST(Watch, ResumesAfterTheKnownListAndReadsSplitAndJoinedLines) {
  FakeServer old_server(replies(200, "old")), new_server(replies(200, "new"));
  Deployment d({&old_server});
  ASSERT_TRUE(eventually([&] { return !d.discovery.calls().empty(); }));
  EXPECT_NE(d.discovery.calls()[0].find("watch=1&after=7 "), std::string::npos);
  const std::string lines = list(8, false, member("s0", old_server.address(), "draining")) + "\n\n" +
                            list(9, false, member("s1", new_server.address())) + "\n";
  const std::size_t cut = lines.size() / 3;
  d.discovery.say_raw(chunk(lines.substr(0, cut)));
  d.discovery.say_raw(chunk(lines.substr(cut)));
  int n = 0;
  EXPECT_TRUE(eventually([&] {
    Wire client = d.client();
    client.write(Ask{.id = "w" + std::to_string(++n)}.text());
    return body_of(client.read_message()) == "new";
  }));
  d.discovery.hang_up();
  ASSERT_TRUE(eventually([&] { return d.discovery.calls().size() >= 2; }));
  EXPECT_NE(d.discovery.calls()[1].find("watch=1&after=9 "), std::string::npos);
}

TEST(Watch, NodeReconnectsByItselfWhereListsArePushed) {
  FakeServer server(replies(200, "ok"));
  FakeDiscovery discovery;
  ConfigText config;
  config.discovery = discovery.address();
  config.mode = "automatic";
  Program program(config.text());
  ASSERT_TRUE(eventually([&] { return discovery.calls().size() == 1; }));
  discovery.answer_with("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                        chunk(list(3, true, member("s0", server.address())) + "\n"));
  // The call may not be registered as the current one yet.
  EXPECT_TRUE(eventually([&] {
    discovery.hang_up();
    return discovery.calls().size() >= 2;
  }));
  EXPECT_TRUE(eventually([&] {
    Wire client = Wire::to(program.port());
    client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    return status_of(client.read_message()) == 200;
  }));
}

// The same for a server that drains.
TEST(Watch, RemovedServerIsUsedAgainAfterItsReturn) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  int n = 0;
  const auto status = [&] {
    Wire client = d.client();
    client.write(Ask{.id = "b" + std::to_string(++n)}.text());
    return status_of(client.read_message());
  };
  EXPECT_EQ(status(), 200);
  int index = 7;
  for (const char* state : {"removed", "draining"}) {
    d.discovery.say(list(++index, false, member("s0", server.address(), state)));
    EXPECT_TRUE(eventually([&] { return status() == 503; }));
    EXPECT_TRUE(eventually([&] { return server.listener().open() == 0; })) << "idle connections are closed";
    d.discovery.say(list(++index, false, member("s0", server.address())));
    EXPECT_TRUE(eventually([&] { return status() == 200; }));
  }
}

TEST(Watch, SilentWatchIsAbandoned) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  EXPECT_TRUE(eventually([&] { return d.discovery.calls().size() >= 2; }));
}

TEST(Watch, InvalidListsAreLoggedOnceAndTheLastOneIsRetained) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  d.discovery.answer_with("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("{\"index\":\n"));
  d.discovery.hang_up();
  ASSERT_TRUE(eventually([&] { return d.discovery.calls().size() >= 3; }));
  const std::string log = d.program->log();
  const std::size_t first = log.find("discovery: ");
  EXPECT_NE(first, std::string::npos);
  EXPECT_EQ(log.find("discovery: ", first + 1), std::string::npos) << log;
  Wire client = d.client();
  client.write(Ask{}.text());
  EXPECT_EQ(status_of(client.read_message()), 200);
}

TEST(Watch, UnavailableDiscoveryIsPolledAgain) {
  FakeServer server(replies(200, "ok"));
  FakeDiscovery discovery;
  discovery.answer_with(http_answer(503, ""));
  ConfigText config;
  config.discovery = discovery.address();
  Program program(config.text());
  ASSERT_TRUE(eventually([&] { return discovery.calls().size() >= 2; }));
  Wire early = Wire::to(program.port());
  early.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_EQ(status_of(early.read_message()), 503) << "there is no server yet";
  discovery.answer_with("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                        chunk(list(3, true, member("s0", server.address())) + "\n"));
  EXPECT_TRUE(eventually([&] {
    early.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    return status_of(early.read_message()) == 200;
  }));
}

// ---------------------------------------------------------------- lifecycle and limits

TEST(Lifecycle, SigtermCompletesAcceptedRequests) {
  Gate gate;
  FakeServer server([&](Wire& wire, const std::string&) {
    gate.wait();
    return wire.write(http_answer(200, "ok"));
  });
  Deployment d({&server});
  Wire accepted = d.client();
  accepted.write(Ask{}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  d.program->signal(SIGTERM);
  Wire late = d.client();  // accepted during the accept period
  late.write(Ask{.id = "late"}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 2; }));
  ASSERT_TRUE(eventually([&] { return !d.client().is_open(); }));
  EXPECT_TRUE(d.program->running()) << "two responses are due";
  gate.open();
  for (Wire* client : {&accepted, &late}) {
    const std::string answer = client->read_message();
    EXPECT_EQ(status_of(answer), 200);
  }
  EXPECT_EQ(d.program->exit_status(), 0);
}

// Clients go on using their connections until the last request that can be answered in time.
TEST(Lifecycle, DrainingNodeServesOpenConnections) {
  std::atomic<bool> silent = false;
  FakeServer server(
      [&](Wire& wire, const std::string&) { return silent || wire.write(http_answer(200, "ok")); });
  Deployment d({&server});
  Wire client = d.client(), other = d.client();
  client.write(Ask{.id = "before"}.text());
  ASSERT_EQ(status_of(client.read_message()), 200);
  const auto start = std::chrono::steady_clock::now();
  d.program->signal(SIGTERM);
  ASSERT_TRUE(eventually([&] { return !d.client().is_open(); }));
  for (int i = 0; i < 3; ++i) {
    client.write(Ask{.id = "during" + std::to_string(i)}.text());
    EXPECT_EQ(status_of(client.read_message()), 200);
  }
  silent = true;
  other.write(Ask{.id = "unanswered", .timeout = "15000"}.text());
  const std::string answer = other.read_message();
  EXPECT_EQ(status_of(answer), 502) << answer;
  EXPECT_EQ(d.program->exit_status(), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 10s) << "the client's timeout is 15 s";
}

TEST(Lifecycle, FirstRequestDuringTheDrainIsServed) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  Wire fresh = d.client();
  d.program->signal(SIGTERM);
  ASSERT_TRUE(eventually([&] { return !d.client().is_open(); }));
  fresh.write(Ask{}.text());
  EXPECT_EQ(status_of(fresh.read_message()), 200);
  EXPECT_EQ(d.program->exit_status(), 0);
}

TEST(Lifecycle, InvalidConfigurationEndsWithTheFieldsName) {
  const auto fails = [](const std::string& config, const std::string& field) {
    Program program(config, 0, false);
    EXPECT_EQ(program.exit_status(), 2);
    const std::string log = program.log();
    EXPECT_NE(log.find(field), std::string::npos) << log;
    EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
  };
  fails("{", "RELAY_CONFIG");
  fails("{}", "listen");
  fails(ConfigText{.listen = "nowhere"}.text(), "listen");
  fails(ConfigText{.discovery = "1.2.3.4:999999"}.text(), "discovery");
  fails(ConfigText{.known = "{\"index\":1}"}.text(), "endpoints");
  fails(ConfigText{.bounds = R"("maxAttempts":0)"}.text(), "max_attempts");
  Listener in_use([](Wire&) {});
  fails(ConfigText{.listen = in_use.address()}.text(), "listen");
}

TEST(Lifecycle, SurvivesDescriptorExhaustion) {
  FakeServer server(replies(200, "ok"));
  ConfigText config;
  config.sockets = 1024;
  Deployment d({&server}, config, 64);
  {
    std::vector<Wire> clients;
    for (int i = 0; i < 200; ++i) clients.push_back(d.client());
    ASSERT_TRUE(d.program->running());
  }
  int n = 0;
  EXPECT_TRUE(eventually([&] {
    Wire client = d.client();
    client.write(Ask{.id = "after" + std::to_string(++n)}.text());
    return status_of(client.read_message()) == 200;
  }));
}

// The attempt's timeout and its response coincide.
TEST(Races, ExactlyOneResponse) {
  FakeServer server([](Wire& wire, const std::string& request) {
    std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(field_of(request, "X-Timeout-Ms")) - 1));
    return wire.write(http_answer(200, "ok"));
  });
  Deployment d({&server});
  std::vector<Wire> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(d.client());
    clients.back().write(Ask{.id = "r" + std::to_string(i), .timeout = std::to_string(200 + i)}.text());
  }
  for (int i = 0; i < 40; ++i) {
    Wire& client = clients[static_cast<std::size_t>(i)];
    const int first = status_of(client.read_message());
    EXPECT_TRUE(first == 200 || first == 502 || first == 503) << first;
    client.write("GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const std::string rest = client.read_rest();
    EXPECT_EQ(body_of(rest), "ok\n") << "only the next response follows";
  }
}

}  // namespace
}  // namespace thymewood::node
