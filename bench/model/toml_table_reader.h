// Reads and validates one table of a TOML file: every key must be known, of the right type and in range.
// Errors are std::runtime_error with a one-line message: file, line, key and the error.
#pragma once

#include <toml++/toml.h>

#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "actors.h"

namespace thymewood::bench {

[[noreturn]] void fail_at(const std::string& file, const toml::source_region& region,
                          const std::string& message);

// Returns the values of a table's keys; finish() rejects keys that were not read.
class TableReader {
 public:
  TableReader(const std::string& file, const toml::table& table) : file_(file), table_(table) {}

  double number(const char* key, double default_value, double min = 0, double max = 1e9);
  double ms(const char* key, double default_s) { return number(key, default_s * 1000) / 1000; }
  int integer(const char* key, int default_value, int min, int max);
  std::string text(const char* key, const std::string& default_value);
  bool flag(const char* key, bool default_value);
  // Returns an array of tables; empty if the key is absent.
  std::vector<TableReader> tables(const char* key);
  Selector selector(const char* key, const std::string& default_value);
  // Fails if the selector names actors that the topology lacks.
  void check(const char* key, const Selector& selector, const Topology& topology);
  std::optional<TableReader> table(const char* key);
  std::string location() const { return file_ + ":" + std::to_string(table_.source().begin.line); }
  bool has(const char* key) const { return table_.contains(key); }
  [[noreturn]] void fail(const std::string& message) const { fail_at(file_, table_.source(), message); }
  // Returns the value of one of the given names; the error message lists them.
  template <class T>
  T one_of(const char* key, const std::string& default_value,
           std::initializer_list<std::pair<const char*, T>> names) {
    const std::string given = text(key, default_value);
    std::string allowed;
    for (const auto& [name, value] : names) {
      if (given == name) return value;
      allowed += std::string(allowed.empty() ? "" : ", ") + name;
    }
    fail_at(file_, find(key)->source(), "'" + std::string(key) + "' has to be one of " + allowed);
  }
  void finish() const;

 private:
  const toml::node* find(const char* key);
  const std::string& file_;
  const toml::table& table_;
  std::set<std::string> known_keys_;
};

}  // namespace thymewood::bench
