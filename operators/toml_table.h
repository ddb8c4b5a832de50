// A strict reader of one TOML table: it checks each value's type and range, and reports keys that were not
// read as errors.
#pragma once

#include <toml++/toml.h>

#include <optional>
#include <set>
#include <string>

namespace thymewood::operators {

// All errors are thrown as InvalidOperatorConfig with the line of the key.
class TomlTable {
 public:
  // Both arguments must outlive the reader.
  TomlTable(const std::string& file, const toml::table& table) : file_(file), table_(table) {}

  // Each of these returns std::nullopt if the key is absent.
  [[nodiscard]] std::optional<double> number(const char* key, double min, double max);
  // The value and its bounds are in ms, the result is in seconds.
  [[nodiscard]] std::optional<double> milliseconds(const char* key, double min, double max);
  [[nodiscard]] std::optional<int> integer(const char* key, int min, int max);
  [[nodiscard]] std::optional<bool> boolean(const char* key);
  [[nodiscard]] std::optional<std::string> string(const char* key);
  [[nodiscard]] std::optional<TomlTable> table(const char* key);

  // Throws if the table has a key that was not read.
  void reject_unknown_keys() const;
  [[noreturn]] void reject(const char* key, const std::string& reason) const;

 private:
  const toml::node* find(const char* key);

  const std::string& file_;
  const toml::table& table_;
  std::set<std::string> read_keys_;
};

}  // namespace thymewood::operators
