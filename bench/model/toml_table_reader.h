// Reads one table of a TOML file with checks: every key has to be known, of its type and in its range. Errors
// are std::runtime_error with one line that names the file, the line, the key and what is wrong.
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

[[noreturn]] void fail_at(const std::string& file, const toml::source_region& where, const std::string& what);

// Returns the values of a table's keys; finish() rejects keys that were not read.
class TableReader {
 public:
  TableReader(const std::string& file, const toml::table& table) : file_(file), table_(table) {}

  double number(const char* key, double default_value, double least = 0, double most = 1e9);
  double ms(const char* key, double default_s) { return number(key, default_s * 1000) / 1000; }
  int integer(const char* key, int default_value, int least, int most);
  std::string text(const char* key, const std::string& default_value);
  bool flag(const char* key, bool default_value);
  // An array of tables; empty where it is not there.
  std::vector<TableReader> tables(const char* key);
  Selector selector(const char* key, const std::string& default_value);
  // An error where the selector names somebody who is not there.
  void check(const char* key, const Selector& selector, const Topology& topology);
  std::optional<TableReader> table(const char* key);
  std::string location() const { return file_ + ":" + std::to_string(table_.source().begin.line); }
  bool has(const char* key) const { return table_.contains(key); }
  [[noreturn]] void fail(const std::string& what) const { fail_at(file_, table_.source(), what); }
  // One of a few words; an error lists them.
  template <class T>
  T one_of(const char* key, const std::string& default_value,
           std::initializer_list<std::pair<const char*, T>> words) {
    const std::string given = text(key, default_value);
    std::string allowed;
    for (const auto& [name, value] : words) {
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
