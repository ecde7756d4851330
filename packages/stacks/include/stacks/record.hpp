// DB_RECORD(Name, (type, field), ...) declares fields that begin as zero and are
// known to Hana. BOOST_HANA_DEFINE_STRUCT leaves plain fields unset, and an unset
// `ok` in a vote once let two ballots win.
#pragma once
#include <boost/hana.hpp>
#include <boost/preprocessor.hpp>
#include <utility>

#define DB_RECORD_FIELD(r, data, f) BOOST_PP_TUPLE_ELEM(2, 0, f) BOOST_PP_TUPLE_ELEM(2, 1, f){};
#define DB_RECORD_ACC(r, data, i, f)                                                                               \
  BOOST_PP_COMMA_IF(i)                                                                                             \
  ::boost::hana::make_pair(BOOST_HANA_STRING(BOOST_PP_STRINGIZE(BOOST_PP_TUPLE_ELEM(2, 1, f))),                    \
                                             [](auto&& o) -> decltype(auto) {                                      \
                                               return (std::forward<decltype(o)>(o).BOOST_PP_TUPLE_ELEM(2, 1, f)); \
                                             })
#define DB_RECORD(Name, ...)                                                                 \
  BOOST_PP_SEQ_FOR_EACH(DB_RECORD_FIELD, _, BOOST_PP_VARIADIC_TO_SEQ(__VA_ARGS__))           \
  struct hana_accessors_impl {                                                               \
    static constexpr auto apply() {                                                          \
      return ::boost::hana::make_tuple(                                                      \
          BOOST_PP_SEQ_FOR_EACH_I(DB_RECORD_ACC, _, BOOST_PP_VARIADIC_TO_SEQ(__VA_ARGS__))); \
    }                                                                                        \
  }
