// Reads the operators' settings file (TOML). The only C++ of the project: it wraps toml++ in a C function.
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
  double min, max;
  bool integer;
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

// Receives one line about the first error.
struct error_buffer {
  char *text;
  size_t size;
};

bool read_rent(const toml::node &node, fc_operator_settings *out, const error_buffer &error_out) {
  if (!node.is_boolean()) {
    std::snprintf(error_out.text, error_out.size, "machines.rent: not true or false");
    return false;
  }
  out->rent = *node.value<bool>();
  return true;
}

bool read_number(const number_entry &entry, const toml::node &node, fc_operator_settings *out,
                 const error_buffer &error_out) {
  auto value = node.value<double>();
  bool typed = entry.integer ? node.is_integer() : node.is_number();
  if (!typed || !value || !(*value >= entry.min && *value <= entry.max)) {
    std::snprintf(error_out.text, error_out.size, "%s.%s: not a number from %g to %g", entry.table, entry.key,
                  entry.min, entry.max);
    return false;
  }
  entry.set(out, *value);
  return true;
}

bool read_entry(const std::string &table, const std::string &key, const toml::node &node, fc_operator_settings *out,
                const error_buffer &error_out) {
  if (table == "machines" && key == "rent") return read_rent(node, out, error_out);
  for (const number_entry &entry : k_numbers)
    if (table == entry.table && key == entry.key) return read_number(entry, node, out, error_out);
  std::snprintf(error_out.text, error_out.size, "%s.%s: unknown key", table.c_str(), key.c_str());
  return false;
}

bool is_known_table(const std::string &name) {
  for (const number_entry &entry : k_numbers)
    if (name == entry.table) return true;
  return false;
}

}  // namespace

extern "C" bool fc_operator_load(const char *path, fc_operator_settings *out, char *error, size_t error_size) {
  const error_buffer error_out = {error, error_size};
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
      if (!read_entry(name, std::string(key.str()), node, out, error_out)) return false;
  }
  return true;
}
