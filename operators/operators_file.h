// The operator configuration file: settings that operators choose, in addition to the platform's
// configuration of the node. It is parsed and validated completely before any of it is used;
// deploy/operators.toml is a commented example.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "detector_config.h"
#include "replica_set_view.h"

namespace thymewood::operators {

// Table [fleet]: communication between the nodes of a replica set.
struct ReplicaSetOptions {
  bool enabled = false;  // takes effect only if the platform permits it as well
  std::string name = "thymewood";
  membership::DetectorConfig detector;
  membership::ReplicaSetViewConfig view;
  bool rejects_when_isolated = false;  // key refuse_when_cut_off: isolated from most nodes and most servers
};

struct OperatorConfig {
  ReplicaSetOptions replica_set;
};

// what() is one line: file, line, key and reason.
class InvalidOperatorConfig : public std::runtime_error {
 public:
  // `line`: 0 if the error concerns the file as a whole. `key`: empty if it concerns no single key.
  InvalidOperatorConfig(const std::string& file, std::uint32_t line, const std::string& key,
                        const std::string& reason);
  [[nodiscard]] const std::string& file() const { return file_; }
  [[nodiscard]] std::uint32_t line() const { return line_; }
  [[nodiscard]] const std::string& key() const { return key_; }
  [[nodiscard]] const std::string& reason() const { return reason_; }

 private:
  std::string file_;
  std::uint32_t line_;
  std::string key_;
  std::string reason_;
};

// Throws InvalidOperatorConfig. A missing file leaves everything off; a file that exists but cannot be read
// is an error.
[[nodiscard]] OperatorConfig load_operator_config(const std::string& path);
[[nodiscard]] OperatorConfig parse_operator_config(const std::string& text, const std::string& name);

}  // namespace thymewood::operators
