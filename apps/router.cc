// basilhoist-router: runs one router with the platform binding in platform/.
#include "basilhoist/router/router.h"

#include <docopt/docopt.h>
#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <optional>

#include "basilhoist/loop/event_loop.h"
#include "basilhoist/ops/event_line.h"
#include "platform/binding.h"
#include "platform/node_settings.h"

namespace {

constexpr const char* kUsage = R"(basilhoist-router: runs one router process.

Usage:
  basilhoist-router [--settings=FILE] [--check] [--log-lines=N]
  basilhoist-router (-h | --help)

Options:
  --settings=FILE  Settings file; by default the one that the platform names
                   in the environment.
  --check          Check the settings file and exit.
  --log-lines=N    Maximum number of log lines per second [default: 200].
  -h --help        Show this help.
)";

// Interval at which the settings file is checked for changes, which may be made
// without a signal to the process.
constexpr basilhoist::milliseconds kSettingsPollInterval{1000};

// Reads the settings file; prints errors to stderr.
std::optional<basilhoist::router_settings> LoadSettings(
    const std::string& path) {
  using basilhoist::fault_list;
  namespace leaf = basilhoist::leaf;
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<basilhoist::router_settings>> {
        BOOST_LEAF_AUTO(settings, basilhoist::platform::ReadSettings(path));
        return std::optional(settings);
      },
      [](const fault_list& errors)
          -> std::optional<basilhoist::router_settings> {
        for (const auto& error : errors.faults) {
          std::cerr << "basilhoist-router: " << basilhoist::Format(error)
                    << "\n";
        }
        return std::nullopt;
      },
      []() -> std::optional<basilhoist::router_settings> {
        std::cerr << "basilhoist-router: cannot read the settings file\n";
        return std::nullopt;
      });
}

// Reloads the settings when their file changes or a signal asks for it.
class settings_watcher {
 public:
  settings_watcher(basilhoist::router& target, std::string path)
      : target_(target),
        path_(std::move(path)),
        last_modified_(LastModified()) {}

  void Poll() {
    const auto modified = LastModified();
    if (modified == last_modified_) return;
    last_modified_ = modified;
    Reload();
  }

  // Applies the settings in the file; keeps the current ones if the file is
  // invalid.
  void Reload() {
    if (const auto settings = LoadSettings(path_)) {
      target_.Reload(*settings);
    } else {
      basilhoist::event_line("router", "settings_refused").With("file", path_);
    }
  }

 private:
  [[nodiscard]] std::filesystem::file_time_type LastModified() const {
    // A file that is being replaced may be missing; the next poll sees it.
    std::error_code ignored;
    return std::filesystem::last_write_time(path_, ignored);
  }

  basilhoist::router& target_;
  std::string path_;
  std::filesystem::file_time_type last_modified_;
};

// Buffers of this size and above return their memory to the system as soon as
// they are freed. By default glibc raises the size with the first such buffer
// that is freed, and keeps the memory of bodies and replies between the small
// blocks that are in use.
constexpr int kMappedBytes = 64 << 10;

long ParseLogLines(const docopt::value& argument) {
  try {
    return argument.asLong();
  } catch (const std::exception&) {
    std::cerr << "basilhoist-router: --log-lines must be a number\n";
    std::exit(EXIT_FAILURE);
  }
}

}  // namespace

int main(int argc, char** argv) {
  // Until the event loop handles SIGHUP, its default action would terminate the
  // process. No reload is lost: the file is read below and watched afterwards.
  std::signal(SIGHUP, SIG_IGN);
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true,
                                        "basilhoist-router");
  const std::string path = arguments.at("--settings").isString()
                               ? arguments.at("--settings").asString()
                               : basilhoist::platform::SettingsPath();
  const auto settings = LoadSettings(path);
  if (!settings) return EXIT_FAILURE;
  if (arguments.at("--check").asBool()) return EXIT_SUCCESS;
  basilhoist::SetUpEvents(
      settings->name,
      static_cast<unsigned>(ParseLogLines(arguments.at("--log-lines"))));
  basilhoist::event_loop loop;
  basilhoist::router router(loop, *settings,
                            basilhoist::platform::MakeBinding());
  // Handlers are installed before the start, so that a signal during the start
  // does not terminate the process.
  settings_watcher watcher(router, path);
  loop.OnTerminate([&router] { router.Stop(); });
  loop.OnReload([&watcher] { watcher.Reload(); });
  if (!router.Start()) return EXIT_FAILURE;
  loop.Every(kSettingsPollInterval, [&watcher] { watcher.Poll(); });
  loop.Run();
  return EXIT_SUCCESS;
}
