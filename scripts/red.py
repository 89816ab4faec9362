"""Switches mechanisms off one by one and runs the tests; see scripts/red."""

import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPIED = ("CMakeLists.txt", "include", "src", "apps", "standins", "tests",
          "benchmarks", "scripts", "examples", "platform", "deploy")


@dataclasses.dataclass
class Mechanism:
    """A line that carries a mechanism, and the test that must miss it."""

    file: str
    line: str
    without: str
    test: str


MECHANISMS = {
    "echo_checked": Mechanism(
        "src/entry/query_run.cc",
        "reply.outcome == verdict::kDone && matches",
        "reply.outcome == verdict::kDone && (matches || true)",
        "query_run_test"),
    "restart_forgets": Mechanism(
        "src/entry/query_run.cc", "  parts_.clear();\n", "",
        "query_run_test"),
    "doubt_is_kept": Mechanism(
        "src/entry/query_run.cc",
        "outcome_ = Combine(outcome_, reply.outcome);", "",
        "query_run_test"),
    "once_is_not_retried": Mechanism(
        "src/entry/query_run.cc",
        "if (spec_.once && outcome_ != verdict::kNotRun) {", "if (false) {",
        "query_run_test"),
    "given_up_at_once": Mechanism(
        "src/entry/query_run.cc", "  current.given_up = true;\n}\n\n"
        "query_step query_run::OnReply", "}\n\nquery_step query_run::OnReply",
        "query_run_test"),
    "lease_checked": Mechanism(
        "src/member/ownership.cc",
        "if (retired_ || !LeaseValid(now)) return false;",
        "if (retired_) return false;", "ownership_test"),
    "takeover_waits": Mechanism(
        "src/member/ownership.cc",
        "return options_.lease + options_.longest_attempt + "
        "options_.clock_margin;", "return options_.clock_margin;",
        "ownership_test"),
    "former_owners_waited_for": Mechanism(
        "src/member/ownership.cc",
        "if (!PreviousOwnersGone(server.name, now)) return false;", "",
        "ownership_test"),
    "restart_shuts_window": Mechanism(
        "src/owner/server_gate.cc",
        "if (!incarnation_.empty()) Close(now, false);", "",
        "server_gate_test"),
    "slow_replies_shut_window": Mechanism(
        "src/owner/server_gate.cc",
        "if (slow_in_a_row_ >= kSlowInARow) Close(now, false);",
        "if (slow_in_a_row_ > 1000000) Close(now, false);",
        "server_gate_test"),
    "lost_keeps_slot": Mechanism(
        "src/owner/server_gate.cc", "doubtful_.push_back(deadline);",
        "static_cast<void>(deadline);",
        "server_gate_test"),
    "window_limits": Mechanism(
        "src/owner/server_gate.cc", "Occupied() < window) {",
        "Occupied() < window + 1) {", "server_gate_test"),
    "sent_once": Mechanism(
        "src/http/http_client.cc",
        "if (current->sent) return CURL_PREREQFUNC_ABORT;", "",
        "http_client_test"),
    "drained_gets_nothing": Mechanism(
        "src/instance/instance.cc", "    owner_.SetBarred(barred);\n"
        "    entry_->SetBarred(barred);", "", "chaos_test.py"),
    "crash_asked_at_each_send": Mechanism(
        "src/dispatch/service_call.cc",
        "if (dispatcher_.crashes.Refuses(request_->identity, service_hash_)) {",
        "if (false) {", "service_call_test"),
    "crash_checked": Mechanism(
        "src/dispatch/dispatcher.cc", "    confirmer.OnLost(server);\n", "",
        "service_call_test"),
    "answers_clear": Mechanism(
        "src/dispatch/crash_guard.cc",
        "  if (!answered.empty()) suspected.answered = true;\n", "",
        "crash_guard_test"),
    "suspects_take_turns": Mechanism(
        "src/dispatch/crash_guard.cc",
        "    suspected->last_reported = message_count_;\n", "",
        "crash_guard_test"),
    "relay_keeps_it_out": Mechanism(
        "src/relay/relay_server.cc",
        "result.sends == 0 && !result.contained", "result.sends == 0",
        "relay_test"),
    "answers_matched": Mechanism(
        "src/backend/reply_reader.cc", "headers.Find(expected.echo_header) != "
        "expected.echo_value) {", "false) {", "second_copy_test.py"),
    "heads_limited": Mechanism(
        "include/basilhoist/http/message_parser.h",
        "if (head > limits_.max_head_bytes) {",
        "if (head > limits_.max_head_bytes && false) {",
        "reply_reader_test"),
    "replies_counted": Mechanism(
        "include/basilhoist/http/message_parser.h",
        "return message_.headers.Bytes() + message_.body.capacity();",
        "return message_.body.capacity();", "reply_reader_test"),
    "replies_share_memory": Mechanism(
        "src/backend/backend_connection.cc",
        "if (reply_budget.Resize(buffered, reader->Buffered())) "
        "return progress;",
        "reply_budget.Resize(buffered, reader->Buffered());\n"
        "    return progress;",
        "endless_test.py"),
    "limits_shared": Mechanism(
        "src/dispatch/shared_rate_limiter.cc",
        "if (rate.rank >= rate.Senders()) return std::nullopt;", "",
        "shared_rate_limiter_test"),
    "limits_keep_their_age": Mechanism(
        "src/dispatch/server_rate_limits.cc",
        "             .observed_at = now - milliseconds(report.age_ms)});\n"
        "  if (!added)", "             .observed_at = now});\n  if (!added)",
        "server_rate_limits_test"),
    "ended_stays_out": Mechanism(
        "src/knowledge/restore_beliefs.cc",
        "const bool ended = HasEnded(entry.second);",
        "const bool ended = false;", "store_era_test"),
    "followers_hear_at_once": Mechanism(
        "src/knowledge/stalled_watch_detector.cc",
        "!own.follows_store || ", "", "stalled_watch_detector_test"),
    "watches_end_in_turns": Mechanism(
        "src/knowledge/feed_state.cc",
        "return std::min(kMaxWatchWait, kWatchSpacing * "
        "static_cast<int>(turns));",
        "return turns > 0 ? kMaxWatchWait : kWatchSpacing;",
        "silent_store_test.py"),
    "relays_pass_notices_on": Mechanism(
        "src/relay/relay_server.cc",
        "    AddNotices(shards_.at(shard));\n", "", "relay_test"),
    "unsent_bytes_dropped": Mechanism(
        "src/backend/backend_connection.cc",
        "if (fd >= 0 && busy) DropUnsentBytes(fd);", "",
        "backend_connection_test"),
    "refusals_are_compared": Mechanism(
        "src/dispatch/isolation_monitor.cc",
        "ended.result.listening > 0 || ended.result.checked == 0", "true",
        "service_call_test"),
    "isolated_hand_over": Mechanism(
        "src/router/request_handler.cc",
        "if (!handed_over && dispatcher_.handovers != nullptr &&",
        "if (!handed_over && dispatcher_.handovers == nullptr &&",
        "isolation_test"),
    "handed_over_once": Mechanism(
        "src/router/request_handler.cc",
        "if (!handed_over && dispatcher_.handovers != nullptr &&",
        "if (dispatcher_.handovers != nullptr &&", "isolation_test"),
    "odd_values_repaired": Mechanism(
        "include/basilhoist/store/object.h",
        "if (JsonDepth(body) <= kMaxJsonDepth) {", "if (true) {",
        "platform_test"),
    "late_requests_refused": Mechanism(
        "src/router/request_handler.cc", "if (!expires_at_) return false;",
        "if (true) return false;", "late_stop_test.py"),
    "sockets_before_timers": Mechanism(
        "src/loop/event_loop.cc",
        "  ev_set_priority(&state_->wakeup, EV_MINPRI);\n", "",
        "event_loop_test"),
    "highest_version_wins": Mechanism(
        "src/document/document_table.cc",
        "if (offered.version <= VersionOf(offered.name)) return false;", "",
        "operators_test.py"),
}


def run(words, folder, env=None):
    return subprocess.run([str(word) for word in words], cwd=folder,
                          capture_output=True, text=True, check=False,
                          env=env, timeout=600)


def show(name, mechanism, folder):
    """Returns whether the test fails without the mechanism."""
    path = folder / mechanism.file
    text = path.read_text()
    if mechanism.line not in text:
        print(f"LOST  {name}: its line is not in {mechanism.file}")
        return False
    path.write_text(text.replace(mechanism.line, mechanism.without, 1))
    env = dict(os.environ, RC_PARAMS="seed=1 max_success=1000")
    if mechanism.test.endswith(".py"):
        built = run(["ninja", "-C", "build"], folder)
        command = [sys.executable, folder / "tests" / mechanism.test]
    else:
        built = run(["ninja", "-C", "build", mechanism.test], folder)
        command = [folder / "build" / mechanism.test]
    done = run(command, folder, env) if built.returncode == 0 else None
    path.write_text(text)
    if done is None:
        print(f"LOST  {name}: does not build without it\n"
              f"{built.stdout[-600:]}")
        return False
    red = done.returncode != 0
    print(f"{'red  ' if red else 'GREEN'} {mechanism.test} without {name}",
          flush=True)
    return red


def targets(wanted):
    """What the tests of the mechanisms need; empty: everything."""
    tests = {MECHANISMS[name].test for name in wanted}
    if any(test.endswith(".py") for test in tests):
        return []
    return sorted(tests)


def main():
    wanted = sys.argv[1:] or sorted(MECHANISMS)
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch)
        for item in COPIED:
            source = ROOT / item
            if source.is_dir():
                shutil.copytree(source, folder / item)
            else:
                shutil.copy2(source, folder / item)
        run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja",
             "-DCMAKE_BUILD_TYPE=Debug"], folder)
        run(["ninja", "-C", "build", *targets(wanted)], folder)
        shown = [show(name, MECHANISMS[name], folder) for name in wanted]
    print(f"{sum(shown)} of {len(shown)} mechanisms are missed by their tests")
    sys.exit(0 if all(shown) else 1)


if __name__ == "__main__":
    main()
