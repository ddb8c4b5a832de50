// Readers for the tables of a scenario file, one for each struct of scenario.h.
#pragma once

#include <vector>

#include "scenario.h"
#include "toml_table_reader.h"

namespace thymewood::bench {

LoadClass read_class(TableReader t);
// Appends as many servers as the table's `count`.
void read_servers(TableReader t, std::vector<ScenarioServer>& servers);
Change read_change(TableReader t, const Scenario& s);
Flood read_flood(TableReader t, const Scenario& s);
// `total_rate`: capacity of all servers in requests per second; `times` multiplies the load.
std::vector<LoadStep> read_load(std::vector<TableReader> tables, double total_rate, double times);

// Reads the tables of fleet_tables.h.
void read_fleet(TableReader& t, Scenario& s);

}  // namespace thymewood::bench
