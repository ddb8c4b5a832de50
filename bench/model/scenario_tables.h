// The readers of a scenario file's tables, each into the struct that scenario.h has for it.
#pragma once

#include <vector>

#include "scenario.h"
#include "toml_table_reader.h"

namespace thymewood::bench {

LoadClass read_class(TableReader t);
// Appends `count` servers.
void read_servers(TableReader t, std::vector<ScenarioServer>& servers);
Change read_change(TableReader t, const Scenario& s);
Flood read_flood(TableReader t, const Scenario& s);
// `full`: requests a second that all servers can do together; `times` multiplies the load.
std::vector<LoadStep> read_load(std::vector<TableReader> tables, double full, double times);

// The tables of fleet_tables.h.
void read_fleet(TableReader& t, Scenario& s);

}  // namespace thymewood::bench
