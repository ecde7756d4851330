/// What proxies report of their traffic when they are asked: the messages of a traffic survey.
#pragma once
#include <string>
#include <vector>

#include "base/record.hpp"
#include "base/types.hpp"
#include "drain/open_work.hpp"
#include "wire/codec.hpp"

namespace dockbend {

/// Asks a proxy for a survey. `held`: only what it has open at `servers` is wanted.
struct SurveyRequest {
  DB_RECORD(SurveyRequest, (u64, id), (bool, held), (std::vector<std::string>, servers));
};

/// Requests a second that arrived for a route, by the service they were sent to and the home regions that bind them
/// (of their route and their tenant; empty: any region). `bulky`: share of them with a large body, 0..1.
struct RouteRate {
  DB_RECORD(RouteRate, (std::string, route, lane), (std::string, pool), (double, rate), (double, bulky),
            (std::vector<std::string>, homes));
};

/// Attempts a second that were sent to servers of a zone.
struct ZoneSendRate {
  DB_RECORD(ZoneSendRate, (std::string, route, lane), (std::string, zone), (double, rate));
};

/// How fast a server answers this proxy: smoothed latency and mean deviation from it, in seconds. `told`: `dev` is
/// stated, and may be 0.
struct ServerLatency {
  DB_RECORD(ServerLatency, (std::string, id), (double, lat), (double, dev), (bool, told));
};

/// How many server responses the proxy discarded since it began, because they did not belong to their request (see
/// ResponseFilter); by cause.
struct DiscardCount {
  DB_RECORD(DiscardCount, (std::string, cause), (u64, n));
};

/// One proxy's answer. `span`: seconds that the rates cover.
struct TrafficSurvey {
  DB_RECORD(TrafficSurvey, (u64, id), (std::string, front), (std::string, zone), (std::string, region), (double, span),
            (std::vector<RouteRate>, routes, lanes), (std::vector<ZoneSendRate>, sent),
            (std::vector<ServerLatency>, speeds), (std::string, node), (std::vector<OpenWork>, held),
            (std::vector<DiscardCount>, dropped));
};

}  // namespace dockbend
