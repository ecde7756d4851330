#pragma once
#include <map>
#include <set>

#include "linearizability/linearizability.hpp"
#include "operator_commands/operator_commands.hpp"

/// \file
/// What the control API promises, written apart from the code that keeps it: configuration items by their versions,
/// evacuations, drain runs by their numbers. The model that histories are checked against.

namespace dockbend::test {

struct Control {
  struct ConfigItem {
    u64 gen = 0;
    std::string body;  ///< "": removed
    friend bool operator==(ConfigItem const&, ConfigItem const&) = default;
  };
  struct State {
    std::map<std::string, ConfigItem> items;
    std::set<std::string> zones;
    std::map<u64, std::string> passes;
  };
  struct ItemChange {
    std::string key;
    ConfigItem item;
    std::string service;  ///< that it names; "": none
  };
  enum class What { amend, evacuate, start, read };
  struct Op {
    What what = What::read;
    std::vector<ItemChange> wants;
    std::string zone, body;
    bool on = false;
    u64 pass = 0;
    // What was answered.
    bool ok = true;
    State seen;  ///< by a read; bodies of drain runs are not shown
  };

  /// A route's body that names a service, and the service that a body names; "": none.
  static std::string naming(std::string const& service, std::string const& rest) {
    return R"({"policy":{"actuation":{"service":")" + service + R"("}},"rest":)" + rest + "}";
  }
  static std::string named_by(std::string const& body) {
    std::string const member = R"("service":")";
    auto const at = body.find(member);
    if (at == std::string::npos) return "";
    auto const begin = at + member.size();
    return body.substr(begin, body.find('"', begin) - begin);
  }
  /// Whether a route that stands, or is put, names a service that stands and is removed.
  static bool removes_named(State const& s, std::map<std::string, ConfigItem> const& put) {
    std::map<std::string, ConfigItem> after = s.items;
    for (auto const& [key, item] : put)
      after[key] = item;
    for (auto const& [key, item] : after) {
      std::string const service = "s/" + named_by(item.body);
      auto const old = s.items.find(service);
      bool const stood = old != s.items.end() && !old->second.body.empty();
      if (key[0] == 'r' && stood && put.count(service) > 0 && after[service].body.empty()) return true;
    }
    return false;
  }

  /// Whether a configuration change is allowed in this state.
  static bool proper(State const& s, Op const& o) {
    std::map<std::string, ConfigItem> put;
    for (ItemChange const& change : o.wants) {
      auto const it = s.items.find(change.key);
      if (it != s.items.end() && it->second.gen == change.item.gen && !(it->second == change.item)) return false;
      if (it == s.items.end() || it->second.gen < change.item.gen) put[change.key] = change.item;
    }
    for (ItemChange const& change : o.wants) {
      if (change.service.empty()) continue;
      auto const it = s.items.find("s/" + change.service);
      auto const own = put.find("s/" + change.service);
      bool const set = own != put.end() ? !own->second.body.empty() : it != s.items.end() && !it->second.body.empty();
      if (!set && (put.count(change.key) > 0 || it == s.items.end())) return false;
    }
    return !removes_named(s, put);
  }
  /// Applies an operation; false if its answer is impossible in this state. known: whether it was answered.
  static bool next(State& s, Op const& o, bool known) {
    switch (o.what) {
      case What::amend:
        if (!proper(s, o)) return known && !o.ok;
        if (known && !o.ok) return false;
        for (ItemChange const& change : o.wants)
          if (ConfigItem& i = s.items[change.key]; i.gen < change.item.gen) i = change.item;
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
  /// What an operation asks for, without its answer: repeats of one call have the same text.
  static std::string asks(Op const& o) {
    std::string t = std::to_string(static_cast<int>(o.what)) + (o.on ? "+" : "-") + o.zone + "#" +
                    std::to_string(o.pass) + "=" + o.body;
    for (ItemChange const& change : o.wants)
      t += " " + change.key + "@" + std::to_string(change.item.gen) + "=" + change.item.body + ":" + change.service;
    return t;
  }
  /// Versions and drain runs only grow: a read that saw less can't come after this state.
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
  /// What a read of the replicated value shows.
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
        for (ItemChange const& change : o.wants)
          t += " " + change.key + "@" + std::to_string(change.item.gen) + "=" + change.item.body +
               (change.service.empty() ? "" : ">" + change.service);
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
