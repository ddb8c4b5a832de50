// Deterministic random numbers and hashes, identical on every platform and with every standard library.
#pragma once

#include <cstdint>
#include <string>

namespace thymewood {

// SplitMix64 with its own mapping to ranges, since the distributions of <random> differ between libraries.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t z = (state_ += 0x9E3779B97F4A7C15ULL);
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
  }
  // Uniform in [0, 1).
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  // Uniform in 0 .. n - 1.
  std::size_t uniform_index(std::size_t n) {
    return static_cast<std::size_t>(unit() * static_cast<double>(n));
  }

 private:
  std::uint64_t state_;
};

// FNV-1a with a SplitMix64 finalizer. Every replica orders the same addresses alike, and similar addresses
// are spread over the whole range.
inline std::uint64_t stable_hash(const std::string& text) {
  std::uint64_t hash = 0xCBF29CE484222325ULL;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;
  return Random(hash).next();
}

}  // namespace thymewood
