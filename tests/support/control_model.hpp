// What the control API promises, written apart from the code that keeps it: items by their
// own generations, evacuations, passes by their numbers.
#pragma once
#include <map>
#include <set>

#include "linearizability/linearizability.hpp"
#include "operator_commands/operator_commands.hpp"

namespace dockbend::test {

struct Control {
  struct ConfigItem {
    u64 gen = 0;
    std::string body;  // "": dropped
    friend bool operator==(ConfigItem const&, ConfigItem const&) = default;
  };
  struct State {
    std::map<std::string, ConfigItem> items;
    std::set<std::string> zones;
    std::map<u64, std::string> passes;
  };
  struct QuotaDemand {
    std::string key;
    ConfigItem item;
    std::string service;  // that it names
  };
  enum class What { amend, evacuate, start, read };
  struct Op {
    What what = What::read;
    std::vector<QuotaDemand> wants;
    std::string zone, body;
    bool on = false;
    u64 pass = 0;
    // The answer.
    bool ok = true;
    State seen;  // a read's; bodies of passes are not shown
  };

  static bool proper(State const& s, Op const& o) {
    std::map<std::string, ConfigItem> put;
    for (QuotaDemand const& w : o.wants) {
      auto const it = s.items.find(w.key);
      if (it != s.items.end() && it->second.gen == w.item.gen && !(it->second == w.item)) return false;
      if (it == s.items.end() || it->second.gen < w.item.gen) put[w.key] = w.item;
    }
    for (QuotaDemand const& w : o.wants) {
      if (w.service.empty()) continue;
      auto const it = s.items.find("s/" + w.service);
      auto const own = put.find("s/" + w.service);
      bool const set = own != put.end() ? !own->second.body.empty() : it != s.items.end() && !it->second.body.empty();
      if (!set && (put.count(w.key) > 0 || it == s.items.end())) return false;
    }
    return true;
  }
  static bool next(State& s, Op const& o, bool known) {
    switch (o.what) {
      case What::amend:
        if (!proper(s, o)) return known && !o.ok;
        if (known && !o.ok) return false;
        for (QuotaDemand const& w : o.wants)
          if (ConfigItem& i = s.items[w.key]; i.gen < w.item.gen) i = w.item;
        return true;
      case What::evacuate:
        if (known && !o.ok) return false;
        if (o.on)
          s.zones.insert(o.zone);
        else
          s.zones.erase(o.zone);
        return true;
      case What::start: {
        auto const it = s.passes.find(o.pass);
        if (it != s.passes.end() && it->second != o.body) return known && !o.ok;
        if (known && !o.ok) return false;
        s.passes[o.pass] = o.body;
        return true;
      }
      case What::read: return known && text(o.seen, false) == text(s, false);
    }
    return false;
  }
  static std::string text(State const& s, bool bodies) {
    std::string t;
    for (auto const& [k, i] : s.items)
      t += k + "@" + std::to_string(i.gen) + "=" + i.body + " ";
    for (std::string const& z : s.zones)
      t += "-" + z + " ";
    for (auto const& [id, b] : s.passes)
      t += "#" + std::to_string(id) + (bodies ? "=" + b : "") + " ";
    return t;
  }
  static std::string key(State const& s) { return text(s, true); }
  static std::string asks(Op const& o) {
    std::string t = std::to_string(static_cast<int>(o.what)) + (o.on ? "+" : "-") + o.zone + "#" +
                    std::to_string(o.pass) + "=" + o.body;
    for (QuotaDemand const& w : o.wants)
      t += " " + w.key + "@" + std::to_string(w.item.gen) + "=" + w.item.body + ":" + w.service;
    return t;
  }
  // Versions and passes only grow: a read that saw less comes too late.
  static bool lost(State const& s, Op const& o) {
    if (o.what != What::read) return false;
    for (auto const& [k, i] : s.items) {
      auto const it = o.seen.items.find(k);
      if (it == o.seen.items.end() || it->second.gen < i.gen || (it->second.gen == i.gen && !(it->second == i)))
        return true;
    }
    for (auto const& [id, b] : s.passes)
      if (o.seen.passes.count(id) == 0) return true;
    return false;
  }
  // What a read of the register's value shows.
  static State seen(dockbend::ReplicatedState const& v) {
    State s;
    for (dockbend::ConfigItem const& i : v.items)
      s.items[i.key] = ConfigItem{i.gen.v, i.gone ? "" : i.body};
    for (Evacuation const& e : v.evacuations)
      if (e.on) s.zones.insert(e.zone);
    for (DrainRun const& p : v.passes)
      s.passes[p.id] = "";
    return s;
  }
  static std::string text(Op const& o) {
    switch (o.what) {
      case What::amend: {
        std::string t = "amend";
        for (QuotaDemand const& w : o.wants)
          t += " " + w.key + "@" + std::to_string(w.item.gen) + "=" + w.item.body +
               (w.service.empty() ? "" : ">" + w.service);
        return t + (o.ok ? " ok" : " refused");
      }
      case What::evacuate: return (o.on ? "begin " : "finish ") + o.zone;
      case What::start: return "start " + std::to_string(o.pass) + "=" + o.body + (o.ok ? " ok" : " refused");
      case What::read: return "read " + text(o.seen, false);
    }
    return "";
  }
};

}  // namespace dockbend::test
