#include "operators_file.h"

#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

#include "toml_table.h"

namespace thymewood::operators {
namespace {

std::string message_of(const std::string& file, std::uint32_t line, const std::string& key,
                       const std::string& reason) {
  std::ostringstream out;
  out << file << ':';
  if (line > 0) out << line << ':';
  out << ' ';
  if (!key.empty()) out << '\'' << key << "' ";
  out << reason;
  return out.str();
}

// With intervals below 20 ms, a node that is merely busy would be suspected.
constexpr double kMinIntervalMs = 20;
constexpr double kMaxIntervalMs = 60'000;
constexpr double kMaxSettleMs = 600'000;
constexpr double kMaxFlapDecayMs = 86'400'000;

// Default times, in probe intervals.
constexpr double kSettleIntervals = 5;
constexpr double kMinChangeIntervals = 10;
constexpr double kFlapDecayIntervals = 60;

void read_detector(TomlTable& table, membership::DetectorConfig& out) {
  if (const auto interval = table.milliseconds("period_ms", kMinIntervalMs, kMaxIntervalMs))
    out.probe_interval = *interval;
  const double default_timeout = out.ack_timeout_fraction * out.probe_interval;
  const double ack_timeout = table.milliseconds("answer_ms", 1, kMaxIntervalMs).value_or(default_timeout);
  if (ack_timeout >= out.probe_interval) table.reject("answer_ms", "must be below 'period_ms'");
  out.ack_timeout_fraction = ack_timeout / out.probe_interval;
  out.indirect_probe_count = table.integer("helpers", 0, 10).value_or(out.indirect_probe_count);
  out.suspicion_multiplier = table.integer("suspicion_periods", 1, 100).value_or(out.suspicion_multiplier);
}

ReplicaSetOptions read_replica_set(TomlTable table) {
  ReplicaSetOptions out;
  out.enabled = table.boolean("enabled").value_or(out.enabled);
  out.name = table.string("name").value_or(out.name);
  read_detector(table, out.detector);
  const double interval = out.detector.probe_interval;
  out.view.settle_time = table.milliseconds("hold_ms", 0, kMaxSettleMs).value_or(kSettleIntervals * interval);
  out.view.min_change_interval =
      table.milliseconds("calm_ms", 0, kMaxSettleMs).value_or(kMinChangeIntervals * interval);
  out.rejects_when_isolated = table.boolean("refuse_when_cut_off").value_or(out.rejects_when_isolated);
  out.view.flap_decay_interval =
      table.milliseconds("forgive_ms", 1, kMaxFlapDecayMs).value_or(kFlapDecayIntervals * interval);
  table.reject_unknown_keys();
  return out;
}

}  // namespace

InvalidOperatorConfig::InvalidOperatorConfig(const std::string& file, std::uint32_t line,
                                             const std::string& key, const std::string& reason)
    : std::runtime_error(message_of(file, line, key, reason)),
      file_(file),
      line_(line),
      key_(key),
      reason_(reason) {}

OperatorConfig parse_operator_config(const std::string& text, const std::string& name) {
  try {
    const toml::table document = toml::parse(text);
    TomlTable root(name, document);
    OperatorConfig out;
    if (const std::optional<TomlTable> table = root.table("fleet"))
      out.replica_set = read_replica_set(*table);
    root.reject_unknown_keys();
    return out;
  } catch (const toml::parse_error& error) {
    throw InvalidOperatorConfig(name, error.source().begin.line, "", std::string(error.description()));
  }
}

OperatorConfig load_operator_config(const std::string& path) {
  std::error_code ignored;
  if (!std::filesystem::exists(path, ignored)) return {};
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in || std::filesystem::is_directory(path, ignored))
    throw InvalidOperatorConfig(path, 0, "", "cannot be read");
  return parse_operator_config(text.str(), path);
}

}  // namespace thymewood::operators
