#include "toml_table_reader.h"

#include <cmath>
#include <sstream>
#include <stdexcept>

namespace thymewood::bench {

[[noreturn]] void fail_at(const std::string& file, const toml::source_region& where,
                          const std::string& what) {
  throw std::runtime_error(file + ":" + std::to_string(where.begin.line) + ": " + what);
}

double TableReader::number(const char* key, double default_value, double least, double most) {
  const toml::node* node = find(key);
  if (node == nullptr) return default_value;
  const std::optional<double> value = node->value<double>();
  if (!value || node->is_boolean() || !std::isfinite(*value) || *value < least || *value > most) {
    std::ostringstream what;
    what << "'" << key << "' has to be a number from " << least << " to " << most;
    fail_at(file_, node->source(), what.str());
  }
  return *value;
}

int TableReader::integer(const char* key, int default_value, int least, int most) {
  const double value = number(key, default_value, least, most);
  if (value != std::floor(value))
    fail_at(file_, find(key)->source(), "'" + std::string(key) + "' has to be whole");
  return static_cast<int>(value);
}

std::string TableReader::text(const char* key, const std::string& default_value) {
  const toml::node* node = find(key);
  if (node == nullptr) return default_value;
  if (!node->is_string()) fail_at(file_, node->source(), "'" + std::string(key) + "' has to be text");
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
    fail_at(file_, node->source(), "'" + std::string(key) + "' has to be a list of tables");
  for (const toml::node& entry : *array) {
    if (!entry.is_table())
      fail_at(file_, entry.source(), "'" + std::string(key) + "' has to be a list of tables");
    out.emplace_back(file_, *entry.as_table());
  }
  return out;
}

Selector TableReader::selector(const char* key, const std::string& default_value) {
  std::string why;
  const std::optional<Selector> out = Selector::parse(text(key, default_value), why);
  if (!out) fail_at(file_, find(key)->source(), "'" + std::string(key) + "': " + why);
  return *out;
}

void TableReader::check(const char* key, const Selector& selector, const Topology& topology) {
  const std::string why = selector.misfit(topology);
  if (!why.empty()) fail_at(file_, find(key)->source(), "'" + std::string(key) + "': " + why);
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
