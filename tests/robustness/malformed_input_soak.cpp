// Spoiled input for longer than the tests take: the same parts, by seed and rounds.
#include <getopt.h>

#include <cstdio>
#include <cstdlib>

#include "support/input_mutation.hpp"

using namespace dockbend::test;

namespace {
void usage(FILE* f) {
  std::fprintf(f,
               "input_soak: gives spoiled input to every parser, and says what was taken and refused\n\n"
               "usage: input_soak [--seed N] [--rounds N]\n\n"
               "  --seed N    of the first round, 1 to 1000000000 (default 1)\n"
               "  --rounds N  1 to 1000000 (default 10); a round takes about a second\n"
               "  --help      this text\n\n"
               "Prints a JSON object a line, one for each part. Exit codes: 0 no fault, 1 faults, 2 wrong usage\n");
}
bool whole(char const* s, std::uint64_t most, std::uint64_t& x) {
  char* end = nullptr;
  x = std::strtoull(s, &end, 10);
  return *s >= '0' && *s <= '9' && *end == '\0' && x >= 1 && x <= most;
}
}  // namespace

int main(int argc, char** argv) {
  static option const opts[] = {{"seed", required_argument, nullptr, 's'},
                                {"rounds", required_argument, nullptr, 'r'},
                                {"help", no_argument, nullptr, 'h'},
                                {nullptr, 0, nullptr, 0}};
  std::uint64_t seed = 1, rounds = 10;
  for (int o = 0; (o = getopt_long(argc, argv, "", opts, nullptr)) != -1;) {
    if (o == 'h') {
      usage(stdout);
      return 0;
    }
    if (!(o == 's' && whole(optarg, 1000000000, seed)) && !(o == 'r' && whole(optarg, 1000000, rounds))) {
      usage(stderr);
      return 2;
    }
  }
  if (optind < argc) {
    usage(stderr);
    return 2;
  }
  struct Part {
    char const* name;
    Outcomes (*run)(std::uint64_t, std::uint64_t);
    std::uint64_t n;
  };
  bool bad = false;
  for (Part const& p : {Part{"records", records, 200}, Part{"frames", frames, 2000}, Part{"amends", amends, 6000},
                        Part{"settings", settings, 8000}, Part{"heads", heads, 100000}, Part{"votes", votes, 5000}}) {
    Outcomes all;
    for (std::uint64_t i = 0; i < rounds; ++i) {
      Outcomes const o = p.run(seed + i, p.n);
      all.cases += o.cases;
      all.taken += o.taken;
      all.refused += o.refused;
      for (std::string const& f : o.faults) {
        if (all.faults.size() < 20)
          std::fprintf(stderr, "input_soak: %s, seed %llu: %s\n", p.name, static_cast<unsigned long long>(seed + i),
                       f.c_str());
        all.error_response(f);
      }
    }
    bad = bad || !all.faults.empty();
    std::printf("{\"part\":\"%s\",\"cases\":%llu,\"taken\":%llu,\"refused\":%llu,\"faults\":%zu}\n", p.name,
                static_cast<unsigned long long>(all.cases), static_cast<unsigned long long>(all.taken),
                static_cast<unsigned long long>(all.refused), all.faults.size());
    std::fflush(stdout);
  }
  return bad ? 1 : 0;
}
