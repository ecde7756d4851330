/// The identity of a keyed operation: whose key it is, and the key.
#pragma once
#include <compare>
#include <string>
#include <string_view>

#include "base/types.hpp"

namespace dockbend {

/// A tenant's name, or that there is no tenant, and a key. Two operations are one only if both are equal.
///
/// Between programs and on disk it is a text and a number. The text is what programs before 2026-12-08 knew alone: the
/// tenant's name, a slash and the key, or the key if there is no tenant. Two operations may share it, for names and
/// keys may hold slashes. The number, `split`, says which is meant: 0, not stated, by such a program; 1, without a
/// tenant; n + 2, a tenant's name of n bytes.
class OperationId {
 public:
  /// No operation.
  OperationId() = default;
  static OperationId of_tenant(std::string_view tenant, std::string_view key);
  static OperationId without_tenant(std::string_view key);
  /// As it comes from another program or from disk.
  static OperationId of_text(std::string text, u32 split) { return OperationId(std::move(text), split); }

  /// The key alone, without the tenant's name; the whole text if none is stated.
  std::string_view key() const;
  /// Is a tenant's name stated?
  bool has_tenant() const { return split_ >= kTenant; }
  std::string const& text() const { return text_; }
  u32 split() const { return split_; }
  bool is_empty() const { return text_.empty(); }
  /// Is it stated which operation is meant?
  bool is_exact() const { return split_ != kNotStated; }
  /// Are both one operation, as far as they state it? Of two exact ones only equal ones are.
  bool may_equal(OperationId const& other) const {
    return text_ == other.text_ && (split_ == other.split_ || !is_exact() || !other.is_exact());
  }

  /// In one text, for a table of the disk store. No two operations share it: a header's value has no line break.
  std::string storage_key() const;
  static OperationId of_storage_key(std::string const& storage_key);

  /// By the text first, so that all operations that share one stand together.
  friend auto operator<=>(OperationId const&, OperationId const&) = default;

 private:
  static u32 constexpr kNotStated = 0, kWithoutTenant = 1, kTenant = 2;
  OperationId(std::string text, u32 split) : text_(std::move(text)), split_(split) {}

  std::string text_;
  u32 split_ = kNotStated;
};

/// The operation that a message or a stored record names in its fields `key` and `split`.
template <class Record>
OperationId operation_of(Record const& record) {
  return OperationId::of_text(record.key, record.split);
}
template <class Record>
void set_operation(Record& record, OperationId const& operation) {
  record.key = operation.text();
  record.split = operation.split();
}

}  // namespace dockbend
