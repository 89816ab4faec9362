// Texts that show the state of an instance.
#pragma once

#include <string>

#include "basilhoist/document/document_table.h"
#include "basilhoist/entry/entry_task.h"
#include "basilhoist/member/member_task.h"
#include "basilhoist/once/once_task.h"
#include "basilhoist/owner/owner_task.h"

namespace basilhoist {

/// The parts whose state is shown.
struct dump_sources {
  const member& self;
  const entry_task& entry;
  const owner_task& owner;
  const once_task& once;
  const member_task& members;
  const document_table& documents;
  bool store_up = false;
  bool ready = false;
  bool stopping = false;
  std::uint64_t store_calls = 0;
};

/// @return health in brief, as JSON
std::string FormatStatus(const dump_sources& from);

/// @return the state of every part, as JSON
std::string FormatDump(const dump_sources& from);

/// @return metrics in the text format of Prometheus
std::string FormatMetrics(const dump_sources& from);

}  // namespace basilhoist
