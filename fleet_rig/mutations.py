#!/usr/bin/env python3
"""Mutation test: plants one fault at a time in the node and runs a scenario in which a checker must report it.

    fleet_rig/mutations.py BUILD [NAME ...]

BUILD holds thymewood_fleet (cmake -DTHYMEWOOD_BUILD_BENCH=ON). Each fault is a replacement of a text that stands in its file
once, so that a moved text is an error. The node is built in a clone under a temporary folder; the
sources here are not touched. Exit status 1 when one was not reported. Takes minutes: no part of CI.
"""
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

# name, file, what stands there, what is planted, scenario, rule that has to be named (or 'FIGURE op value')
MUTATIONS = [
    ('lost_at_sigterm', 'node/main.cpp', 'frontend.drain([&io, &peers] {', 'static_cast<void>([&io, &peers] {',
     'rolling', 'one-final-answer'),
    ('drain_ignored', 'node/member_list.cpp', 'member.server.state = ServerState::kDraining;',
     'member.server.state = ServerState::kReady;', 'lists_differ', 'drains-kept'),
    ('unsafe_resent_after_reset', 'policy/idempotency.cpp', 'return outcome == Outcome::kRejected ||',
     'return outcome == Outcome::kReset || outcome == Outcome::kRejected ||', 'resets', 'no-double-effect'),
    ('keyed_out_of_its_cell', 'policy/idempotency.cpp',
     'if (request_class.dedup_scope == DedupScope::kCell && attempt.cell != endpoint.cell) return false;', '', 'all_fail',
     'no-double-effect'),
    ('refused_though_it_ran', 'node/dispatcher.cpp',
     'answer(at->second, {Answer::Kind::kFailed, 0, {}});\n  settle(action.id);',
     'answer(at->second, {Answer::Kind::kRefused, 0, {}});\n  settle(action.id);', 'all_fail', 'no-double-effect'),
    ('every_200th_sent_twice', 'node/dispatcher.cpp', 'held.open.push_back(true);',
     'static int n = 0;\n  if (++n % 200 == 0) upstream_.start(action.server, held.message, timeout, true, '
     '{[] { return true; }, [](Upstream::End&&) {}});\n  held.open.push_back(true);', 'calm', 'no-double-effect'),
    ('every_200th_never_answered', 'node/dispatcher.cpp', 'held.guard.reset();\n  answer_to(std::move(answer));',
     'held.guard.reset();\n  static int n = 0;\n  if (++n % 200 != 0) answer_to(std::move(answer));', 'calm',
     'one-final-answer'),
    ('late_by_a_fifth_of_a_second', 'node/dispatcher.cpp', 'held_.size() >= max_open_',
     'event.time_left += 0.25, held_.size() >= max_open_', 'zone_one_way', 'one-final-answer'),
    ('callers_who_left', 'node/frontend.cpp',
     'const Arrival came = look_at(socket_.native_handle());', 'const Arrival came;',
     'paused', 'abandoned'),
    ('closed_without_a_word', 'node/frontend.cpp', 'admit(std::move(socket), true, kSpareWait);', 'socket.close(bad);',
     'scarce', 'one-final-answer'),
    ('no_bound_for_cold_servers', 'policy/slow_start.cpp', 'return budget.tokens_ >= 1;', 'return true;', 'cold_return',
     'cold-servers'),
    ('ends_at_the_300th', 'node/dispatcher.cpp', 'held.taken = now;',
     'held.taken = now;\n  static int n = 0;\n  if (++n == 300) std::terminate();', 'calm', 'crash'),
    ('no_bound_for_retries', 'policy/retry_policy.cpp', 'if (budgeted && budget_ < 1) return false;', '', 'all_fail',
     'tier1/tries > 1.5'),
]

# The same for how nodes know each other: name, file, what stands there, what is planted. Seen when membership_tests fail.
MEMBERSHIP_MUTATIONS = [
    ('objection_ignored', 'membership/record_merger.cpp', 'if (is_newer) apply(record, is_direct', 'if (false) apply(record, is_direct'),
    ('never_objects', 'membership/record_merger.cpp', 'table_.raise_local_incarnation(claim.incarnation + 1);', 'table_.raise_local_incarnation(table_.local_record().incarnation);'),
    ('suspicion_never_ends', 'membership/record_merger.cpp', 'if (!member.suspicion || now < member.suspicion->deadline(config_, table_.size())) continue;', 'continue;'),
    ('nobody_is_asked_for_help', 'membership/prober.cpp', 'probe_->is_indirect_requested = true;', 'probe_->is_indirect_requested = true;\n  return;'),
    ('help_is_not_passed_back', 'membership/indirect_probe_relay.cpp', 'sender_.send(MessageKind::kAck, probe.requester, probe.target, probe.request);', ''),
    ('failure_believed_at_once', 'membership/record_merger.cpp', 'if (!may_suspect) return;', 'if (record.state >= MemberState::kFailed) return apply(record, ChangeReason::kNoAck);'),
    ('many_accusers_in_one_datagram', 'membership/record_merger.cpp', 'merge(now, record, message.sender, is_first);', 'merge(now, record, message.sender, true);'),
    ('any_address_will_do', 'membership/detector.cpp', 'if (!sender || *sender != message.sender) {', 'if (false) {'),
    ('replays_are_heard', 'membership/detector.cpp', 'if (!member.replay_window.accept(start_time, message.sequence_number)) {', 'if (false) {'),
    ('old_lives_are_heard', 'membership/detector.cpp', 'if (start_time < start_time_of(member.record.incarnation)) {', 'if (false) {'),
    ('no_way_back_after_a_cut', 'membership/prober.cpp', 'if (interval_count_ % config_.rejoin_interval == 0) ping_failed_member();', ''),
    ('away_is_not_noticed', 'membership/detector.cpp', 'delay > kPauseFraction * config_.probe_interval) recover_from_pause', 'delay > 1e9) recover_from_pause'),
    ('accuses_at_the_first_silence', 'membership/prober.cpp', 'if (!was_retry && table_.at(probe.target).record.state == MemberState::kAlive) {', 'if (false) {'),
    ('no_doubt_in_itself', 'membership/local_health.h', 'score_ = std::clamp(score_ + delta, 0, max_score_);', 'static_cast<void>(delta);'),
    ('leaving_is_not_said', 'membership/record_merger.cpp', 'if (supersedes(sender, table_.at(message.sender).record))\n      apply(sender, ChangeReason::kAnnouncedItsLeaving);', ''),
    ('rumours_ride_once', 'membership/message_sender.cpp', 'static_cast<int>(std::ceil(config.retransmit_multiplier * size_factor(local.peer_count)))', '1'),
    ('rank_by_the_told_count', 'membership/replica_set_view.cpp', 'view.live_count += members_[i].is_counted ? 1 : 0;', 'view.live_count += 1;'),
    ('bound_by_those_that_answer', 'membership/replica_set_view.cpp', 'view.max_count = std::max(view.live_count, view.configured_count - scan.left_count);', 'view.max_count = view.live_count;'),
    ('flapping_moves_all', 'membership/replica_set_view.cpp', 'return config_.settle_time * static_cast<double>(1 << doublings);', 'return 0;'),
    ('no_calm_between_moves', 'membership/replica_set_view.cpp', 'std::max(member.up_changed_at + settle_time_of(member), last_change_ + config_.min_change_interval)', 'member.up_changed_at'),
    ('a_cut_is_not_known', 'membership/replica_set_view.cpp', 'if (2 * view.reachable_count <= others + 1) return Connectivity::kPartitioned;', ''),
    ('checksum_not_looked_at', 'membership/codec.cpp', 'if (reader.take<std::uint32_t>() != checksum_of(bytes)) return DecodeError::kChecksumMismatch;', 'reader.take<std::uint32_t>();'),
    ('longer_than_it_may_be', 'membership/codec.h', '(kMaxDatagramBytes - kHeaderBytes) / kRecordBytes;', '(kMaxDatagramBytes - kHeaderBytes) / kRecordBytes + 1;'),
]


def run(command, **more):
    return subprocess.run(command, text=True, capture_output=True, **more)


def apply_mutation(scratch, file, old, new, target):
    """Applies it and builds; returns the text before, and why it failed (empty on success)."""
    path = scratch / 'src' / file
    text = path.read_text()
    if text.count(old) != 1:
        return text, f'NOT APPLIED: its text stands {text.count(old)} times in {file}'
    path.write_text(text.replace(old, new))
    built = run(['cmake', '--build', scratch / 'build', '-j', '8', '--target', target])
    return text, '' if built.returncode == 0 else 'NOT BUILT ' + built.stderr[-2000:]


def run_membership_mutations(scratch, wanted):
    missed = 0
    for name, file, old, new in MEMBERSHIP_MUTATIONS:
        if wanted and name not in wanted:
            continue
        text, why = apply_mutation(scratch, file, old, new, 'membership_tests')
        if why:
            print(f'| {name} | membership_tests | {why} |', flush=True)
            (scratch / 'src' / file).write_text(text)
            missed += 1
            continue
        out = run(['timeout', '-s', 'KILL', '120', scratch / 'build/tests/membership/membership_tests', '--gtest_fail_fast'])
        failed = re.findall(r'^\[  FAILED  \] ([A-Za-z.]+) \(', out.stdout, re.M)
        seen = out.returncode != 0
        what = failed[0] if failed else 'it ended' if out.returncode < 0 else 'nothing'
        print(f'| {name} | membership_tests | {what if seen else "NOT SEEN"} |', flush=True)
        missed += 0 if seen else 1
        (scratch / 'src' / file).write_text(text)
    return missed


def main():
    build = pathlib.Path(sys.argv[1])
    wanted = set(sys.argv[2:])
    top = pathlib.Path(__file__).resolve().parent.parent
    scratch = pathlib.Path(tempfile.mkdtemp())
    missed = 0
    try:
        run(['git', 'clone', '-q', str(top), str(scratch / 'src')], check=True)
        run(['cmake', '-S', scratch / 'src', '-B', scratch / 'build', '-DCMAKE_BUILD_TYPE=Release',
             '-DTHYMEWOOD_BUILD_TESTS=ON'], check=True)
        print('| planted | tests | seen |\n| --- | --- | --- |', flush=True)
        missed += run_membership_mutations(scratch, wanted)
        print('| planted | day | has to be seen | seen |\n| --- | --- | --- | --- |', flush=True)
        for name, file, old, new, scenario, rule in MUTATIONS:
            if wanted and name not in wanted:
                continue
            text, why = apply_mutation(scratch, file, old, new, 'thymewood_program')
            if why:
                print(f'| {name} | {scenario} | {rule} | {why} |', flush=True)
                missed += 1
            else:
                out = run([build / 'fleet_rig/thymewood_fleet', 'run', top / f'fleet_rig/scenarios/{scenario}.toml', '--node',
                           scratch / 'build/thymewood', '--logs', scratch / 'logs', '--quiet']).stdout
                row = [line for line in out.splitlines() if line.startswith(scenario + ' ')]
                if '>' in rule:
                    cells = row[0].split() if row else []
                    share = float(cells[9]) / float(cells[8]) if len(cells) > 9 else 0
                    seen, what = share > float(rule.split('>')[1]), f'{share:.2f}'
                else:
                    found = re.search(re.escape(rule) + r': (.*)', out)
                    seen, what = found is not None, (found.group(0) if found else 'nothing')
                print(f'| {name} | {scenario} | {rule} | {what if seen else "NOT SEEN: " + what} |', flush=True)
                missed += 0 if seen else 1
            (scratch / 'src' / file).write_text(text)
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    print(f'{missed} not seen')
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main())
