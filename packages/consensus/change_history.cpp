#include "consensus/change_history.hpp"

#include <algorithm>

namespace dockbend {
namespace {
// Items and units travel one by one, the short lists whole. A term's counter goes with its
// term, what a pass had with the pass.
std::string name_of(std::string const& key) {
  switch (key[0]) {
    case 'i':
    case 'u': return key;
    case 'n': return "t";
    case 'h': return "p";
    default: return key.substr(0, 1);
  }
}
}  // namespace

void Changes::moved(std::vector<ValueRow> const& rows, State const& now) {
  for (ValueRow const& r : rows) {
    // A difference can't say that an item is gone, nor a unit while its pass stands. Only a
    // value that was never won had it; from here on the line begins anew.
    bool const lost =
        r.gone &&
        (r.key[0] == 'i' || (r.key[0] == 'u' && std::any_of(now.passes.begin(), now.passes.end(), [&](Pass const& p) {
                               return p.state != PassState::aborted && p.state != PassState::done &&
                                      r.key.compare(2, 20, unit_row_pass(p.id)) == 0;
                             })));
    if (lost) {
      line_.clear();
      at_.clear();
      break;
    }
  }
  if (!line_.empty())
    for (ValueRow const& r : rows)
      at_[name_of(r.key)] = now.bal;
  if (line_.empty() || line_.back() < now.bal) line_.push_back(now.bal);
  if (line_.size() <= 2 * most) return;
  line_.erase(line_.begin(), line_.begin() + static_cast<std::ptrdiff_t>(most));
  std::erase_if(at_, [&](auto const& x) { return x.second <= line_.front(); });
}

std::optional<Delta> Changes::since(Ballot have, State const& now) const {
  // Founding values are told by settings, and may differ.
  if (have == Ballot(0) || line_.empty() || line_.back() != now.bal ||
      !std::binary_search(line_.begin(), line_.end(), have))
    return std::nullopt;
  auto after = [&](std::string const& k) {
    auto const it = at_.find(k);
    return it != at_.end() && it->second > have;
  };
  if (!std::is_sorted(now.items.begin(), now.items.end(), [](Item const& a, Item const& b) { return a.key < b.key; }))
    return std::nullopt;
  Delta d;
  d.base = have;
  d.bal = now.bal;
  d.epoch = now.epoch;
  d.open = now.open;
  d.to_fix = now.to_fix;
  d.evacs_set = after("e");
  if (d.evacs_set) d.evacs = now.evacs;
  d.widest = now.widest;
  d.roster_set = after("m") || after("r");
  if (d.roster_set) {
    d.roster = now.roster;
    d.retired = now.retired;
  }
  d.was_set = after("w");
  if (d.was_set) d.was = now.was;
  d.duties_set = after("t");
  if (d.duties_set) d.duties = now.duties;
  d.fixed_set = after("f");
  if (d.fixed_set) d.fixed = now.fixed;
  d.passes_set = after("p");
  if (d.passes_set) d.passes = now.passes;
  for (auto const& [k, at] : at_) {
    if (at <= have || k[0] != 'i') continue;
    auto const it = std::lower_bound(now.items.begin(), now.items.end(), k, [](Item const& i, std::string const& x) {
      return i.key.compare(0, std::string::npos, x, 2, std::string::npos) < 0;
    });
    if (it != now.items.end() && it->key.compare(0, std::string::npos, k, 2, std::string::npos) == 0)
      d.items.push_back(*it);
  }
  if (!now.units.empty())
    for (Unit const& u : now.units)
      if (after(unit_row(u))) d.units.push_back(u);
  return d;
}

}  // namespace dockbend
