#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "basilhoist/ctl/commands.h"
#include "basilhoist/ctl/ctl_session.h"
#include "basilhoist/document/document_table.h"
#include "basilhoist/instance/drains.h"
#include "basilhoist/settings/site_settings.h"
#include "merged_settings.h"

namespace basilhoist {

using internal::ReadMerged;
using nlohmann::json;

namespace {

int ExitCodeOf(change_outcome outcome) {
  switch (outcome) {
    case change_outcome::kAccepted:
      return EXIT_SUCCESS;
    case change_outcome::kRefused:
      return kExitRefused;
    case change_outcome::kOutrun:
      return kExitOutrun;
    case change_outcome::kNotKnown:
      return kExitNotKnown;
    case change_outcome::kFailed:
      return kExitFailed;
  }
  return kExitFailed;
}

std::string MakeOperationId() {
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device();
  return text.str();
}

int Report(ctl_session& calls, const ctl_arguments& given,
           const std::string& document, const std::string& operation,
           const change_result& result) {
  const auto wait = std::stod(ArgumentText(given, "--wait-s"));
  std::vector<std::string> lagging;
  const bool accepted = result.outcome == change_outcome::kAccepted;
  if (accepted) calls.Fleet().Offer(document, result.content);
  if (accepted && wait > 0) {
    lagging = calls.Fleet().WaitForVersion(
        document, result.version,
        microseconds(static_cast<std::int64_t>(wait * 1e6)));
  }
  if (given.at("--json").asBool()) {
    std::cout << json{{"outcome", Name(result.outcome)},
                      {"document", document},
                      {"version", result.version},
                      {"operation", operation},
                      {"detail", result.detail},
                      {"not_in_force_on", lagging}}
                     .dump()
              << "\n";
  } else {
    std::cout << document << " version " << result.version << ": "
              << Name(result.outcome) << " (operation " << operation << ") "
              << result.detail << "\n";
    for (const auto& each : lagging) {
      std::cout << "not in force yet on " << each << "\n";
    }
  }
  return ExitCodeOf(result.outcome);
}

// A drain is a set: two operators' drains are merged, and no change of the
// settings touches them.
next_content ChangeDrains(const std::string& present, std::uint64_t version,
                          const std::string& operation, const drain& which,
                          bool out) {
  drain_list list;
  if (!present.empty()) {
    const bool read = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_ASSIGN(list, ParseDrains(present));
          return true;
        },
        [] { return false; });
    if (!read) return {.possible = false, .detail = "drains cannot be read"};
  }
  if (!out && !list.drains.contains(which)) {
    return {.possible = false, .detail = which.name + " is not drained."};
  }
  if (out) {
    list.drains.insert(which);
  } else {
    list.drains.erase(which);
  }
  list.version = version;
  list.operation_id = operation;
  return {.content = FormatDrains(list)};
}

// A name that the accepted settings do not know is a slip, and is refused.
std::string FindNameFault(const std::string& accepted, const drain& which) {
  const json value = json::parse(accepted, nullptr, false);
  if (!value.is_object() || !value.contains("value")) return {};
  std::string fault;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(source,
                        ParseJsonSource(value["value"].dump(), "accepted"));
        BOOST_LEAF_AUTO(settings, CheckSettings(source));
        const auto& domains = settings.failure_domains;
        const bool known = which.kind == drain_kind::kFailureDomain
                               ? std::find(domains.begin(), domains.end(),
                                           which.name) != domains.end()
                               : IndexServers(settings).contains(which.name);
        if (!known) fault = "The accepted settings name no " + which.name + ".";
        return {};
      },
      [] {});
  return fault;
}

}  // namespace

leaf::result<int> ApplyCommand(const ctl_arguments& given) {
  const auto overlays = given.at("OVERLAY").asStringList();
  BOOST_LEAF_AUTO(merged,
                  ReadMerged(ArgumentText(given, "BASE"), overlays.front()));
  BOOST_LEAF_AUTO(settings, CheckSettings(merged));
  const std::string operation = ArgumentText(given, "--operation").empty()
                                    ? MakeOperationId()
                                    : ArgumentText(given, "--operation");
  const std::string based_on = ArgumentText(given, "--based-on");
  ctl_session calls(given);
  document_change change{
      .kind = DocumentKind(settings.site),
      .name = kConfigDocument,
      .operation_id = operation,
      .based_on = based_on.empty() ? 0 : std::stoull(based_on)};
  change.make = [&](const std::string&, std::uint64_t version) {
    return next_content{.content = json{{"version", version},
                                        {"operation_id", operation},
                                        {"value", merged.value}}
                                       .dump()};
  };
  const auto result = calls.Make(change, kConfigDocument);
  return Report(calls, given, kConfigDocument, operation, result);
}

leaf::result<int> DrainCommand(const ctl_arguments& given) {
  const std::string site = ArgumentText(given, "--site");
  const drain which{given.at("domain").asBool() ? drain_kind::kFailureDomain
                                                : drain_kind::kBackendServer,
                    ArgumentText(given, "NAME")};
  const bool out = given.at("drain").asBool();
  const std::string operation = ArgumentText(given, "--operation").empty()
                                    ? MakeOperationId()
                                    : ArgumentText(given, "--operation");
  ctl_session calls(given);
  const auto accepted = calls.Get(DocumentKind(site), kConfigDocument);
  if (accepted.outcome == call_outcome::kOk) {
    const std::string fault = FindNameFault(accepted.found.Text(), which);
    if (!fault.empty()) {
      return Report(calls, given, kDrainsDocument, operation,
                    {change_outcome::kRefused, 0, fault});
    }
  }
  document_change change{.kind = DocumentKind(site),
                         .name = kDrainsDocument,
                         .operation_id = operation,
                         .mergeable = true};
  change.make = [&](const std::string& present, std::uint64_t version) {
    return ChangeDrains(present, version, operation, which, out);
  };
  const auto result = calls.Make(change, kDrainsDocument);
  return Report(calls, given, kDrainsDocument, operation, result);
}

}  // namespace basilhoist
