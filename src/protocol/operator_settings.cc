// The only C++ of the project: toml++ behind a C call.
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <cstdio>

extern "C" {
#include "protocol/settings.h"
}

namespace {

struct entry {
  const char *table;
  const char *key;
  double least, most;
  bool whole;
  void (*set)(fc_operator_settings *, double);
};

const entry k_numbers[] = {
    {"scheduler", "round_s", 0.1, 60, false, [](fc_operator_settings *o, double v) { o->round_s = v; }},
    {"scheduler", "handover_wait_s", 0, 3600, false, [](fc_operator_settings *o, double v) { o->handover_wait_s = v; }},
    {"scheduler", "split_limit", 1, 1000, true,
     [](fc_operator_settings *o, double v) { o->split_limit = static_cast<unsigned>(v); }},
    {"jobs", "over_keep_s", 60, 1e9, false, [](fc_operator_settings *o, double v) { o->over_keep_s = v; }},
    {"membership", "lease_share", 0.2, 0.9, false,
     [](fc_operator_settings *o, double v) { o->member_lease_share = v; }},
    {"machines", "warm_deviations", 0, 10, false, [](fc_operator_settings *o, double v) { o->warm_deviations = v; }},
    {"machines", "idle_keep_share", 0, 100, false, [](fc_operator_settings *o, double v) { o->idle_keep_share = v; }},
};

bool set_entry(const char *table, const toml::key &key, const toml::node &node, fc_operator_settings *out, char *error,
               size_t size) {
  std::string name(key.str());
  if (std::string(table) == "machines" && name == "rent") {
    if (!node.is_boolean()) {
      std::snprintf(error, size, "machines.rent: not true or false");
      return false;
    }
    out->rent = *node.value<bool>();
    return true;
  }
  for (const entry &e : k_numbers) {
    if (std::string(table) != e.table || name != e.key) continue;
    auto v = node.value<double>();
    bool typed = e.whole ? node.is_integer() : node.is_number();
    if (!typed || !v || !(*v >= e.least && *v <= e.most)) {
      std::snprintf(error, size, "%s.%s: not a number from %g to %g", table, e.key, e.least, e.most);
      return false;
    }
    e.set(out, *v);
    return true;
  }
  std::snprintf(error, size, "%s.%s: unknown key", table, name.c_str());
  return false;
}

}  // namespace

extern "C" bool fc_operator_load(const char *path, fc_operator_settings *out, char *error, size_t size) {
  toml::parse_result parsed = toml::parse_file(path);
  if (!parsed) {
    std::snprintf(error, size, "%s: %s", path, std::string(parsed.error().description()).c_str());
    return false;
  }
  for (auto &&[key, node] : parsed.table()) {
    std::string table(key.str());
    const toml::table *t = node.as_table();
    if (!t || (table != "scheduler" && table != "jobs" && table != "membership" && table != "machines")) {
      std::snprintf(error, size, "%s: unknown key", table.c_str());
      return false;
    }
    for (auto &&[k, n] : *t)
      if (!set_entry(table.c_str(), k, n, out, error, size)) return false;
  }
  return true;
}
