#include "toml_table_reader.h"

#include <cmath>
#include <sstream>
#include <stdexcept>

namespace thymewood::bench {

[[noreturn]] void fail_at(const std::string& file, const toml::source_region& region,
                          const std::string& message) {
  throw std::runtime_error(file + ":" + std::to_string(region.begin.line) + ": " + message);
}

double TableReader::number(const char* key, double default_value, double min, double max) {
  const toml::node* node = find(key);
  if (node == nullptr) return default_value;
  const std::optional<double> value = node->value<double>();
  if (!value || node->is_boolean() || !std::isfinite(*value) || *value < min || *value > max) {
    std::ostringstream message;
    message << "'" << key << "' has to be a number from " << min << " to " << max;
    fail_at(file_, node->source(), message.str());
  }
  return *value;
}

int TableReader::integer(const char* key, int default_value, int min, int max) {
  const double value = number(key, default_value, min, max);
  if (value != std::floor(value))
    fail_at(file_, find(key)->source(), "'" + std::string(key) + "' has to be an integer");
  return static_cast<int>(value);
}

std::string TableReader::text(const char* key, const std::string& default_value) {
  const toml::node* node = find(key);
  if (node == nullptr) return default_value;
  if (!node->is_string()) fail_at(file_, node->source(), "'" + std::string(key) + "' has to be a string");
  return *node->value<std::string>();
}

bool TableReader::flag(const char* key, bool default_value) {
  const toml::node* node = find(key);
  if (node == nullptr) return default_value;
  if (!node->is_boolean())
    fail_at(file_, node->source(), "'" + std::string(key) + "' has to be true or false");
  return *node->value<bool>();
}

std::vector<TableReader> TableReader::tables(const char* key) {
  std::vector<TableReader> out;
  const toml::node* node = find(key);
  if (node == nullptr) return out;
  const toml::array* array = node->as_array();
  if (array == nullptr)
    fail_at(file_, node->source(), "'" + std::string(key) + "' has to be an array of tables");
  for (const toml::node& entry : *array) {
    if (!entry.is_table())
      fail_at(file_, entry.source(), "'" + std::string(key) + "' has to be an array of tables");
    out.emplace_back(file_, *entry.as_table());
  }
  return out;
}

Selector TableReader::selector(const char* key, const std::string& default_value) {
  std::string error;
  const std::optional<Selector> out = Selector::parse(text(key, default_value), error);
  if (!out) fail_at(file_, find(key)->source(), "'" + std::string(key) + "': " + error);
  return *out;
}

void TableReader::check(const char* key, const Selector& selector, const Topology& topology) {
  const std::string reason = selector.mismatch_reason(topology);
  if (!reason.empty()) fail_at(file_, find(key)->source(), "'" + std::string(key) + "': " + reason);
}

std::optional<TableReader> TableReader::table(const char* key) {
  const toml::node* node = find(key);
  if (node == nullptr) return std::nullopt;
  if (!node->is_table()) fail_at(file_, node->source(), "'" + std::string(key) + "' has to be a table");
  return TableReader(file_, *node->as_table());
}

void TableReader::finish() const {
  for (const auto& [key, node] : table_) {
    if (!known_keys_.contains(std::string(key.str())))
      fail_at(file_, node.source(), "'" + std::string(key.str()) + "' is not a key here");
  }
}

const toml::node* TableReader::find(const char* key) {
  known_keys_.insert(key);
  return table_.get(key);
}

}  // namespace thymewood::bench
