// Command-line options shared by the programs that run scenarios.
#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

namespace thymewood::bench {

struct PlayOptions {
  std::vector<std::string> files;
  std::vector<double> times{1};
  std::uint64_t seed = 1;
  bool direct = false;

  void add_to(CLI::App& app) {
    app.add_option("scenario", files, "scenario files")->required()->check(CLI::ExistingFile);
    app.add_option("--times", times, "load factors; each scenario runs once with each of them");
    app.add_option("--seed", seed, "seed of the random number generators");
    app.add_flag(
        "--direct", direct,
        "also run each scenario with clients that call the servers directly, without a load balancer");
  }
};

// Runs `run` and returns its exit status. An exception is printed to stderr as one line and gives exit
// status 2.
template <class Run>
int guarded(const Run& run) {
  try {
    return run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}

}  // namespace thymewood::bench
