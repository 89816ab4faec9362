#include "basilhoist/ops/log.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <nlohmann/json.hpp>

namespace basilhoist {
namespace {

// Formats the message as a JSON string: escapes special characters and replaces
// invalid UTF-8.
class json_text_flag : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message, const std::tm&,
              spdlog::memory_buf_t& out) override {
    const std::string text(message.payload.begin(), message.payload.end());
    const std::string quoted = nlohmann::json(text).dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
    out.append(quoted.data(), quoted.data() + quoted.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override {
    return std::make_unique<json_text_flag>();
  }
};

std::shared_ptr<spdlog::sinks::sink> sink;

}  // namespace

void SetUpLogs(const log_options& options) {
  sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  auto formatter = std::make_unique<spdlog::pattern_formatter>();
  formatter->add_flag<json_text_flag>('*');
  if (options.json) {
    formatter->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e","level":"%l",)"
                           R"("process":")" +
                           options.process + R"(","part":"%n","text":%*})");
  } else {
    formatter->set_pattern("%H:%M:%S.%e " + options.process + " [%n] %l: %v");
  }
  // initialize_logger gives each logger the registry's formatter, so the
  // formatter is set there and not on the sink.
  spdlog::set_formatter(std::move(formatter));
  spdlog::set_level(options.quiet ? spdlog::level::warn : spdlog::level::info);
}

std::shared_ptr<spdlog::logger> LogOf(const std::string& part) {
  if (auto known = spdlog::get(part)) return known;
  if (!sink) SetUpLogs({.process = "basilhoist"});
  auto logger = std::make_shared<spdlog::logger>(part, sink);
  spdlog::initialize_logger(logger);
  return logger;
}

}  // namespace basilhoist
