// A strict reader of one TOML table: values are checked against a range, and keys that nobody reads are
// errors.
#pragma once

#include <toml++/toml.h>

#include <optional>
#include <set>
#include <string>

namespace thymewood::operators {

// Throws InvalidOperatorsFile with the line of the key.
class TomlTable {
 public:
  // Both outlive the reader.
  TomlTable(const std::string& file, const toml::table& table) : file_(file), table_(table) {}

  // Each returns nothing where the key is absent.
  [[nodiscard]] std::optional<double> number(const char* key, double min, double max);
  // Given in ms; returns s.
  [[nodiscard]] std::optional<double> milliseconds(const char* key, double min, double max);
  [[nodiscard]] std::optional<int> integer(const char* key, int min, int max);
  [[nodiscard]] std::optional<bool> boolean(const char* key);
  [[nodiscard]] std::optional<std::string> text(const char* key);
  [[nodiscard]] std::optional<TomlTable> table(const char* key);

  // Throws where the table has a key that was not read.
  void reject_unknown_keys() const;
  [[noreturn]] void reject(const char* key, const std::string& reason) const;

 private:
  const toml::node* find(const char* key);

  const std::string& file_;
  const toml::table& table_;
  std::set<std::string> read_keys_;
};

}  // namespace thymewood::operators
