#include <criterion/criterion.h>

#include <bit>
#include <cmath>
#include <cstdio>
#include <random>

#include "configuration/json.hpp"

using namespace dockbend;

namespace {
/// With as many digits as any double needs.
std::string text_of(double number) {
  char text[40];
  std::snprintf(text, sizeof text, "{\"n\":%.17g}", number);
  return text;
}

double read_back(std::string const& text) {
  std::string const rendered = json::dump(json::parse(text));
  return json::require_member(json::parse(rendered), "n").GetDouble();
}
}  // namespace

// Failure: 33.333333333333336 was acknowledged and read back as 33.33333333333334.
Test(json_numbers, a_number_is_read_back_to_the_last_digit) {
  for (int divisor = 1; divisor < 1000; ++divisor)
    cr_assert_eq(read_back(text_of(100.0 / divisor)), 100.0 / divisor, "100 / %d", divisor);
  std::mt19937_64 random(1);
  for (int count = 0; count < 100000;) {
    double const number = std::bit_cast<double>(random());
    if (!std::isfinite(number)) continue;
    ++count;
    cr_assert_eq(read_back(text_of(number)), number, "%.17g", number);
  }
}
