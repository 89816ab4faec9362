// basilhoist-router: one router process on the users' platform.
#include "basilhoist/router/router.h"

#include <docopt/docopt.h>

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

constexpr const char* kUsage = R"(basilhoist-router: one router process.

Usage:
  basilhoist-router [--settings=FILE] [--check] [--log-lines=N]
  basilhoist-router (-h | --help)

Options:
  --settings=FILE  Settings file; by default the one that the platform names
                   in the environment.
  --check          Checks the settings file and ends.
  --log-lines=N    Log lines written in a second at most [default: 200].
  -h --help        Shows this.
)";

// The settings file may change without a signal.
constexpr basilhoist::milliseconds kSettingsPoll{1000};

std::optional<basilhoist::router_settings> Load(const std::string& path) {
  using basilhoist::fault_list;
  namespace leaf = basilhoist::leaf;
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<basilhoist::router_settings>> {
        BOOST_LEAF_AUTO(settings, basilhoist::platform::ReadSettings(path));
        return std::optional(settings);
      },
      [](const fault_list& found)
          -> std::optional<basilhoist::router_settings> {
        for (const auto& each : found.faults) {
          std::cerr << "basilhoist-router: " << basilhoist::Format(each)
                    << "\n";
        }
        return std::nullopt;
      },
      []() -> std::optional<basilhoist::router_settings> {
        std::cerr << "basilhoist-router: the settings cannot be read\n";
        return std::nullopt;
      });
}

class settings_watch {
 public:
  settings_watch(basilhoist::router& target, std::string path)
      : target_(target), path_(std::move(path)), seen_(Stamp()) {}

  void Poll() {
    const auto stamp = Stamp();
    if (stamp == seen_) return;
    seen_ = stamp;
    Reload();
  }

  // Keeps the settings in force where the new ones are not valid.
  void Reload() {
    if (const auto settings = Load(path_)) {
      target_.Reload(*settings);
    } else {
      basilhoist::event_line("router", "settings_refused").With("file", path_);
    }
  }

 private:
  [[nodiscard]] std::filesystem::file_time_type Stamp() const {
    std::error_code ignored;  // A file that is being replaced is read later.
    return std::filesystem::last_write_time(path_, ignored);
  }

  basilhoist::router& target_;
  std::string path_;
  std::filesystem::file_time_type seen_;
};

long LogLines(const docopt::value& given) {
  try {
    return given.asLong();
  } catch (const std::exception&) {
    std::cerr << "basilhoist-router: --log-lines takes a number\n";
    std::exit(EXIT_FAILURE);
  }
}

}  // namespace

int main(int argc, char** argv) {
  // The file is read and watched anyway; until the loop takes the signal, it
  // would end the process.
  std::signal(SIGHUP, SIG_IGN);
  const auto given = docopt::docopt(kUsage, {argv + 1, argv + argc}, true,
                                    "basilhoist-router");
  const std::string path = given.at("--settings").isString()
                               ? given.at("--settings").asString()
                               : basilhoist::platform::SettingsPath();
  const auto settings = Load(path);
  if (!settings) return EXIT_FAILURE;
  if (given.at("--check").asBool()) return EXIT_SUCCESS;
  basilhoist::SetUpEvents(
      settings->name, static_cast<unsigned>(LogLines(given.at("--log-lines"))));
  basilhoist::event_loop loop;
  basilhoist::router router(loop, *settings,
                            basilhoist::platform::MakeBinding());
  // Before the start, so that a signal that comes with it ends nothing.
  settings_watch watch(router, path);
  loop.OnTerminate([&router] { router.Stop(); });
  loop.OnReload([&watch] { watch.Reload(); });
  if (!router.Start()) return EXIT_FAILURE;
  loop.Every(kSettingsPoll, [&watch] { watch.Poll(); });
  loop.Run();
  return EXIT_SUCCESS;
}
