// When an agent may ask a controller for newer state once more.
#include <criterion/criterion.h>

#include "quorum_contact/catch_up_gate.hpp"

using namespace dockbend;

// Of the kind of the incident of 2026-12-02: a question repeated by a timer while its answer, a whole state, is on its
// way.
Test(catch_up_gate, state_is_not_asked_for_again_while_it_is_on_its_way) {
  CatchUpGate gate;
  cr_assert(gate.may_ask(10, 1, true));
  gate.on_asked(10, 7);
  gate.on_heartbeat_response(7);  // sent before the question
  cr_assert_not(gate.may_ask(12, 1, true));
  gate.on_heartbeat_response(8);
  cr_assert(gate.may_ask(12, 1, true), "the question has been handled");
  cr_assert_not(gate.may_ask(10.5, 1, true), "the interval still counts");
}

Test(catch_up_gate, lost_question_is_asked_again) {
  CatchUpGate gate;
  gate.on_asked(10, 7);
  cr_assert_not(gate.may_ask(14.9, 1, true));
  cr_assert(gate.may_ask(15.1, 1, true), "no heartbeat follows");
  cr_assert_not(gate.may_ask(10.9, 0.05, false));
  cr_assert(gate.may_ask(11.1, 0.05, false), "a difference is soon there");
  gate.on_asked(20, 9);
  gate.reset();
  cr_assert(gate.may_ask(20.1, 1, true), "another connection");
}

Test(catch_up_gate, heartbeat_tags_may_wrap) {
  CatchUpGate gate;
  gate.on_asked(10, 0xffffffffU);
  gate.on_heartbeat_response(0xfffffffeU);
  cr_assert_not(gate.may_ask(12, 1, true));
  gate.on_heartbeat_response(1);
  cr_assert(gate.may_ask(12, 1, true));
}
