// Guards against request classes or limits that are built into the node: classes, idempotency, timeouts and
// limits come from the settings alone, and the error for an invalid setting names its field.
#include "node_harness.h"

namespace thymewood::node {
namespace {

// Three profiles with no class in common: short timeouts, long timeouts, and a single class.
const SettingsProfile kProfiles[] = {
    {"ShortTimeouts",
     R"({"name":"peek","aim":0.1,"giveUp":0.3,"effect":"safe"},)"
     R"({"name":"fire","aim":0.2,"giveUp":0.4,"effect":"unsafe"},)"
     R"({"name":"note","aim":0.2,"giveUp":0.5,"effect":"keyed","group":"all","dedupWindow":0.4,"lateWorth":1})",
     R"("drainGrace":0.0,"startCapacity":1.0,"rampTime":0.0)"},
    {"LongTimeouts",
     R"({"name":"seal","aim":6.0,"giveUp":12.0,"effect":"keyed","group":"zone","dedupWindow":60.0,"lateWorth":0.2},)"
     R"({"name":"read","aim":3.0,"giveUp":7.0,"effect":"safe","lateWorth":0.9,"note":null},)"
     R"({"name":"burn","aim":6.0,"giveUp":9.0,"effect":"unsafe"})",
     R"("drainGrace":30.0,"askWithin":120.0,"startCapacity":0.1,"rampTime":60.0,"tipMultiple":2.0,"tipAfter":5.0)"},
    {"SingleClass", R"({"name":"only","aim":1e3,"giveUp":1e300,"effect":"keyed","group":"cell"})",
     R"("askWithin":0.0)"},
};

struct ClassUnderTest {
  std::string name, idempotency;
};

std::vector<ClassUnderTest> classes_of(const SettingsProfile& profile) {
  std::vector<ClassUnderTest> out;
  const std::string json = profile.categories;
  const auto value = [&](std::size_t from, const std::string& field) {
    const std::size_t pos = json.find("\"" + field + "\":\"", from) + field.size() + 4;
    return json.substr(pos, json.find('"', pos) - pos);
  };
  for (std::size_t pos = json.find("{\"name\""); pos != std::string::npos;
       pos = json.find("{\"name\"", pos + 1))
    out.push_back({value(pos, "name"), value(pos, "effect")});
  return out;
}

ClientRequest request_of(const ClassUnderTest& c, const std::string& id) {
  ClientRequest out{.request_class = c.name, .id = id, .timeout = ""};
  if (c.idempotency == "safe") out.method = "GET", out.body = "";
  if (c.idempotency == "keyed") out.key = "k-" + id;
  return out;
}

class DeploymentSettings : public testing::TestWithParam<SettingsProfile> {
 protected:
  static NodeConfig config() {
    NodeConfig out;
    out.categories = GetParam().categories;
    out.rules = GetParam().rules;
    return out;
  }
};

TEST_P(DeploymentSettings, OnlyConfiguredClassesAreServed) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server}, config());
  RawConnection client = d.client();
  for (const ClassUnderTest& c : classes_of(GetParam())) {
    client.write(request_of(c, "r-" + c.name).text());
    EXPECT_EQ(status_of(client.read_message()), 200) << c.name;
    // An idempotency key is rejected where the class takes none, and required where the class is keyed.
    ClientRequest invalid = request_of(c, "w-" + c.name);
    invalid.key = invalid.key.empty() ? "k" : "";
    client.write(invalid.text());
    EXPECT_EQ(status_of(client.read_message()), 400) << c.name;
  }
  for (const char* unknown_class : {"look", "close", "dance"}) {
    client.write(
        ClientRequest{.request_class = unknown_class, .id = std::string("f-") + unknown_class}.text());
    EXPECT_EQ(status_of(client.read_message()), 400);
  }
}

// A non-idempotent request is sent once. A request with an idempotency key is retried only within its
// deduplication scope and window, and an idempotent one until its attempts are used up. Only a request that
// the client may repeat gets a 503.
TEST_P(DeploymentSettings, RetriesFollowTheIdempotencyOfTheClass) {
  FakeServer one(respond_with(500, "no")), two(respond_with(500, "no"));
  NodeConfig node_config = config();
  node_config.known = endpoint_list_json(
      7, true,
      endpoint_json("s0", one.address(), "up", 1) + "," + endpoint_json("s1", two.address(), "up", 2));
  Deployment d({}, node_config);
  const auto sent_count = [&](const std::string& id) {
    std::size_t out = 0;
    for (FakeServer* server : {&one, &two})
      for (const std::string& request : server->requests()) out += header_of(request, "X-Request-ID") == id;
    return out;
  };
  for (const ClassUnderTest& c : classes_of(GetParam())) {
    RawConnection client = d.client();
    const std::string id = "r-" + c.name;
    client.write(request_of(c, id).text());
    const int status = status_of(client.read_message());
    const bool can_retry = c.idempotency == "safe" || c.name == "note" || c.name == "seal";
    EXPECT_GE(sent_count(id), 1U) << c.name;
    EXPECT_LE(sent_count(id), can_retry ? 3U : 1U)
        << c.name
        << ": the other server is in another cell, or the request is not idempotent and must not be retried";
    EXPECT_EQ(status, c.idempotency == "safe" || c.name == "note" ? 503 : 502) << c.name;
  }
}

// A request without X-Timeout-Ms gets the client timeout of its class. The timeout of the class "only" is too
// long for a test, so that request sends its own.
TEST_P(DeploymentSettings, EveryRequestIsAnsweredWhenTheServerHangs) {
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

INSTANTIATE_TEST_SUITE_P(All, DeploymentSettings, testing::ValuesIn(kProfiles),
                         [](const auto& info) { return std::string(info.param.name); });

// The node's safety margins are small against a short timeout: the server gets most of it.
TEST(ShortTimeouts, LeaveMostOfTheTimeToTheServer) {
  FakeServer server(respond_with(200, "ok"));
  NodeConfig config;
  config.categories = kProfiles[0].categories;
  Deployment d({&server}, config);
  RawConnection client = d.client();
  client.write(ClientRequest{.request_class = "fire", .timeout = "80"}.text());
  ASSERT_EQ(status_of(client.read_message()), 200);
  EXPECT_GE(std::stoi(header_of(server.requests()[0], "X-Timeout-Ms")), 50)
      << "the server gets most of the 80 ms";
}

struct SettingsCase {
  const char* name;
  const char* categories;
  const char* bounds;
  const char* field;  // that the error names; null for valid settings
};
constexpr const char* kValidBounds = R"("maxAttempts":2)";
constexpr const char* kValidClass = R"({"name":"a","aim":1,"giveUp":2,"effect":"safe"})";
const SettingsCase kSettingsCases[] = {
    {"NoClientTimeout", R"({"name":"a","aim":1,"effect":"safe"})", kValidBounds, "giveUp"},
    {"NoLatencyObjective", R"({"name":"a","giveUp":1,"effect":"safe"})", kValidBounds, "aim"},
    {"NegativeClientTimeout", R"({"name":"a","aim":1,"giveUp":-2,"effect":"safe"})", kValidBounds, "giveUp"},
    {"ClientTimeoutNotANumber", R"({"name":"a","aim":1,"giveUp":"2","effect":"safe"})", kValidBounds,
     "giveUp"},
    {"ClientTimeoutZero", R"({"name":"a","aim":1,"giveUp":0,"effect":"safe"})", kValidBounds, nullptr},
    {"ClientTimeoutHuge", R"({"name":"a","aim":1,"giveUp":1e300,"effect":"safe"})", kValidBounds, nullptr},
    {"NoIdempotency", R"({"name":"a","aim":1,"giveUp":2})", kValidBounds, "effect"},
    {"UnknownIdempotency", R"({"name":"a","aim":1,"giveUp":2,"effect":"maybe"})", kValidBounds, "effect"},
    {"NoDedupScope", R"({"name":"a","aim":1,"giveUp":2,"effect":"keyed"})", kValidBounds, "group"},
    {"NegativeDedupWindow",
     R"({"name":"a","aim":1,"giveUp":2,"effect":"keyed","group":"all","dedupWindow":-1})", kValidBounds,
     "dedupWindow"},
    {"DedupWindowZero", R"({"name":"a","aim":1,"giveUp":2,"effect":"keyed","group":"all","dedupWindow":0})",
     kValidBounds, nullptr},
    {"NoClasses", "", kValidBounds, nullptr},
    {"IdleTimeoutZero", kValidClass, R"("idleClose":0)", "idleClose"},
    {"IdleTimeoutNegative", kValidClass, R"("idleClose":-5)", "idleClose"},
    {"IdleTimeoutTiny", kValidClass, R"("idleClose":0.0001)", nullptr},
    {"IdleTimeoutHuge", kValidClass, R"("idleClose":1e300)", "idleClose"},
    {"ConnectTimeoutZero", kValidClass, R"("dialTimeout":0)", "dialTimeout"},
    {"MaxAttemptsZero", kValidClass, R"("maxAttempts":0)", "maxAttempts"},
    {"MaxRetryAfterHuge", kValidClass, R"("retryAfter":true,"maxRetryAfter":1e300)", nullptr},
    {"MaxRetryAfterNegative", kValidClass, R"("retryAfter":true,"maxRetryAfter":-1)", "maxRetryAfter"},
};

class UnusualSettings : public testing::TestWithParam<SettingsCase> {};

TEST_P(UnusualSettings, AreAppliedOrRejectedWithTheFieldName) {
  FakeServer server(respond_with(200, "ok"));
  NodeConfig config;
  config.categories = GetParam().categories;
  config.bounds = GetParam().bounds;
  config.known = endpoint_list_json(7, true, endpoint_json("s0", server.address()));
  if (GetParam().field != nullptr) {
    NodeProcess program(config.text(), 0, false);
    EXPECT_EQ(program.exit_status(), 2);
    EXPECT_NE(program.log().find(GetParam().field), std::string::npos) << program.log();
    return;
  }
  NodeProcess program(config.text());
  for (int i = 0; i < 3; ++i) {
    RawConnection client = RawConnection::connect_to(program.port());
    const std::string key = std::string(GetParam().name) == "DedupWindowZero" ? "k" : "";
    ClientRequest request{.request_class = "a", .id = "r" + std::to_string(i), .timeout = "", .key = key};
    if (key.empty()) request.method = "GET", request.body = "";
    client.write(request.text());
    const int status = status_of(client.read_message());
    const std::string case_name = GetParam().name;
    EXPECT_EQ(status, case_name == "ClientTimeoutZero" ? 503
                      : case_name == "NoClasses"       ? 400
                                                       : 200)
        << case_name;
  }
}

INSTANTIATE_TEST_SUITE_P(All, UnusualSettings, testing::ValuesIn(kSettingsCases),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace thymewood::node
