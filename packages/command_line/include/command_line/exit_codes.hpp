/// \file
/// The exit codes of dockbend. Scripts rely on them.
#pragma once

namespace dockbend::command_line {

inline constexpr int kDone = 0;        ///< done; a preview or plan fits
inline constexpr int kFailed = 1;      ///< no answer, or the call was refused
inline constexpr int kWrongUsage = 2;  ///< the command line is wrong
inline constexpr int kDoesNotFit = 3;  ///< a plan keeps no headroom, a preview overloads something, a comparison is off

}  // namespace dockbend::command_line
