// Random numbers that are identical with every compiler and standard library. The C++ standard specifies the
// engine exactly but not the distributions, so the distributions are implemented here.
#pragma once

#include <cmath>
#include <cstdint>
#include <numbers>
#include <random>

namespace thymewood::bench {

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }  // [0, 1)
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }
  double exponential(double mean) { return -mean * std::log1p(-unit()); }
  double normal() {
    const double radius = std::sqrt(-2 * std::log1p(-unit()));
    return radius * std::cos(2 * std::numbers::pi * unit());
  }
  // Log-normal with the given mean and coefficient of variation.
  double lognormal(double mean, double cv) {
    const double variance = std::log1p(cv * cv);
    return mean * std::exp(std::sqrt(variance) * normal() - variance / 2);
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace thymewood::bench
