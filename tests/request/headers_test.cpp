#include <criterion/criterion.h>

#include "request/headers.hpp"
#include "request/slab.hpp"

using namespace dockbend;

namespace {
Reply good() {
  return Reply{200, {{"Content-Length", "4"}, {"X-Attempt-Id", "a1"}, {"X-Server-Seal", "s"}}, 4};
}
}  // namespace

Test(errand, whole_answer_of_this_errand_passes) {
  cr_assert(judge(good(), "a1") == End::whole);
}

// One header or figure of a good answer is spoiled at a time.
Test(errand, each_spoiled_answer_is_seen) {
  auto with = [](auto f) {
    Reply r = good();
    f(r);
    return judge(r, "a1");
  };
  cr_assert(with([](Reply& r) { r.heads[1].second = "a2"; }) == End::broken, "another errand's answer");
  cr_assert(with([](Reply& r) { r.heads.erase(r.heads.begin() + 1); }) == End::broken, "no id");
  cr_assert(with([](Reply& r) { r.heads.pop_back(); }) == End::broken, "no seal");
  cr_assert(with([](Reply& r) { r.heads.erase(r.heads.begin()); }) == End::broken, "unframed");
  cr_assert(with([](Reply& r) { r.body = 3; }) == End::broken, "ends early");
  cr_assert(with([](Reply& r) { r.heads.emplace_back("Content-Length", "4"); }) == End::broken, "two lengths");
  cr_assert(with([](Reply& r) { r.heads.emplace_back("Transfer-Encoding", "chunked"); }) == End::broken,
            "length and coding");
  cr_assert(with([](Reply& r) { r.heads[0].second = "4x"; }) == End::broken, "no number");
  for (int const c : {429, 503, 408})
    cr_assert(with([c](Reply& r) { r.code = c; }) == End::broken, "%d without X-Not-Run promises nothing", c);
  cr_assert(with([](Reply& r) { r.code = 503, r.heads.emplace_back("X-Not-Run", "1"); }) == End::not_run);
  cr_assert(with([](Reply& r) { r.code = 503, r.heads[1].second = "a2", r.heads.emplace_back("X-Not-Run", "1"); }) ==
                End::broken,
            "a refusal of another errand proves nothing of this one");
  cr_assert(with([](Reply& r) { r.heads.emplace_back("X-Attempt-Id", "a2"); }) == End::broken, "two ids");
  for (int const c : {503, 421, 400})
    cr_assert(with([c](Reply& r) {
                r.code = c, r.heads.erase(r.heads.begin() + 1), r.heads.emplace_back("X-Not-Run", "1");
              }) == End::broken,
              "a refusal without an id, %d, may be of an earlier request", c);
  cr_assert(with([](Reply& r) { r.heads.emplace_back("X-Not-Run", "1"); }) == End::broken,
            "a success that says it has not run");
  cr_assert(with([](Reply& r) { r.head = true, r.body = 0; }) == End::whole, "an answer to a HEAD has no body");
  cr_assert(with([](Reply& r) { r.code = 421; }) == End::misdirected);
  cr_assert(with([](Reply& r) { r.code = 500; }) == End::whole);
  cr_assert_not(surely_not_run(End::broken) || surely_not_run(End::silent) || surely_not_run(End::whole));
}

Test(errand, what_a_fence_drops_is_counted_by_cause) {
  Reply r = good();
  r.heads[1].second = "a2";
  Fence f;
  f.drop(*examine(r, "a1").why);
  f.drop(Drop::late_answer);
  f.drop(Drop::late_answer);
  std::string const said = f.since();
  cr_assert_str_eq(said.c_str(), "other id 1, late answer 2");
  cr_assert(f.since().empty());
  cr_assert_eq(f.dropped(Drop::late_answer), 2u);
  cr_assert_not(examine(good(), "a1").why.has_value());
}

Test(errand, ambiguous_framing_of_a_request) {
  u64 n = 0;
  cr_assert(framing_of({{"Content-Length", "5"}}, n) == Framing::length && n == 5);
  cr_assert(framing_of({{"content-length", "5"}, {"Content-Length", "5"}}, n) == Framing::ambiguous);
  cr_assert(framing_of({{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}}, n) == Framing::ambiguous);
  cr_assert(framing_of({{"Transfer-Encoding", "gzip, chunked"}}, n) == Framing::ambiguous);
  cr_assert(framing_of({{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}}, n) == Framing::ambiguous);
  cr_assert(framing_of({{"Content-Length", "+5"}}, n) == Framing::ambiguous);
  cr_assert(framing_of({{"Content-Length", ""}}, n) == Framing::ambiguous);
  cr_assert(framing_of({{"Content-Length", "9999999999999999"}}, n) == Framing::ambiguous);
  cr_assert(framing_of({}, n) == Framing::none);
}

Test(errand, an_old_handle_finds_nothing) {
  Slab<int> s;
  auto const a = s.add(std::make_unique<int>(1));
  s.drop(a);
  auto const b = s.add(std::make_unique<int>(2));
  cr_assert_eq(a.ix, b.ix);
  cr_assert(s.get(a) == nullptr);
  cr_assert_eq(*s.get(Slab<int>::Handle::of(b.ptr())), 2);
  s.drop(a);
  cr_assert_eq(s.size(), 1u);
}
