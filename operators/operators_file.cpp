#include "operators_file.h"

#include <toml++/toml.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>

namespace thymewood::operators {
namespace {

constexpr double kMilli = 1000;

[[noreturn]] void fail(const std::string& file, const toml::source_region& where, const std::string& what) {
  throw std::runtime_error(file + ":" + std::to_string(where.begin.line) + ": " + what);
}

// One table: hands out its keys, and knows at the end which nobody asked for.
class Table {
 public:
  Table(const std::string& file, const toml::table& table) : file_(file), table_(table) {}

  std::optional<double> number(const char* key, double least, double most) {
    const toml::node* node = find(key);
    if (node == nullptr) return std::nullopt;
    const std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
    if (!value || !std::isfinite(*value) || *value < least || *value > most) {
      std::ostringstream what;
      what << "'" << key << "' has to be a number from " << least << " to " << most;
      fail(file_, node->source(), what.str());
    }
    return value;
  }
  void ms(const char* key, double least, double most, double& to) {
    if (const auto value = number(key, least, most)) to = *value / kMilli;
  }
  void whole(const char* key, int least, int most, int& to) {
    const auto value = number(key, least, most);
    if (value && *value != std::floor(*value))
      fail(file_, find(key)->source(), "'" + std::string(key) + "' has to be whole");
    if (value) to = static_cast<int>(*value);
  }
  void flag(const char* key, bool& to) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    if (!node->is_boolean())
      fail(file_, node->source(), "'" + std::string(key) + "' has to be true or false");
    to = *node->value<bool>();
  }
  void text(const char* key, std::string& to) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    if (!node->is_string() || node->value<std::string>()->empty())
      fail(file_, node->source(), "'" + std::string(key) + "' has to be text, and not empty");
    to = *node->value<std::string>();
  }
  std::optional<Table> table(const char* key) {
    const toml::node* node = find(key);
    if (node == nullptr) return std::nullopt;
    if (!node->is_table()) fail(file_, node->source(), "'" + std::string(key) + "' has to be a table");
    return Table(file_, *node->as_table());
  }
  void end() const {
    for (const auto& [key, node] : table_) {
      if (!asked_.contains(std::string(key.str())))
        fail(file_, node.source(), "'" + std::string(key.str()) + "' is not a key here");
    }
  }
  [[noreturn]] void wrong(const char* key, const std::string& what) {
    fail(file_, find(key)->source(), what);
  }

 private:
  const toml::node* find(const char* key) {
    asked_.insert(key);
    return table_.get(key);
  }
  const std::string& file_;
  const toml::table& table_;
  std::set<std::string> asked_;
};

FleetFile read_fleet(Table t) {
  FleetFile out;
  t.flag("enabled", out.enabled);
  t.text("name", out.name);
  // Below 20 ms a node that is merely busy would be suspected; above a minute nobody waits for it.
  t.ms("period_ms", 20, 60000, out.plan.period);
  double answer = out.plan.answer_part * out.plan.period;
  t.ms("answer_ms", 1, 60000, answer);
  if (answer >= out.plan.period) t.wrong("answer_ms", "'answer_ms' has to be below 'period_ms'");
  out.plan.answer_part = answer / out.plan.period;
  t.whole("helpers", 0, 10, out.plan.helpers);
  t.whole("suspicion_periods", 1, 100, out.plan.suspicion);
  out.view.hold = 5 * out.plan.period;
  out.view.calm = 10 * out.plan.period;
  out.view.forgive = 60 * out.plan.period;
  t.ms("hold_ms", 0, 600000, out.view.hold);
  t.ms("calm_ms", 0, 600000, out.view.calm);
  t.flag("refuse_when_cut_off", out.refuse_when_cut_off);
  t.ms("forgive_ms", 1, 86400000, out.view.forgive);
  t.end();
  return out;
}

}  // namespace

OperatorsFile parse_operators_file(const std::string& text, const std::string& name) {
  try {
    const toml::table all = toml::parse(text);
    Table t(name, all);
    OperatorsFile out;
    if (std::optional<Table> fleet = t.table("fleet")) out.fleet = read_fleet(*fleet);
    t.end();
    return out;
  } catch (const toml::parse_error& problem) {
    fail(name, problem.source(), std::string(problem.description()));
  }
}

OperatorsFile read_operators_file(const std::string& path) {
  std::error_code ignored;
  if (!std::filesystem::exists(path, ignored)) return {};
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in || std::filesystem::is_directory(path, ignored)) throw std::runtime_error(path + ": can't be read");
  return parse_operators_file(text.str(), path);
}

}  // namespace thymewood::operators
