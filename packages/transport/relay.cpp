#include "transport/relay.hpp"

#include "transport/periodic_timer.hpp"

namespace dockbend {
namespace {
constexpr Seconds kClientSilenceBound = 3.0;
constexpr Seconds kControllerSilenceBound = 1.5;
constexpr Seconds kRequestTimeout = 2.0;  // for the client to name a controller
constexpr Seconds kConnectTimeout = 2.5;  // for the controller to be connected, from the client's connecting on
constexpr Seconds kPingInterval = 0.5;

// Passes what comes to a connection that may be gone by then.
sigc::slot<void(Connection&, Message const&)> forward_to(std::weak_ptr<Connection> target) {
  return [target = std::move(target)](Connection&, Message const& message) {
    if (auto const connection = target.lock()) connection->send(message.kind, message.tag, message.body);
  };
}
}  // namespace

bool Relay::Pipe::is_dead(Seconds now) const {
  if (now - client->heard() > kClientSilenceBound) return true;
  if (!controller) return now - since > kRequestTimeout;
  return controller->up() ? now - controller->heard() > kControllerSilenceBound : now - since > kConnectTimeout;
}

Relay::Relay(event_base* loop, Address const& at, u32 port, std::function<bool(std::string const&)> is_known)
    : loop_(loop), port_(port), is_known_(std::move(is_known)), listener_(loop, at) {
  listener_.on_channel.connect([this](ConnectionPtr const& client) { accept(client); });
}

void Relay::accept(ConnectionPtr const& client) {
  u64 const id = client->id();
  pipes_[id] = Pipe{client, nullptr, steady_now()};
  client->on_message.connect([this, id](Connection&, Message const& message) { on_client_message(id, message); });
  client->on_down.connect([this, id](Connection&) { close_later(id); });
}

void Relay::on_client_message(u64 id, Message const& message) {
  auto const found = pipes_.find(id);
  if (found == pipes_.end()) return;
  Pipe& pipe = found->second;
  if (pipe.controller) {
    pipe.controller->send(message.kind, message.tag, message.body);
    return;
  }
  if (message.kind != MessageType::relay_request) return close_later(id);
  std::string const ip = message.as<RelayRequest>().ip;
  if (!is_known_(ip)) return close_later(id);
  dial_controller(id, pipe, ip);
}

void Relay::dial_controller(u64 id, Pipe& pipe, std::string const& ip) {
  std::weak_ptr<Connection> const client = pipe.client;
  pipe.controller = Connection::dial(loop_, Address{ip, port_});
  pipe.controller->on_up.connect([client](Connection&) {
    RelayResponse response;
    response.ok = true;
    if (auto const connection = client.lock()) connection->send(MessageType::relay_response, 0, response);
  });
  pipe.controller->on_message.connect(forward_to(client));
  pipe.controller->on_down.connect([this, id](Connection&) { close_later(id); });
}

// From the loop: the caller may be a callback of one of the two connections, or walk the pipes.
void Relay::close_later(u64 id) {
  after(loop_, 0, [this, id] {
    auto const found = pipes_.find(id);
    if (found == pipes_.end()) return;
    found->second.client->close();
    if (found->second.controller) found->second.controller->close();
    pipes_.erase(found);
  });
}

void Relay::tick(Seconds now) {
  for (auto& [id, pipe] : pipes_) {
    if (pipe.is_dead(now))
      close_later(id);
    else if (pipe.controller && pipe.controller->up() && now - pipe.controller->sent() > kPingInterval)
      pipe.controller->send(MessageType::ping, 0, std::string_view());
  }
}

}  // namespace dockbend
