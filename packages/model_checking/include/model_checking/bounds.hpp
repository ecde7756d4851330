#pragma once
#include <array>

#include "base/types.hpp"

/// \file
/// How much of everything may happen in one run of a model.

namespace dockbend::model_checking {

/// Each field counts events that may happen; a model ignores the fields of events that it does not have.
struct Bounds {
  u32 nodes = 3;      ///< disks that are members at the beginning
  u32 spares = 0;     ///< empty disks that may join
  u32 proposers = 2;  ///< nodes that propose changes of their own, or holders that claim
  u32 proposals = 2;
  u32 items = 1;  ///< versions of one item; each proposer has a body of its own for each
  u32 joins = 0, leaves = 0;
  u32 swaps = 0;  ///< a member replaced by another disk in one change, or a lease handed over
  u32 restarts = 0;
  u32 wipes = 0;    ///< disks lost and replaced by empty ones
  u32 repeats = 0;  ///< messages that arrive twice, or claims given up
  u32 holds = 0;    ///< answers that wait on their way
  u32 lates = 0;    ///< writes that wait, and the answers that wait for them
  u32 cuts = 0;     ///< links cut, in one direction each
  u32 drops = 0;    ///< messages lost, or rounds given up
  u32 tells = 0;    ///< stored values sent to a peer
  u32 ticks = 0;    ///< seconds of a model's clock
};

/// A field by the name that the command line and traces have for it.
struct BoundsField {
  char const* name;
  u32 Bounds::*at;
};
inline constexpr std::array<BoundsField, 17> kBoundsFields{{{"nodes", &Bounds::nodes},
                                                            {"spares", &Bounds::spares},
                                                            {"proposers", &Bounds::proposers},
                                                            {"proposals", &Bounds::proposals},
                                                            {"items", &Bounds::items},
                                                            {"joins", &Bounds::joins},
                                                            {"leaves", &Bounds::leaves},
                                                            {"swaps", &Bounds::swaps},
                                                            {"restarts", &Bounds::restarts},
                                                            {"wipes", &Bounds::wipes},
                                                            {"repeats", &Bounds::repeats},
                                                            {"holds", &Bounds::holds},
                                                            {"lates", &Bounds::lates},
                                                            {"cuts", &Bounds::cuts},
                                                            {"drops", &Bounds::drops},
                                                            {"tells", &Bounds::tells},
                                                            {"ticks", &Bounds::ticks}}};

}  // namespace dockbend::model_checking
