// dockbend: the operator's command line. It speaks the control API only.
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <getopt.h>

#include <cstdio>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <sstream>

#include "manifest/json.hpp"
#include "stacks/settings.hpp"

using namespace dockbend;
using json::Value;

namespace {

int const rc_ok = 0, rc_failed = 1, rc_usage = 2;

void usage(FILE* f) {
  std::fprintf(f,
               "dockbend: looks at a running system and steers it\n\n"
               "usage: dockbend [--at HOST:PORT] [--json] [--timeout S] COMMAND\n\n"
               "  status                    members, manifest, servers, directory rows\n"
               "  manifest read             the whole manifest, as JSON\n"
               "  manifest amend FILE       sends a change; - reads standard input\n"
               "  evacuation begin ZONE     nothing more goes to the zone's servers\n"
               "  evacuation finish ZONE    takes that back\n"
               "  rollout status            the rollouts under way\n"
               "  rollout pause ID          settles no further stage\n"
               "  rollout resume ID         goes on\n"
               "  rollout abort ID          falls back to the trusted version\n\n"
               "  --at HOST:PORT  a control address (default: the settings' own, then its seeds)\n"
               "  --json          print the answer as JSON\n"
               "  --timeout S     how long to wait for an answer (default 5)\n"
               "  --help          this text\n"
               "  --version       the version\n\n"
               "exit codes: 0 done, 1 not reached or refused, 2 wrong usage\n");
}

struct Got {
  int code = 0;  // 0: not reached
  std::string body;
};

Got call(Addr const& at, evhttp_cmd_type cmd, std::string const& path, std::string const& body, int timeout) {
  event_base* eb = event_base_new();
  evhttp_connection* c = evhttp_connection_base_new(eb, nullptr, at.ip.c_str(), static_cast<ev_uint16_t>(at.port));
  evhttp_connection_set_timeout(c, timeout);
  Got g;
  evhttp_request* r = evhttp_request_new(
      [](evhttp_request* q, void* p) {
        if (q == nullptr || evhttp_request_get_response_code(q) == 0) return;
        Got& out = *static_cast<Got*>(p);
        out.code = evhttp_request_get_response_code(q);
        evbuffer* b = evhttp_request_get_input_buffer(q);
        out.body.resize(evbuffer_get_length(b));
        evbuffer_copyout(b, out.body.data(), out.body.size());
      },
      &g);
  evkeyvalq* h = evhttp_request_get_output_headers(r);
  evhttp_add_header(h, "Host", at.str().c_str());
  evhttp_add_header(h, "Connection", "close");
  evhttp_add_header(h, "Content-Type", "application/json");
  if (!body.empty()) evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
  evhttp_make_request(c, r, cmd, path.c_str());
  event_base_dispatch(eb);
  evhttp_connection_free(c);
  event_base_free(eb);
  return g;
}

std::string text_of(Value const& v) {
  if (v.IsString()) return v.GetString();
  return json::dump(v);
}

// Lists of objects as lines, plain values as `name: value`.
void print_text(Value const& v) {
  for (auto const& m : v.GetObject()) {
    if (!m.value.IsArray()) {
      std::printf("%s: %s\n", m.name.GetString(), text_of(m.value).c_str());
      continue;
    }
    std::printf("%s: %u\n", m.name.GetString(), m.value.Size());
    for (auto const& e : m.value.GetArray()) {
      if (!e.IsObject()) {
        std::printf("  %s\n", text_of(e).c_str());
        continue;
      }
      std::string line;
      for (auto const& f : e.GetObject()) line += "  " + std::string(f.name.GetString()) + "=" + text_of(f.value);
      std::printf("%s\n", line.c_str());
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  static option const opts[] = {{"at", required_argument, nullptr, 'a'},      {"json", no_argument, nullptr, 'j'},
                                {"timeout", required_argument, nullptr, 't'}, {"help", no_argument, nullptr, 'h'},
                                {"version", no_argument, nullptr, 'v'},       {nullptr, 0, nullptr, 0}};
  std::vector<Addr> at;
  bool as_json = false;
  int timeout = 5;
  try {
    for (int o = 0; (o = getopt_long(argc, argv, "a:jt:hv", opts, nullptr)) != -1;) {
      switch (o) {
        case 'a': at.push_back(parse_addr(optarg, "--at")); break;
        case 'j': as_json = true; break;
        case 't': timeout = std::atoi(optarg); break;
        case 'h': usage(stdout); return rc_ok;
        case 'v': std::printf("dockbend 0.1.0\n"); return rc_ok;
        default: usage(stderr); return rc_usage;
      }
    }
  } catch (BadSetting const& e) {
    std::fprintf(stderr, "dockbend: %s\n", e.what());
    return rc_usage;
  }
  if (timeout < 1) {
    std::fprintf(stderr, "dockbend: --timeout: wants a whole number of seconds above 0\n");
    return rc_usage;
  }
  std::vector<std::string> w(argv + optind, argv + argc);
  auto is = [&](std::size_t n, char const* a, char const* b = nullptr) { return w.size() == n && w[0] == a && (b == nullptr || w[1] == b); };

  evhttp_cmd_type cmd = EVHTTP_REQ_POST;
  std::string path, body;
  if (is(1, "status")) {
    cmd = EVHTTP_REQ_GET;
    path = "/-/Status";
  } else if (is(2, "manifest", "read")) {
    cmd = EVHTTP_REQ_GET;
    path = "/-/Config.Read";
    as_json = true;
  } else if (is(3, "manifest", "amend")) {
    path = "/-/Config.Amend";
    if (w[2] == "-") {
      body.assign(std::istreambuf_iterator<char>(std::cin), {});
    } else {
      std::ifstream f(w[2]);
      if (!f) {
        std::fprintf(stderr, "dockbend: can't read %s\n", w[2].c_str());
        return rc_usage;
      }
      body.assign(std::istreambuf_iterator<char>(f), {});
    }
  } else if (is(3, "evacuation", "begin")) {
    path = "/-/Evacuation.Begin/" + w[2];
  } else if (is(3, "evacuation", "finish")) {
    path = "/-/Evacuation.Finish/" + w[2];
  } else if (is(2, "rollout", "status")) {
    cmd = EVHTTP_REQ_GET;
    path = "/-/Rollout.Status";
  } else if (is(3, "rollout", "pause")) {
    path = "/-/Rollout.Pause/" + w[2];
  } else if (is(3, "rollout", "resume")) {
    path = "/-/Rollout.Resume/" + w[2];
  } else if (is(3, "rollout", "abort")) {
    path = "/-/Rollout.Abort/" + w[2];
  } else {
    usage(stderr);
    return rc_usage;
  }
  if (at.empty()) {
    try {
      Settings const st = load_settings(settings_path());
      if (auto const it = st.bind.find("control"); it != st.bind.end()) at.push_back(it->second);
      at.insert(at.end(), st.seeds.begin(), st.seeds.end());
    } catch (BadSetting const& e) {
      std::fprintf(stderr, "dockbend: settings: %s (or give --at)\n", e.what());
      return rc_usage;
    }
  }
  Got g;
  for (Addr const& a : at) {
    g = call(a, cmd, path, body, timeout);
    if (g.code != 0 && g.code < 500) break;
  }
  if (g.code == 0) {
    std::fprintf(stderr, "dockbend: no answer from %s\n", at.empty() ? "anywhere" : at.back().str().c_str());
    return rc_failed;
  }
  if (g.code != 200) {
    std::string why = g.body;
    try {
      rapidjson::Document const d = json::parse(g.body);
      if (auto const it = d.FindMember("fault"); it != d.MemberEnd()) why = text_of(it->value);
    } catch (json::Fault const&) {
    }
    std::fprintf(stderr, "dockbend: refused with %d: %s\n", g.code, why.c_str());
    return rc_failed;
  }
  if (as_json) {
    std::printf("%s\n", g.body.c_str());
    return rc_ok;
  }
  try {
    rapidjson::Document const d = json::parse(g.body);
    if (d.ObjectEmpty())
      std::printf("done\n");
    else
      print_text(d);
  } catch (json::Fault const&) {
    std::printf("%s\n", g.body.c_str());
  }
  return rc_ok;
}
