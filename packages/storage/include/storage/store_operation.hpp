/// One change of one row in the disk store's tables.
#pragma once
#include <string>

#include "base/types.hpp"

namespace dockbend {

/// Made by the functions below; each table has a kind for writing and one for deleting.
struct StoreOperation {
  enum class Kind : u8 {
    put_meta,
    put_key,
    delete_key,
    put_server,
    delete_server,
    put_answer,
    delete_answer,
    put_value_row,
    delete_value_row
  };
  static constexpr std::size_t kKinds = 9;

  Kind kind = Kind::put_meta;
  std::string key, value;
  u64 holder = 0;          ///< put_key only
  bool is_sealed = false;  ///< put_key only

  static StoreOperation put(Kind kind, std::string key, std::string value) {
    StoreOperation operation;
    operation.kind = kind;
    operation.key = std::move(key);
    operation.value = std::move(value);
    return operation;
  }
  static StoreOperation remove(Kind kind, std::string key) { return put(kind, std::move(key), ""); }

  static StoreOperation put_meta(std::string name, std::string value) {
    return put(Kind::put_meta, std::move(name), std::move(value));
  }
  /// A claimed key: who has it, and whether it is sealed (copied, and never granted again).
  static StoreOperation put_key(std::string key, u64 holder, bool is_sealed) {
    StoreOperation operation = put(Kind::put_key, std::move(key), "");
    operation.holder = holder;
    operation.is_sealed = is_sealed;
    return operation;
  }
  static StoreOperation delete_key(std::string key) { return remove(Kind::delete_key, std::move(key)); }
  static StoreOperation put_server(std::string id, std::string record) {
    return put(Kind::put_server, std::move(id), std::move(record));
  }
  static StoreOperation delete_server(std::string id) { return remove(Kind::delete_server, std::move(id)); }
  static StoreOperation put_answer(std::string key, std::string answer) {
    return put(Kind::put_answer, std::move(key), std::move(answer));
  }
  static StoreOperation delete_answer(std::string key) { return remove(Kind::delete_answer, std::move(key)); }
};

}  // namespace dockbend
