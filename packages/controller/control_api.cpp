#include "controller/control_api.hpp"

#include "controller/api_calls.hpp"

#include <event2/buffer.h>

namespace dockbend {

/// The first route that fits a path is taken. A prefix such as "/-/Config." at the end of its group answers calls that
/// don't exist: 404, or out of contact the same redirect as the group's other calls.
ControlApi::Route const
    ControlApi::
        kRoutes
            [] =
                {
                    {"/-/Servers.Heartbeat/", PathMatch::prefix, Method::post, Contact::not_needed,
                     [](ControlApi& api, Call const& call) { api.heartbeat(call); }},
                    {"/-/Servers.Leave/", PathMatch::prefix, Method::post, Contact::not_needed,
                     [](ControlApi& api, Call const& call) {
                       api.services_.registry.leave(call.rest, call.path, api.responder(call));
                     }},
                    {"/-/Config.Amend", PathMatch::exact, Method::post, Contact::needed,
                     [](ControlApi& api, Call const& call) {
                       api.services_.rollouts.amend_configuration(call.request, call.body);
                     }},
                    {"/-/Config.Read", PathMatch::exact, Method::get, Contact::needed,
                     [](ControlApi& api, Call const& call) { api.read_configuration(call); }},
                    {"/-/Config.", PathMatch::prefix, Method::any, Contact::needed, nullptr},
                    {"/-/Evacuation.Begin/", PathMatch::prefix, Method::post, Contact::needed,
                     [](ControlApi& api, Call const& call) { api.set_evacuation(call, true); }},
                    {"/-/Evacuation.Finish/", PathMatch::prefix, Method::post, Contact::needed,
                     [](ControlApi& api, Call const& call) { api.set_evacuation(call, false); }},
                    {"/-/Evacuation.", PathMatch::prefix, Method::any, Contact::needed, nullptr},
                    {"/-/Rollout.Status", PathMatch::exact, Method::any, Contact::not_needed,
                     [](ControlApi& api, Call const& call) {
                       api.respond(call, {200, api.services_.rollouts.status_json()});
                     }},
                    {"/-/Rollout.Pause/", PathMatch::prefix, Method::post, Contact::needed,
                     [](ControlApi& api, Call const& call) {
                       api.services_.rollouts.command_call(call.request, call.rest, RolloutCommand::pause);
                     }},
                    {"/-/Rollout.Resume/", PathMatch::prefix, Method::post, Contact::needed,
                     [](ControlApi& api, Call const& call) {
                       api.services_.rollouts.command_call(call.request, call.rest, RolloutCommand::resume);
                     }},
                    {"/-/Rollout.Abort/", PathMatch::prefix, Method::post, Contact::needed,
                     [](ControlApi& api, Call const& call) {
                       api.services_.rollouts.command_call(call.request, call.rest, RolloutCommand::abort);
                     }},
                    {"/-/Rollout.", PathMatch::prefix, Method::any, Contact::needed, nullptr},
                    {"/-/Duty.Status", PathMatch::exact, Method::any, Contact::not_needed,
                     [](ControlApi& api, Call const& call) {
                       api.respond(call, {200, api.services_.leases.status_json()});
                     }},
                    {"/-/Duty.HandOver/", PathMatch::prefix, Method::post, Contact::needed,
                     [](ControlApi& api, Call const& call) {
                       api.services_.leases.hand_over_call(call.request, call.rest);
                     }},
                    {"/-/Duty.", PathMatch::prefix, Method::any, Contact::needed, nullptr},
                    {"/-/Allowance.List", PathMatch::exact, Method::any, Contact::needed,
                     [](ControlApi& api, Call const& call) {
                       api.services_.quotas.allowance_call(call.request, "", call.path);
                     }},
                    {"/-/Allowance.Show/", PathMatch::prefix, Method::any, Contact::needed,
                     [](ControlApi& api, Call const& call) {
                       api.services_.quotas.allowance_call(call.request, call.rest, call.path);
                     }},
                    {"/-/Allowance.", PathMatch::prefix, Method::any, Contact::needed, nullptr},
                    {"/-/Drain.", PathMatch::prefix, Method::any, Contact::needed,
                     [](ControlApi& api, Call const& call) {
                       api.services_.drains.call(call.request, call.rest, false, call.method == EVHTTP_REQ_POST,
                                                 call.body);
                     }},
                    {"/-/Rotation.", PathMatch::prefix, Method::any, Contact::needed,
                     [](ControlApi& api, Call const& call) {
                       api.services_.drains.call(call.request, call.rest, true, call.method == EVHTTP_REQ_POST,
                                                 call.body);
                     }},
                    {"/-/Member.List", PathMatch::exact, Method::any, Contact::not_needed,
                     [](ControlApi& api, Call const& call) {
                       api.respond(call, {200, api.services_.membership.list()});
                     }},
                    {"/-/Member.Remove/", PathMatch::prefix, Method::post, Contact::needed,
                     [](ControlApi& api, Call const& call) {
                       api.services_.membership.remove(call.request, call.rest);
                     }},
                    {"/-/Member.Add/", PathMatch::prefix, Method::post, Contact::needed,
                     [](ControlApi& api, Call const& call) { api.services_.membership.add(call.request, call.rest); }},
                    {"/-/Survey", PathMatch::exact, Method::any, Contact::not_needed,
                     [](ControlApi& api, Call const& call) { api.services_.surveys.answer_survey_call(call.request); }},
                    {"/-/Status", PathMatch::exact, Method::any, Contact::not_needed,
                     [](ControlApi& api, Call const& call) {
                       api.respond(call, {200, api.status_.render()});
                     }},
};

void ControlApi::handle(evhttp_request* request) {
  Call call = read_call(request);
  Route const* const route = find_route(call.path);
  if (route == nullptr) return respond(call, error_response(404, "no such call"));
  // A call named Status reports of this controller alone, also where its group needs contact.
  if (route->contact == Contact::needed && !call.path.ends_with(".Status") && !context_.in_contact())
    return respond(call, redirect_to_controller_in_contact(context_, evhttp_request_get_uri(request)));
  if (route->handler == nullptr) return respond(call, error_response(404, "no such call"));
  if (route->method == Method::post && call.method != EVHTTP_REQ_POST)
    return respond(call, error_response(405, "wants POST"));
  if (route->method == Method::get && call.method != EVHTTP_REQ_GET)
    return respond(call, error_response(405, "wants GET"));
  call.rest = call.path.substr(route->path.size());
  route->handler(*this, call);
}

ControlApi::Call ControlApi::read_call(evhttp_request* request) {
  std::string const uri = evhttp_request_get_uri(request);
  evbuffer* const input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, body.data(), body.size());
  return {request, evhttp_request_get_command(request), uri.substr(0, uri.find('?')), "", std::move(body)};
}

ControlApi::Route const* ControlApi::find_route(std::string const& path) {
  for (Route const& route : kRoutes)
    if (route.match == PathMatch::exact ? path == route.path : path.starts_with(route.path)) return &route;
  return nullptr;
}

void ControlApi::respond(Call const& call, ApiResponse const& response) {
  context_.api.write(call.request, response);
}

RegistryService::Respond ControlApi::responder(Call const& call) {
  return [this, request = call.request](ApiResponse const& response) { context_.api.write(request, response); };
}

void ControlApi::heartbeat(Call const& call) {
  schema::Heartbeat heartbeat;
  try {
    heartbeat = json::parse_as<schema::Heartbeat>(call.body);
  } catch (json::Fault const& fault) {
    return respond(call, error_response(400, fault.what()));
  }
  services_.registry.heartbeat(call.rest, heartbeat, call.path, responder(call));
}

void ControlApi::read_configuration(Call const& call) {
  // A round without a change: the value that it finds is committed and not old.
  context_.submit([](ReplicatedState&) { return false; },
                  [this, request = call.request](ReplicatedState const* state) {
                    if (state == nullptr)
                      return context_.api.write(request, error_response(503, "no majority in time"));
                    context_.api.guard(request, [&](evhttp_request* r) {
                      context_.api.write(r, ApiResponse{200, render_read(state->by_key())});
                    });
                  },
                  context_.patience());
}

void ControlApi::set_evacuation(Call const& call, bool is_on) {
  bool const is_known_zone = context_.settings.zones.count(call.rest) > 0;
  run_command(context_, call.request, SetEvacuation(call.rest, is_on, context_.known(), is_known_zone));
}

}  // namespace dockbend
