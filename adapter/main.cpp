// thymewood_simulator_adapter: runs balancers on behalf of the simulator. Reads batches of events from stdin
// and writes one reply for each to stdout; both are one JSON object per line.
#include <cstdint>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

#include "rapidjson/document.h"
#include "simulator_adapter.h"

namespace {

constexpr int kExitOutputFailed = 1;
constexpr int kExitInvalidInput = 2;

bool is_blank(const std::string& line) { return line.find_first_not_of(" \t\r") == std::string::npos; }

bool write_line(const rapidjson::StringBuffer& reply) {
  std::fwrite(reply.GetString(), 1, reply.GetSize(), stdout);
  std::fputc('\n', stdout);
  return std::fflush(stdout) == 0;
}

}  // namespace

int main() {
  namespace json = thymewood::json;
  std::ios::sync_with_stdio(false);
  thymewood::adapter::SimulatorAdapter adapter;
  std::uint64_t line_number = 0;
  for (std::string line; std::getline(std::cin, line);) {
    if (is_blank(line)) continue;
    ++line_number;
    std::string turn = "unknown";
    try {
      rapidjson::Document batch;
      batch.ParseInsitu(line.data());
      json::require_valid(batch);
      turn = std::to_string(json::unsigned_integer(batch, "turn"));
      if (!write_line(adapter.process(batch))) return kExitOutputFailed;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "thymewood_simulator_adapter: line %llu, turn %s: %s\n",
                   static_cast<unsigned long long>(line_number), turn.c_str(), error.what());
      return kExitInvalidInput;
    }
  }
  return 0;
}
