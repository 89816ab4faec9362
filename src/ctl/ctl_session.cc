#include "basilhoist/ctl/ctl_session.h"

#include <utility>

#include "basilhoist/store/plain_dialect.h"

namespace basilhoist {

ctl_session::ctl_session(const ctl_arguments& given)
    : http_(loop_),
      store_(http_, {.address = ArgumentText(given, "--store"),
                     .dialect = MakePlainDialect()}),
      fleet_(loop_, http_, ArgumentText(given, "--instances")) {}

store_answer ctl_session::Get(const std::string& kind,
                              const std::string& name) {
  store_answer got;
  store_.Get(kind, name, [&](call_outcome outcome, const object& found) {
    got = {outcome, found};
    loop_.Stop();
  });
  loop_.Run();
  return got;
}

change_result ctl_session::Make(document_change change,
                                const std::string& document) {
  change.known_version = fleet_.HighestVersion(document);
  change_result result;
  change_task task(loop_, store_, std::move(change),
                   [&](const change_result& ended) {
                     result = ended;
                     loop_.Stop();
                   });
  task.Start();
  loop_.Run();
  return result;
}

}  // namespace basilhoist
