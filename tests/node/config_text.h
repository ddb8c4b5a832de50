// Builds the text of a node's configuration file.
#pragma once

#include <string>

namespace thymewood::node {

// The request classes and rules of a deployment, as JSON in the format of the settings.
struct SettingsProfile {
  const char* name;
  const char* categories;
  const char* rules = R"("askWithin":10.0)";
};
inline constexpr const char* kDefaultCategories =
    R"({"name":"look","aim":5.0,"giveUp":15.0,"effect":"safe","lateWorth":0.5},)"
    R"({"name":"mark","aim":5.0,"giveUp":15.0,"effect":"keyed","group":"cell","dedupWindow":15.0,"lateWorth":0.5},)"
    R"({"name":"close","aim":5.0,"giveUp":15.0,"effect":"unsafe","lateWorth":0.5})";

// The fields of a node's configuration; the defaults suit most tests.
struct NodeConfig {
  std::string discovery = "127.0.0.1:9", known = "", listen = "127.0.0.1:0", mode = "subscribe";
  std::string seed = "8c1f30d27a5be964";
  int sockets = 256, memory_mb = 192, replica_index = 0, replica_count = 1;
  std::string extra_fields = "";  // additional top-level fields, as JSON with a trailing comma
  std::string categories = kDefaultCategories, rules = R"("askWithin":10.0)";
  std::string bounds = R"("cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,)"
                       R"("secondCopies":true,"dialTimeout":0.5,"idleClose":60.0)";
  std::string text() const {
    return R"({"name":"n0","listen":")" + listen + R"(","discovery":")" + discovery + R"(","seed":")" + seed +
           R"(","limits":{"cores":1.0,"memory_mb":)" + std::to_string(memory_mb) + R"(,"sockets":)" +
           std::to_string(sockets) + "}," + (known.empty() ? "" : R"("known":)" + known + ",") +
           extra_fields + R"("settings":{"azs":["a"],"peersTotal":)" + std::to_string(replica_count) +
           R"(,"position":)" + std::to_string(replica_index) + R"(,"stage":0,"zone":0,"granularity":0.005,)" +
           R"("registryMode":")" + mode + R"(","bounds":{)" + bounds + R"(},"categories":[)" + categories +
           R"(],"realms":[{"name":"acme","share":1.0}],"rules":{)" + rules + "}}}";
  }
};

}  // namespace thymewood::node
