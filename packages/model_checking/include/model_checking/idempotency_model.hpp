#pragma once
#include "model_checking/faults.hpp"
#include "model_checking/idempotency_world.hpp"

/// \file
/// The idempotency model with one of the faults of faults.hpp, or without one.

namespace dockbend::model_checking {

template <class Fault>
class IdempotencyModel : public IdempotencyWorld {
 public:
  explicit IdempotencyModel(Bounds const& bounds) : IdempotencyWorld(bounds, faults()) {}

 private:
  static constexpr IdempotencyFaults faults() {
    return {Fault::votes_before_complete,  Fault::ignores_epoch,          Fault::copies_from_too_few,
            Fault::copies_under_old_epoch, Fault::copies_unwritten_state, Fault::removes_members_freely,
            Fault::returns_as_complete};
  }
};

}  // namespace dockbend::model_checking
