// Reads the operators' settings file. The only C++ of the project: toml++ behind a C function.
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <cstdio>
#include <string>

extern "C" {
#include "protocol/settings.h"
}

namespace {

struct number_entry {
  const char *table;
  const char *key;
  double least, most;
  bool whole;
  void (*set)(fc_operator_settings *, double);
};

const number_entry k_numbers[] = {
    {"scheduler", "round_s", 0.1, 60, false, [](fc_operator_settings *out, double value) { out->round_s = value; }},
    {"scheduler", "handover_wait_s", 0, 3600, false,
     [](fc_operator_settings *out, double value) { out->handover_wait_s = value; }},
    {"scheduler", "split_limit", 1, 1000, true,
     [](fc_operator_settings *out, double value) { out->split_limit = static_cast<unsigned>(value); }},
    {"jobs", "over_keep_s", 60, 1e9, false, [](fc_operator_settings *out, double value) { out->over_keep_s = value; }},
    {"membership", "lease_share", 0.2, 0.9, false,
     [](fc_operator_settings *out, double value) { out->member_lease_share = value; }},
    {"machines", "warm_deviations", 0, 10, false,
     [](fc_operator_settings *out, double value) { out->warm_deviations = value; }},
    {"machines", "idle_keep_share", 0, 100, false,
     [](fc_operator_settings *out, double value) { out->idle_keep_share = value; }},
};

// Where the line about the first fault is written.
struct fault_line {
  char *text;
  size_t size;
};

bool read_rent(const toml::node &node, fc_operator_settings *out, const fault_line &fault) {
  if (!node.is_boolean()) {
    std::snprintf(fault.text, fault.size, "machines.rent: not true or false");
    return false;
  }
  out->rent = *node.value<bool>();
  return true;
}

bool read_number(const number_entry &entry, const toml::node &node, fc_operator_settings *out,
                 const fault_line &fault) {
  auto value = node.value<double>();
  bool typed = entry.whole ? node.is_integer() : node.is_number();
  if (!typed || !value || !(*value >= entry.least && *value <= entry.most)) {
    std::snprintf(fault.text, fault.size, "%s.%s: not a number from %g to %g", entry.table, entry.key, entry.least,
                  entry.most);
    return false;
  }
  entry.set(out, *value);
  return true;
}

bool read_entry(const std::string &table, const std::string &key, const toml::node &node, fc_operator_settings *out,
                const fault_line &fault) {
  if (table == "machines" && key == "rent") return read_rent(node, out, fault);
  for (const number_entry &entry : k_numbers)
    if (table == entry.table && key == entry.key) return read_number(entry, node, out, fault);
  std::snprintf(fault.text, fault.size, "%s.%s: unknown key", table.c_str(), key.c_str());
  return false;
}

bool is_known_table(const std::string &name) {
  for (const number_entry &entry : k_numbers)
    if (name == entry.table) return true;
  return false;
}

}  // namespace

extern "C" bool fc_operator_load(const char *path, fc_operator_settings *out, char *error, size_t error_size) {
  const fault_line fault = {error, error_size};
  toml::parse_result parsed = toml::parse_file(path);
  if (!parsed) {
    std::snprintf(error, error_size, "%s: %s", path, std::string(parsed.error().description()).c_str());
    return false;
  }
  for (auto &&[table_key, table_node] : parsed.table()) {
    std::string name(table_key.str());
    const toml::table *table = table_node.as_table();
    if (!table || !is_known_table(name)) {
      std::snprintf(error, error_size, "%s: unknown key", name.c_str());
      return false;
    }
    for (auto &&[key, node] : *table)
      if (!read_entry(name, std::string(key.str()), node, out, fault)) return false;
  }
  return true;
}
