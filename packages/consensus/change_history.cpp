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

void ChangeHistory::moved(std::vector<StateRow> const& rows, ReplicatedState const& now) {
  for (StateRow const& r : rows) {
    // A difference can't say that an item is gone, nor a unit while its pass stands. Only a
    // value that was never won had it; from here on the line begins anew.
    bool const lost =
        r.gone && (r.key[0] == 'i' ||
                   (r.key[0] == 'u' && std::any_of(now.passes.begin(), now.passes.end(), [&](DrainRun const& p) {
                      return p.state != DrainRunState::aborted && p.state != DrainRunState::done &&
                             r.key.compare(2, 20, unit_row_pass(p.id)) == 0;
                    })));
    if (lost) {
      line_.clear();
      at_.clear();
      break;
    }
  }
  if (!line_.empty())
    for (StateRow const& r : rows)
      at_[name_of(r.key)] = now.ballot;
  if (line_.empty() || line_.back() < now.ballot) line_.push_back(now.ballot);
  if (line_.size() <= 2 * most) return;
  line_.erase(line_.begin(), line_.begin() + static_cast<std::ptrdiff_t>(most));
  std::erase_if(at_, [&](auto const& x) { return x.second <= line_.front(); });
}

std::optional<StateDelta> ChangeHistory::since(Ballot have, ReplicatedState const& now) const {
  // Founding values are told by settings, and may differ.
  if (have == Ballot(0) || line_.empty() || line_.back() != now.ballot ||
      !std::binary_search(line_.begin(), line_.end(), have))
    return std::nullopt;
  auto after = [&](std::string const& k) {
    auto const it = at_.find(k);
    return it != at_.end() && it->second > have;
  };
  if (!std::is_sorted(now.items.begin(), now.items.end(),
                      [](ConfigItem const& a, ConfigItem const& b) { return a.key < b.key; }))
    return std::nullopt;
  StateDelta d;
  d.base = have;
  d.ballot = now.ballot;
  d.epoch = now.epoch;
  d.open = now.open;
  d.to_fix = now.to_fix;
  d.evacuations_set = after("e");
  if (d.evacuations_set) d.evacuations = now.evacuations;
  d.largest_membership = now.largest_membership;
  d.membership_set = after("m") || after("r");
  if (d.membership_set) {
    d.membership = now.membership;
    d.retired = now.retired;
  }
  d.previous_membership_set = after("w");
  if (d.previous_membership_set) d.previous_membership = now.previous_membership;
  d.duties_set = after("t");
  if (d.duties_set) d.duties = now.duties;
  d.fixed_set = after("f");
  if (d.fixed_set) d.fixed = now.fixed;
  d.passes_set = after("p");
  if (d.passes_set) d.passes = now.passes;
  for (auto const& [k, at] : at_) {
    if (at <= have || k[0] != 'i') continue;
    auto const it =
        std::lower_bound(now.items.begin(), now.items.end(), k, [](ConfigItem const& i, std::string const& x) {
          return i.key.compare(0, std::string::npos, x, 2, std::string::npos) < 0;
        });
    if (it != now.items.end() && it->key.compare(0, std::string::npos, k, 2, std::string::npos) == 0)
      d.items.push_back(*it);
  }
  if (!now.units.empty())
    for (DrainUnit const& u : now.units)
      if (after(unit_row(u))) d.units.push_back(u);
  return d;
}

}  // namespace dockbend
