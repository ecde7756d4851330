/// The answer to GET /-/Status.
#pragma once
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "controller/controller_services.hpp"

namespace dockbend {

/// Writes what this controller knows as JSON. Names and order of the members are fixed by the users' pages.
class StatusReport {
 public:
  explicit StatusReport(ControllerServices const& services) : services_(services), context_(services.context) {}

  std::string render() const;

 private:
  using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

  void write_contact(Writer& writer) const;
  void write_consensus(Writer& writer) const;
  void write_rejected_input(Writer& writer) const;
  void write_unmatched(Writer& writer) const;
  void write_items(Writer& writer) const;
  void write_evacuations(Writer& writer) const;
  void write_servers(Writer& writer) const;
  void write_proxies(Writer& writer) const;

  ControllerServices services_;
  ControllerContext const& context_;
};

}  // namespace dockbend
