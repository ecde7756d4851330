#include "load_generator/options.hpp"

namespace dockbend {

char const* const kUsageText =
    "dockbend-loadgen: an open-loop load generator for dockbend\n\n"
    "usage: dockbend-loadgen --to HOST:PORT [--to ...] --host NAME --kind KIND [--kind KIND...] [options]\n"
    "       dockbend-loadgen serve --at HOST:PORT [options]\n\n"
    "  --to               a gateway; errands go to those given in turn\n"
    "  --kind NAME:METHOD:PATH:RATE[:BODYBYTES[:keyed[:TOKEN]]]\n"
    "                     errands of one kind, RATE a second; TOKEN is the partner's key\n"
    "  --budget TOKEN=RATE:BURST\n"
    "                     set what a partner got against this budget, over every span\n"
    "  --resolve HOST:PORT  a directory; gateways are those it names, asked once a second\n"
    "  --from ZONE:REGION where the clients are, for the directory; may be repeated\n"
    "  --retries N        further tries after 503, 429 or 421, at another gateway (default 0)\n"
    "  --for S            how long errands arrive (default 10)\n"
    "  --time-left S      what each errand says it will wait (default 2)\n"
    "  --seed N           the same seed draws the same arrivals (default 1)\n"
    "  --json             print the figures as JSON\n\n"
    "  serve              a stand-in server: seals, refuses when full, answers health\n"
    "  --id ID            its id (default stand-in)\n"
    "  --work-ms M        how long an errand takes (default 20)\n"
    "  --upload-ms M      how long one with a body over 100 kB takes (default: as others)\n"
    "  --capacity N       how many at once; as many again may wait (default 4)\n"
    "  --beat HOST:PORT   a control address to beat to\n"
    "  --service S, --zone Z  what the beats say\n\n"
    "  --help, --version\n\n"
    "Times run from when an errand was due. It stops by itself.\n"
    "exit codes: 0 done, 1 nothing was answered or no listening, 2 wrong usage\n";

}  // namespace dockbend
