// Text logs on standard error: spdlog with one named logger for each component.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string>

namespace basilhoist {

/// Options of the log.
struct log_options {
  std::string process;  ///< Name of this process, included in each line.
  bool json = false;    ///< Write each line as a JSON object.
  bool quiet = false;   ///< Log warnings and errors only.
};

/// Configures logging. Call it once, before the first call of LogOf.
void SetUpLogs(const log_options& options);

/// @param part the name of the component, written in each line, e.g. "owner"
/// @return the logger of the component, created at the first call
std::shared_ptr<spdlog::logger> LogOf(const std::string& part);

}  // namespace basilhoist
