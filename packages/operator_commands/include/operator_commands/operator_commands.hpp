// The operators' orders: what each asks of the register's value, and what becomes of it.
// No I/O. An order may be applied more than once, to values that stand and to values that
// never will (a lost round); only the outcome of the round that was won is answered.
#pragma once
#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "consensus/replicated_state.hpp"
#include "drain/drain_run.hpp"

namespace dockbend {

enum class CommandStatus : u8 {
  taken = 1,     // in force, or overtaken by something newer
  invalid = 2,   // it names what nobody set
  unknown = 3,   // what it is about is not there
  clash = 4,     // another order stands under its number, or in its way
  unsettled = 5  // not known to stand; it may yet, or may have: to be sent again
};

// What an order came to, judged on one value.
struct CommandResult {
  CommandStatus ruling = CommandStatus::unsettled;
  bool changed = false;  // the value
  std::string what;      // one line: why not
  u64 id = 0;            // of the pass that it made or is about
};

// The one place that turns an outcome into a status. A 4xx is final for the caller, so
// only what a majority holds may lead to one; a 503 promises that nothing was done, so what
// may yet stand is never answered with it.
int status_of(CommandStatus v);
CommandResult unsettled(std::string why);

// An order by value; apply() changes the value or leaves it as it was, never half.
template <class O>
concept OperatorCommand = std::copy_constructible<O> && requires(O const& o, ReplicatedState& s) {
  { o.apply(s) } -> std::same_as<CommandResult>;
};

// A call may wait, cut off, while its caller asks another node, is answered, and goes on. So
// that nothing comes into force after it was refused elsewhere, and no order has its effect
// twice or undoes a later one, each remembers what the node knew of its subject when it came
// in (`known`, null: nothing yet). Moved on since in a way that another node's answer may have
// turned on, the subject is left as it is: whoever still waits is told to send it again.

// Items carry generations: sent again they meet themselves, late they meet something newer.
class AmendConfiguration {
 public:
  AmendConfiguration(ConfigChange a, ReplicatedState const* known);
  CommandResult apply(ReplicatedState& s) const;
  ConfigChange const& asked() const { return a_; }

 private:
  Generation known(std::string const& key) const;
  bool may_be_refused(std::map<std::string, ConfigItem> const& joined) const;
  ConfigChange a_;
  std::unordered_map<std::string, Generation> known_;  // of its items and the services they name
};

// Evacuations carry no number: the counter of a zone rises with each change.
class SetEvacuation {
 public:
  // here: the settings name the zone.
  SetEvacuation(std::string zone, bool on, ReplicatedState const* known, bool here = true);
  CommandResult apply(ReplicatedState& s) const;

 private:
  std::string zone_;
  bool on_, here_;
  u64 since_;
};

class StartDrain {
 public:
  StartDrain(DrainOrder o, ReplicatedState const* known);
  CommandResult apply(ReplicatedState& s) const;

 private:
  DrainOrder o_;
  std::vector<std::pair<u64, bool>> known_;  // passes, and which of them are over
};

// Commands carry no number either: a pass's turn rises with each pause and resume.
class ControlDrain {
 public:
  ControlDrain(u64 id, DrainCommand o, std::string unit, ReplicatedState const* known);
  CommandResult apply(ReplicatedState& s) const;

 private:
  u64 id_;
  DrainCommand o_;
  std::string unit_;
  std::optional<u32> since_;  // none: the pass was not known
};

// Asks nothing of the value: it says whether the duty is where it was ordered to.
struct HandOverLease {
  std::string duty, node;
  CommandResult apply(ReplicatedState& s) const { return judge(s); }
  CommandResult judge(ReplicatedState const& s) const;
};

// Carries an order to the register and its outcome back. Submit is the node's way to the
// register: (change, done, patience); done gets null if the change is not known to stand.
template <OperatorCommand O, class Submit>
void carry(Submit const& submit, O o, Seconds patience, std::function<void(CommandResult const&)> done) {
  auto const got = std::make_shared<CommandResult>();
  submit(
      [o = std::move(o), got](ReplicatedState& s) {
        *got = o.apply(s);  // as a whole: nothing of an earlier round's outcome stays
        return got->changed;
      },
      [got, done = std::move(done)](ReplicatedState const* s) {
        done(s == nullptr ? unsettled("no majority in time; it may yet stand") : *got);
      },
      patience);
}

}  // namespace dockbend
