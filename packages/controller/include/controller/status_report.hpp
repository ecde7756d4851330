/// The answer to GET /-/Status.
#pragma once
#include <string>

#include "controller/controller_services.hpp"
#include "controller/json_writer.hpp"

namespace dockbend {

/// Writes what this controller knows as JSON. Names and order of the members are fixed by the users' pages.
class StatusReport {
 public:
  explicit StatusReport(ControllerServices const& services) : services_(services), context_(services.context) {}

  std::string render() const;

 private:
  void write_contact(JsonWriter& json) const;
  void write_consensus(JsonWriter& json) const;
  void write_rejected_input(JsonWriter& json) const;
  void write_unmatched(JsonWriter& json) const;
  void write_items(JsonWriter& json) const;
  void write_evacuations(JsonWriter& json) const;
  void write_servers(JsonWriter& json) const;
  void write_proxies(JsonWriter& json) const;

  ControllerServices services_;
  ControllerContext const& context_;
};

}  // namespace dockbend
