// The commands of the operators' tool.
#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>
#include <vector>

#include "basilhoist/base/error.h"

namespace basilhoist {

using ctl_arguments = std::map<std::string, docopt::value>;

/// Exit codes of the tool; 0 is done.
enum ctl_exit_code : int {
  kExitRefused = 1,   ///< Refused, with the faults.
  kExitUsage = 2,     ///< Wrong usage.
  kExitOutrun = 3,    ///< Another change came first.
  kExitNotKnown = 4,  ///< Not known yet; ask again.
  kExitFailed = 5,    ///< Failed; nothing was done.
};

/// @return the argument's text, or empty where it was not given
std::string ArgumentText(const ctl_arguments& given, const char* name);

/// Prints faults as lines or as JSON.
/// @return kExitRefused
int PrintFaults(const std::vector<fault>& faults, bool as_json);

/// Each command returns the exit code.
leaf::result<int> CheckCommand(const ctl_arguments& given);
leaf::result<int> ExplainCommand(const ctl_arguments& given);
/// Explains a request at a router; ExplainCommand with --instance.
leaf::result<int> ExplainRequestCommand(const ctl_arguments& given);
leaf::result<int> DiffCommand(const ctl_arguments& given);
leaf::result<int> ApplyCommand(const ctl_arguments& given);
leaf::result<int> DrainCommand(const ctl_arguments& given);
leaf::result<int> StatusCommand(const ctl_arguments& given);
leaf::result<int> DumpCommand(const ctl_arguments& given);
leaf::result<int> RolloutsCommand(const ctl_arguments& given);

}  // namespace basilhoist
