// Logs: spdlog with a fixed prefix for each part.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string>

namespace basilhoist {

/// How log lines are written.
struct log_options {
  std::string process;  ///< Name of this process, in each line.
  bool json = false;    ///< One JSON object a line.
  bool quiet = false;   ///< Warnings and errors only.
};

/// Sets logging up; called once, before the first logger is made.
void SetUpLogs(const log_options& options);

/// @param part the part's fixed prefix, e.g. "owner"
/// @return the part's logger
std::shared_ptr<spdlog::logger> LogOf(const std::string& part);

}  // namespace basilhoist
