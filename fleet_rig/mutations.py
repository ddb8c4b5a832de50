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
    ('objection_ignored', 'membership/detector.cpp', 'if (higher) take(record, from == record.number', 'if (false) take(record, from == record.number'),
    ('never_objects', 'membership/detector.cpp', 'own.incarnation = above + 1;', 'own.incarnation = own.incarnation;'),
    ('suspicion_never_ends', 'membership/detector.cpp', 'if (!e.suspicion || now < deadline_of(*e.suspicion)) continue;', 'continue;'),
    ('nobody_is_asked_for_help', 'membership/detector.cpp', 'probe_->help = true;', 'probe_->help = true;\n  return;'),
    ('help_is_not_passed_back', 'membership/detector.cpp', 'post(Kind::kAck, done.of, done.target, done.asked, out);', ''),
    ('failure_believed_at_once', 'membership/detector.cpp', 'if (!may_accuse) return;', 'if (record.state >= State::kFailed) return take(record, "is said", out);'),
    ('many_accusers_in_one_datagram', 'membership/detector.cpp', 'hear(now, r, m.from, first, out);', 'hear(now, r, m.from, true, out);'),
    ('any_address_will_do', 'membership/detector.cpp', 'if (!sender || *sender != m.from) {', 'if (false) {'),
    ('replays_are_heard', 'membership/detector.cpp', 'if (!is_new(from, m)) {', 'if (false) {'),
    ('old_lives_are_heard', 'membership/detector.cpp', 'if (life_of(m.incarnation) < life_of(from.record.incarnation)) {', 'if (false) {'),
    ('no_way_back_after_a_cut', 'membership/detector.cpp', 'if (periods_ % plan_.rejoin_every == 0) {', 'if (false) {'),
    ('away_is_not_noticed', 'membership/detector.cpp', 'late > kAway * plan_.period) back_from_away', 'late > 1e9) back_from_away'),
    ('accuses_at_the_first_silence', 'membership/detector.cpp', 'if (!again && record.state == State::kAlive) {', 'if (false) {'),
    ('no_doubt_in_itself', 'membership/detector.cpp', 'doubt_ = std::clamp(doubt_ + more, 0, plan_.most_doubt);', 'static_cast<void>(more);'),
    ('leaving_is_not_said', 'membership/detector.cpp', 'if (supersedes(sender, table_[m.from].record)) take(sender, "says that it ends", out);', ''),
    ('rumours_ride_once', 'membership/detector.cpp', 'rides_ = static_cast<int>(std::ceil(plan.rides * scale_of(self.peers)));', 'rides_ = 1;'),
    ('rank_by_the_told_count', 'membership/view.cpp', 'out.live += members_[i].settled ? 1 : 0;', 'out.live += 1;'),
    ('bound_by_those_that_answer', 'membership/view.cpp', 'out.bound = std::max(out.live, out.told - left);', 'out.bound = out.live;'),
    ('flapping_moves_all', 'membership/view.cpp', 'return plan_.hold * static_cast<double>(1 << std::min(m.turns, plan_.most_hold));', 'return 0;'),
    ('no_calm_between_moves', 'membership/view.cpp', 'std::max(m.since + hold_of(m), moved_ + plan_.calm)', 'm.since'),
    ('a_cut_is_not_known', 'membership/view.cpp', 'if (2 * reached <= others + 1) return Confidence::kCutOff;', ''),
    ('checksum_not_looked_at', 'membership/codec.cpp', 'if (from.take<std::uint32_t>() != checksum_of(bytes)) return Fault::kDamaged;', 'from.take<std::uint32_t>();'),
    ('longer_than_it_may_be', 'membership/codec.h', 'kMostBytes - kHeadBytes) / kRecordBytes;', 'kMostBytes - kHeadBytes) / kRecordBytes + 1;'),
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
