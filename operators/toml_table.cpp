#include "toml_table.h"

#include <cmath>
#include <sstream>

#include "operators_file.h"

namespace thymewood::operators {
namespace {

constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

const toml::node* TomlTable::find(const char* key) {
  read_keys_.insert(key);
  return table_.get(key);
}

void TomlTable::reject(const char* key, const std::string& reason) const {
  const toml::node* node = table_.get(key);
  const toml::source_region& where = node == nullptr ? table_.source() : node->source();
  throw InvalidOperatorConfig(file_, where.begin.line, key, reason);
}

std::optional<double> TomlTable::number(const char* key, double min, double max) {
  const toml::node* node = find(key);
  if (node == nullptr) return std::nullopt;
  const std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
  if (!value || !std::isfinite(*value) || *value < min || *value > max) {
    std::ostringstream reason;
    reason << "must be a number from " << min << " to " << max;
    reject(key, reason.str());
  }
  return value;
}

std::optional<double> TomlTable::milliseconds(const char* key, double min, double max) {
  const std::optional<double> value = number(key, min, max);
  if (!value) return std::nullopt;
  return *value / kMillisecondsPerSecond;
}

std::optional<int> TomlTable::integer(const char* key, int min, int max) {
  const std::optional<double> value = number(key, min, max);
  if (!value) return std::nullopt;
  if (*value != std::floor(*value)) reject(key, "must be an integer");
  return static_cast<int>(*value);
}

std::optional<bool> TomlTable::boolean(const char* key) {
  const toml::node* node = find(key);
  if (node == nullptr) return std::nullopt;
  if (!node->is_boolean()) reject(key, "must be true or false");
  return node->value<bool>();
}

std::optional<std::string> TomlTable::string(const char* key) {
  const toml::node* node = find(key);
  if (node == nullptr) return std::nullopt;
  std::optional<std::string> value = node->is_string() ? node->value<std::string>() : std::nullopt;
  if (!value || value->empty()) reject(key, "must be a non-empty string");
  return value;
}

std::optional<TomlTable> TomlTable::table(const char* key) {
  const toml::node* node = find(key);
  if (node == nullptr) return std::nullopt;
  if (!node->is_table()) reject(key, "must be a table");
  return TomlTable(file_, *node->as_table());
}

void TomlTable::reject_unknown_keys() const {
  for (const auto& [name, node] : table_) {
    const std::string key(name.str());
    if (!read_keys_.contains(key)) reject(key.c_str(), "is not a known key");
  }
}

}  // namespace thymewood::operators
