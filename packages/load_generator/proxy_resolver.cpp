#include "load_generator/proxy_resolver.hpp"

#include <event2/buffer.h>

#include <utility>

#include "configuration/json.hpp"
#include "configuration/schema.hpp"

namespace dockbend {
namespace {
Seconds constexpr kResolvePeriod = 1;
}

ProxyResolver::ProxyResolver(event_base* loop, LoadOptions const& options, ProxyHandler on_proxy)
    : host_(options.host),
      directories_(options.directories),
      places_(options.places),
      on_proxy_(std::move(on_proxy)),
      requests_(loop),
      timer_(loop, kResolvePeriod, [this] { resolve(); }) {
  resolve();
}

void ProxyResolver::resolve() {
  for (ClientPlace const& place : places_) {
    Address const& directory = directories_[asked_++ % directories_.size()];
    std::string const path = "/-/resolve?name=" + host_ + "&region=" + place.region + "&zone=" + place.zone;
    requests_.send(directory, {EVHTTP_REQ_GET, path, ""}, [this](evhttp_request* answer) { on_answer(answer); });
  }
}

void ProxyResolver::on_answer(evhttp_request* answer) const {
  if (answer == nullptr || evhttp_request_get_response_code(answer) != HTTP_OK) return;
  evbuffer* const buffer = evhttp_request_get_input_buffer(answer);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  try {
    auto const response = json::parse_as<schema::ResolveResponse>(body);
    for (std::string const& address : response.addresses)
      on_proxy_(parse_addr(address, "addresses"));
  } catch (std::exception const&) {
    // An answer that can't be read names no further proxy; the next question comes in a second.
  }
}

}  // namespace dockbend
