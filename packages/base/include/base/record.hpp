/// \file
/// Plain records whose fields Boost.Hana can walk: one declaration serves the binary wire
/// format (wire/codec.hpp), JSON (configuration/json.hpp) and the checks on both.
#pragma once
#include <boost/hana.hpp>
#include <boost/preprocessor.hpp>
#include <utility>

/// Declares the fields of a record and makes them known to Hana, in order:
///
///   struct RouteRate {
///     DB_RECORD(RouteRate, (std::string, route, lane), (double, rate));
///   };
///
/// Each field is (type, name) or (type, name, wire_name). Its JSON key is wire_name where one is
/// given and name otherwise; the binary format numbers fields by their place and knows no names.
/// Every field is value-initialised: BOOST_HANA_DEFINE_STRUCT leaves plain fields unset, and an
/// unset `ok` in a vote once let two ballots win.
#define DB_RECORD(Name, ...)                                                                      \
  BOOST_PP_SEQ_FOR_EACH(DB_RECORD_FIELD, _, BOOST_PP_VARIADIC_TO_SEQ(__VA_ARGS__))                \
  struct hana_accessors_impl {                                                                    \
    static constexpr auto apply() {                                                               \
      return ::boost::hana::make_tuple(                                                           \
          BOOST_PP_SEQ_FOR_EACH_I(DB_RECORD_ACCESSOR, _, BOOST_PP_VARIADIC_TO_SEQ(__VA_ARGS__))); \
    }                                                                                             \
  }

// Implementation: the field's declaration, its wire name, and the pair of name and accessor.
#define DB_RECORD_FIELD(r, data, f) BOOST_PP_TUPLE_ELEM(0, f) BOOST_PP_TUPLE_ELEM(1, f){};
#define DB_RECORD_WIRE_NAME(f) BOOST_PP_TUPLE_ELEM(BOOST_PP_IF(BOOST_PP_EQUAL(BOOST_PP_TUPLE_SIZE(f), 3), 2, 1), f)
#define DB_RECORD_ACCESSOR(r, data, i, f)                                                                       \
  BOOST_PP_COMMA_IF(i)                                                                                          \
  ::boost::hana::make_pair(BOOST_HANA_STRING(BOOST_PP_STRINGIZE(DB_RECORD_WIRE_NAME(f))),                       \
                                             [](auto&& o) -> decltype(auto) {                                   \
                                               return (std::forward<decltype(o)>(o).BOOST_PP_TUPLE_ELEM(1, f)); \
                                             })
