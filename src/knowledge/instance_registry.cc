#include "basilhoist/knowledge/instance_registry.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "basilhoist/ops/event_line.h"

namespace basilhoist {

instance_registry::instance_registry(event_loop& loop, object_store& store,
                                     options the_options, handlers callbacks)
    : loop_(loop),
      store_(store),
      options_(std::move(the_options)),
      callbacks_(std::move(callbacks)) {}

object instance_registry::OwnRegistration() const {
  return {
      .name = options_.name,
      .content = nlohmann::json{{"peer_address", Format(options_.address)}}};
}

// An object of the same name is replaced.
void instance_registry::Write(write_method method) {
  const auto done = [this, method](call_outcome outcome, const object&) {
    if (outcome == call_outcome::kOk) {
      List(false);
    } else if (outcome == call_outcome::kConflict &&
               method == write_method::kCreate) {
      Write(write_method::kReplace);
    } else {
      event_line("knowledge", "register_failed").With("outcome", Name(outcome));
      loop_.After(kRetryDelay, [this] { Register(); });
    }
  };
  if (method == write_method::kReplace) {
    store_.Replace(options_.kind, OwnRegistration(), done);
  } else {
    store_.Create(options_.kind, OwnRegistration(), done);
  }
}

// A registration that the copy still has needs no other call.
void instance_registry::Restore() {
  store_.Create(options_.kind, OwnRegistration(),
                [this](call_outcome outcome, const object&) {
                  if (outcome == call_outcome::kOk ||
                      outcome == call_outcome::kConflict) {
                    return;
                  }
                  event_line("knowledge", "register_failed")
                      .With("outcome", Name(outcome));
                  loop_.After(kRetryDelay, [this] { Restore(); });
                });
}

void instance_registry::ListPage(const std::string& after, bool may_be_stale) {
  store_.List(options_.kind, {.after = after, .may_be_stale = may_be_stale},
              [this, after, may_be_stale](call_outcome outcome,
                                          const object_page& page) {
                if (outcome != call_outcome::kOk) {
                  // The listing at the start is not retried: seeds and other
                  // readers serve as contacts instead.
                  if (may_be_stale) return;
                  loop_.After(kRetryDelay,
                              [this, after] { ListPage(after, false); });
                  return;
                }
                ProcessPage(page);
                if (page.has_more && !page.objects.empty()) {
                  ListPage(page.objects.back().name, may_be_stale);
                }
              });
}

void instance_registry::ProcessPage(const object_page& page) const {
  for (const object& instance : page.objects) {
    if (instance.name == options_.name) continue;
    const endpoint address =
        ParseEndpoint(TextField(instance.content, "peer_address"));
    if (address.port == 0) {
      event_line("knowledge", "instance_unreadable")
          .With("name", instance.name);
    }
    callbacks_.on_address(address);
  }
  callbacks_.on_page();
}

}  // namespace basilhoist
