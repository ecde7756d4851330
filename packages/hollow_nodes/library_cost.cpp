#include "hollow_nodes/library_cost.hpp"

#include <cstdio>
#include <memory>
#include <utility>
#include <vector>

#include "configuration/configuration.hpp"
#include "consensus/acceptor.hpp"
#include "hollow_nodes/process_usage.hpp"
#include "load_balancing/load_balancer.hpp"
#include "transport/message.hpp"

namespace dockbend {
namespace {

int constexpr kChooseRounds = 2000, kFindRounds = 20000;
long constexpr kRoutesPerHost = 50;
double constexpr kMicrosecondsPerSecond = 1e6;

void add_items(std::vector<ConfigItem>& items, std::string const& amendment) {
  std::vector<ConfigItem> const added = read_amend(amendment).items;
  items.insert(items.end(), added.begin(), added.end());
}

std::string route_amendment(long index) {
  std::string const number = std::to_string(index);
  return "{\"upsert\":{\"sockets\":[{\"host\":\"h" + std::to_string(index / kRoutesPerHost) +
         ".example\",\"policy\":[{\"name\":\"r-" + number +
         "\",\"kind\":\"idempotent\",\"setpointS\":0.3,\"rank\":2,\"generation\":\"00000001\",\"selector\":{"
         "\"pathPrefix\":\"/p" +
         number + "/\"},\"actuation\":{\"service\":\"p\",\"deadlineS\":1.2,\"maxTries\":2,\"homeRegions\":[]}}]}]}}";
}

std::string tenant_amendment(long index) {
  std::string const number = std::to_string(index);
  return "{\"upsert\":{\"customers\":[{\"name\":\"tenant-" + number + "\",\"keys\":[\"key-0123456789-" + number +
         "\"],\"rank\":1,\"generation\":\"00000001\"}]}}";
}

std::vector<ConfigItem> make_items(LibraryOptions const& options) {
  std::vector<ConfigItem> items =
      read_amend(
          R"({"upsert":{"pools":[{"name":"p","healthPath":"/h","connLimit":100,"protocol":"h1","tlsMode":false,"selfDedupes":false,"coldS":3,"coldRateS":9,"generation":"00000001"}]}})")
          .items;
  for (long index = 0; index < options.routes; ++index)
    add_items(items, route_amendment(index));
  for (long index = 0; index < options.tenants; ++index)
    add_items(items, tenant_amendment(index));
  return items;
}

std::vector<LoadBalancer::ServerUpdate> make_servers(long count) {
  std::vector<LoadBalancer::ServerUpdate> servers;
  for (long index = 0; index < count; ++index) {
    LoadBalancer::ServerUpdate server;
    server.id = "i-" + std::to_string(1000000 + index);
    server.service = "p";
    server.address = "10.128.0.9:8080";
    server.zone = "desk";
    server.capacity = 4;
    server.ready = true;
    servers.push_back(std::move(server));
  }
  return servers;
}

/// Takes the measurements one after the other. What was measured stays until the end: freed memory that the allocator
/// hands out again would make the next figure smaller.
class LibraryMeasurement {
 public:
  explicit LibraryMeasurement(LibraryOptions const& options) : options_(options), items_(make_items(options)) {}

  LibraryCost run() {
    measure_state();
    measure_configuration();
    measure_balancer();
    measure_calls();
    cost_.changes = measure_change_costs(std::move(items_));
    return cost_;
  }

 private:
  void measure_state() {
    double const before = heap_bytes();
    state_.items = items_;
    packed_ = codec::pack(state_);
    cost_.state_bytes = packed_.size();
    cost_.deflated_bytes = encode_message(MessageType::state_update, packed_).body().size();
    cost_.state_heap_bytes = heap_bytes() - before - static_cast<double>(packed_.size());
  }

  void measure_configuration() {
    double const before = heap_bytes();
    configuration_ = std::make_unique<CompiledConfiguration>(CompiledConfiguration::from(items_));
    cost_.configuration_heap_bytes = heap_bytes() - before;
  }

  void measure_balancer() {
    servers_ = make_servers(options_.servers);
    settings_ = parse_settings("ip=10.0.0.1\nzone=desk\ninnerPorts=7000,7010\nzones.desk=desk\n");
    double const before = heap_bytes();
    balancer_ = std::make_unique<LoadBalancer>(settings_);
    balancer_->replace_servers(servers_, 0);
    balancer_->set_proxy_counts({{"desk", 20}});
    cost_.balancer_heap_bytes = heap_bytes() - before;
  }

  void measure_calls() {
    EndpointQuery query;
    query.service = balancer_->service_index("p");
    Seconds const choose_start = own_processor_time();
    for (int round = 0; round < kChooseRounds; ++round)
      cost_.hits += balancer_->choose(query, 1 + round * 0.001).server ? 1 : 0;
    Seconds const find_start = own_processor_time();
    for (int round = 0; round < kFindRounds; ++round)
      cost_.hits += configuration_->find("h0.example", "/p1/x") ? 1 : 0;
    Seconds const end = own_processor_time();
    cost_.choose_time = (find_start - choose_start) / kChooseRounds;
    cost_.find_time = (end - find_start) / kFindRounds;
  }

  LibraryOptions options_;
  LibraryCost cost_;
  std::vector<ConfigItem> items_;
  ReplicatedState state_;
  std::string packed_;
  std::unique_ptr<CompiledConfiguration> configuration_;
  std::vector<LoadBalancer::ServerUpdate> servers_;
  Settings settings_;
  std::unique_ptr<LoadBalancer> balancer_;
};

}  // namespace

LibraryCost measure_library_cost(LibraryOptions const& options) {
  return LibraryMeasurement(options).run();
}

std::string render_as_json(LibraryOptions const& options, LibraryCost const& cost) {
  ChangeCost const& change = cost.changes.item_change;
  ChangeCost const& renewal = cost.changes.lease_renewal;
  char text[1024];  // beyond the members and twenty digits for each
  std::snprintf(
      text, sizeof text,
      "{\"lanes\":%ld,\"tenants\":%ld,\"servers\":%ld,\"viewBytes\":%zu,\"deflatedBytes\":%zu,\"viewHeapBytes\":%.0f,"
      "\"compiledHeapBytes\":%.0f,\"tableHeapBytes\":%.0f,\"chooseUs\":%.2f,\"findUs\":%.3f,\"hits\":%zu,"
      "\"changeSentBytes\":%.0f,\"changeDiskBytes\":%.0f,\"renewalSentBytes\":%.0f,\"renewalDiskBytes\":%.0f,"
      "\"valueHeapBytes\":%.0f,\"roundHeapBytes\":%.0f}\n",
      options.routes, options.tenants, options.servers, cost.state_bytes, cost.deflated_bytes, cost.state_heap_bytes,
      cost.configuration_heap_bytes, cost.balancer_heap_bytes, cost.choose_time * kMicrosecondsPerSecond,
      cost.find_time * kMicrosecondsPerSecond, cost.hits, change.sent_bytes, change.disk_bytes, renewal.sent_bytes,
      renewal.disk_bytes, change.value_heap_bytes, change.round_heap_bytes);
  return text;
}

}  // namespace dockbend
