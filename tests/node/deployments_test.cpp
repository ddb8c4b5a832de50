// Settings of other customers: request classes, idempotency, timeouts and limits come from there alone, and
// what cannot be used is rejected with its field.
#include "node_harness.h"

namespace thymewood::node {
namespace {

// Three customers that have nothing in common: short timeouts, long ones, and a single class.
const Customer kCustomers[] = {
    {"Short",
     R"({"name":"peek","aim":0.1,"giveUp":0.3,"effect":"safe"},)"
     R"({"name":"fire","aim":0.2,"giveUp":0.4,"effect":"unsafe"},)"
     R"({"name":"note","aim":0.2,"giveUp":0.5,"effect":"keyed","group":"all","dedupWindow":0.4,"lateWorth":1})",
     R"("drainGrace":0.0,"startCapacity":1.0,"rampTime":0.0)"},
    {"Long",
     R"({"name":"seal","aim":6.0,"giveUp":12.0,"effect":"keyed","group":"zone","dedupWindow":60.0,"lateWorth":0.2},)"
     R"({"name":"read","aim":3.0,"giveUp":7.0,"effect":"safe","lateWorth":0.9,"note":null},)"
     R"({"name":"burn","aim":6.0,"giveUp":9.0,"effect":"unsafe"})",
     R"("drainGrace":30.0,"askWithin":120.0,"startCapacity":0.1,"rampTime":60.0,"tipMultiple":2.0,"tipAfter":5.0)"},
    {"One", R"({"name":"only","aim":1e3,"giveUp":1e300,"effect":"keyed","group":"cell"})",
     R"("askWithin":0.0)"},
};

struct ClassUnderTest {
  std::string name, idempotency;
};

std::vector<ClassUnderTest> classes_of(const Customer& customer) {
  std::vector<ClassUnderTest> out;
  const std::string text = customer.categories;
  const auto value = [&](std::size_t from, const std::string& field) {
    const std::size_t at = text.find("\"" + field + "\":\"", from) + field.size() + 4;
    return text.substr(at, text.find('"', at) - at);
  };
  for (std::size_t at = text.find("{\"name\""); at != std::string::npos; at = text.find("{\"name\"", at + 1))
    out.push_back({value(at, "name"), value(at, "effect")});
  return out;
}

ClientRequest request_of(const ClassUnderTest& c, const std::string& id) {
  ClientRequest out{.request_class = c.name, .id = id, .timeout = ""};
  if (c.idempotency == "safe") out.method = "GET", out.body = "";
  if (c.idempotency == "keyed") out.key = "k-" + id;
  return out;
}

class CustomerSettings : public testing::TestWithParam<Customer> {
 protected:
  static ConfigText config() {
    ConfigText out;
    out.categories = GetParam().categories;
    out.rules = GetParam().rules;
    return out;
  }
};

TEST_P(CustomerSettings, OnlyTheirOwnClassesAreServed) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server}, config());
  RawConnection client = d.client();
  for (const ClassUnderTest& c : classes_of(GetParam())) {
    client.write(request_of(c, "r-" + c.name).text());
    EXPECT_EQ(status_of(client.read_message()), 200) << c.name;
    // A key where the class has none, or none where it needs one, is an error.
    ClientRequest invalid = request_of(c, "w-" + c.name);
    invalid.key = invalid.key.empty() ? "k" : "";
    client.write(invalid.text());
    EXPECT_EQ(status_of(client.read_message()), 400) << c.name;
  }
  for (const char* foreign : {"look", "close", "dance"}) {
    client.write(ClientRequest{.request_class = foreign, .id = std::string("f-") + foreign}.text());
    EXPECT_EQ(status_of(client.read_message()), 400);
  }
}

// A request that is not idempotent is sent once, one with an idempotency key within its scope and window, an
// idempotent one as often as there are attempts; and only what may be repeated is rejected with a 503.
TEST_P(CustomerSettings, RetriesFollowTheIdempotencyOfTheClass) {
  FakeServer one(replies(500, "no")), two(replies(500, "no"));
  ConfigText text = config();
  text.known = endpoint_list_json(
      7, true,
      endpoint_json("s0", one.address(), "up", 1) + "," + endpoint_json("s1", two.address(), "up", 2));
  Deployment d({}, text);
  const auto sent = [&](const std::string& id) {
    std::size_t out = 0;
    for (FakeServer* server : {&one, &two})
      for (const std::string& request : server->requests()) out += field_of(request, "X-Request-ID") == id;
    return out;
  };
  for (const ClassUnderTest& c : classes_of(GetParam())) {
    RawConnection client = d.client();
    const std::string id = "r-" + c.name;
    client.write(request_of(c, id).text());
    const int status = status_of(client.read_message());
    const bool can_retry = c.idempotency == "safe" || c.name == "note" || c.name == "seal";
    EXPECT_GE(sent(id), 1U) << c.name;
    EXPECT_LE(sent(id), can_retry ? 3U : 1U)
        << c.name << ": the other server is in another cell, or the request is not idempotent";
    EXPECT_EQ(status, c.idempotency == "safe" || c.name == "note" ? 503 : 502) << c.name;
  }
}

// A request that names no timeout has that of its class. That of the class "only" is too long for a
// test, so its request names one.
TEST_P(CustomerSettings, EveryRequestIsAnsweredWhenTheServerHangs) {
  FakeServer hanging([](RawConnection&, const std::string&) { return true; });
  Deployment d({&hanging}, config());
  std::vector<RawConnection> clients;
  for (const ClassUnderTest& c : classes_of(GetParam())) {
    clients.push_back(d.client());
    ClientRequest request = request_of(c, "r-" + c.name);
    if (c.name == "only") request.timeout = "700";
    clients.back().write(request.text());
  }
  for (RawConnection& client : clients) {
    const int status = status_of(client.read_message());
    EXPECT_TRUE(status == 502 || status == 503) << status;
  }
}

INSTANTIATE_TEST_SUITE_P(All, CustomerSettings, testing::ValuesIn(kCustomers),
                         [](const auto& info) { return std::string(info.param.name); });

// The margins of the node leave most of a short timeout to the server.
TEST(ShortTimeouts, AreMostlyLeftToTheServer) {
  FakeServer server(replies(200, "ok"));
  ConfigText config;
  config.categories = kCustomers[0].categories;
  Deployment d({&server}, config);
  RawConnection client = d.client();
  client.write(ClientRequest{.request_class = "fire", .timeout = "80"}.text());
  ASSERT_EQ(status_of(client.read_message()), 200);
  EXPECT_GE(std::stoi(field_of(server.requests()[0], "X-Timeout-Ms")), 50)
      << "the server gets most of the 80 ms";
}

struct SettingsCase {
  const char* name;
  const char* categories;
  const char* bounds;
  const char* field;  // named in the error; null where the settings can be used
};
constexpr const char* kGoodBounds = R"("maxAttempts":2)";
constexpr const char* kGoodClass = R"({"name":"a","aim":1,"giveUp":2,"effect":"safe"})";
const SettingsCase kSettings[] = {
    {"NoDeadline", R"({"name":"a","aim":1,"effect":"safe"})", kGoodBounds, "giveUp"},
    {"NoAim", R"({"name":"a","giveUp":1,"effect":"safe"})", kGoodBounds, "aim"},
    {"NegativeDeadline", R"({"name":"a","aim":1,"giveUp":-2,"effect":"safe"})", kGoodBounds, "giveUp"},
    {"DeadlineNoNumber", R"({"name":"a","aim":1,"giveUp":"2","effect":"safe"})", kGoodBounds, "giveUp"},
    {"DeadlineZero", R"({"name":"a","aim":1,"giveUp":0,"effect":"safe"})", kGoodBounds, nullptr},
    {"DeadlineHuge", R"({"name":"a","aim":1,"giveUp":1e300,"effect":"safe"})", kGoodBounds, nullptr},
    {"NoEffect", R"({"name":"a","aim":1,"giveUp":2})", kGoodBounds, "effect"},
    {"UnknownEffect", R"({"name":"a","aim":1,"giveUp":2,"effect":"maybe"})", kGoodBounds, "effect"},
    {"NoGroup", R"({"name":"a","aim":1,"giveUp":2,"effect":"keyed"})", kGoodBounds, "group"},
    {"NegativeWindow", R"({"name":"a","aim":1,"giveUp":2,"effect":"keyed","group":"all","dedupWindow":-1})",
     kGoodBounds, "dedupWindow"},
    {"WindowZero", R"({"name":"a","aim":1,"giveUp":2,"effect":"keyed","group":"all","dedupWindow":0})",
     kGoodBounds, nullptr},
    {"NoClass", "", kGoodBounds, nullptr},
    {"IdleZero", kGoodClass, R"("idleClose":0)", "idleClose"},
    {"IdleNegative", kGoodClass, R"("idleClose":-5)", "idleClose"},
    {"IdleTiny", kGoodClass, R"("idleClose":0.0001)", nullptr},
    {"IdleHuge", kGoodClass, R"("idleClose":1e300)", "idleClose"},
    {"DialZero", kGoodClass, R"("dialTimeout":0)", "dialTimeout"},
    {"NoAttempts", kGoodClass, R"("maxAttempts":0)", "maxAttempts"},
    {"AdviceHuge", kGoodClass, R"("retryAfter":true,"maxRetryAfter":1e300)", nullptr},
    {"AdviceNegative", kGoodClass, R"("retryAfter":true,"maxRetryAfter":-1)", "maxRetryAfter"},
};

class UnusualSettings : public testing::TestWithParam<SettingsCase> {};

TEST_P(UnusualSettings, AreUsedOrRejectedWithTheirField) {
  FakeServer server(replies(200, "ok"));
  ConfigText config;
  config.categories = GetParam().categories;
  config.bounds = GetParam().bounds;
  config.known = endpoint_list_json(7, true, endpoint_json("s0", server.address()));
  if (GetParam().field != nullptr) {
    Program program(config.text(), 0, false);
    EXPECT_EQ(program.exit_status(), 2);
    EXPECT_NE(program.log().find(GetParam().field), std::string::npos) << program.log();
    return;
  }
  Program program(config.text());
  for (int i = 0; i < 3; ++i) {
    RawConnection client = RawConnection::connect_to(program.port());
    const std::string key = std::string(GetParam().name) == "WindowZero" ? "k" : "";
    ClientRequest request{.request_class = "a", .id = "r" + std::to_string(i), .timeout = "", .key = key};
    if (key.empty()) request.method = "GET", request.body = "";
    client.write(request.text());
    const int status = status_of(client.read_message());
    const std::string what = GetParam().name;
    EXPECT_EQ(status, what == "DeadlineZero" ? 503 : what == "NoClass" ? 400 : 200) << what;
  }
}

INSTANTIATE_TEST_SUITE_P(All, UnusualSettings, testing::ValuesIn(kSettings),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace thymewood::node
