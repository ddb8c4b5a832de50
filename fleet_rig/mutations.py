#!/usr/bin/env python3
"""Mutation test: applies one fault at a time to the node or its membership protocol and expects a checker or a test to
report it.

    fleet_rig/mutations.py --check
    fleet_rig/mutations.py [--jobs N] BUILD [NAME ...]

BUILD is a build directory that contains thymewood_fleet (cmake -DTHYMEWOOD_BUILD_BENCH=ON). A mutation replaces a text that
occurs exactly once in its file. The mutated program is built in a clone of the repository in a temporary directory; these
sources are not modified. The exit status is 1 if a mutation was not detected or could not be run; with --check, if a text
does not occur exactly once. A complete run takes minutes and is not part of CI.
"""
import argparse
import dataclasses
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
MEMBERSHIP_TESTS = 'tests/membership/membership_tests'  # relative to the build directory
MEMBERSHIP_TIMEOUT = 120  # s
# Column indices in the figures that 'thymewood_fleet run' prints.
TRIES_COLUMN = 8
TIER1_COLUMN = 9


@dataclasses.dataclass(frozen=True)
class Mutation:
    """A fault in the membership protocol, detected when membership_tests fail."""
    name: str
    file: str
    original: str
    replacement: str


@dataclasses.dataclass(frozen=True)
class NodeMutation(Mutation):
    """A fault in the node, detected when the scenario reports the expected rule or figure ('FIGURE > value')."""
    scenario: str
    expected: str


class MutationError(Exception):
    """The mutation could not be applied, built or run."""


NODE_MUTATIONS = [
    NodeMutation(
        name='no_graceful_shutdown',
        file='node/load_balancer_node.cpp',
        original='frontend_.drain([this] {',
        replacement='static_cast<void>([this] {',
        scenario='rolling',
        expected='one-final-answer',
    ),
    NodeMutation(
        name='exit_at_sigterm',
        file='node/load_balancer_node.cpp',
        original='frontend_.drain([this] {',
        replacement='io_.stop();\n  static_cast<void>([this] {',
        scenario='rolling',
        expected='one-final-answer',
    ),
    NodeMutation(
        name='draining_ignored',
        file='node/endpoint_list.cpp',
        original='if (state == "draining") return EndpointState::kDraining;',
        replacement='if (state == "draining") return EndpointState::kReady;',
        scenario='lists_differ',
        expected='drains-kept',
    ),
    NodeMutation(
        name='non_idempotent_retried_after_reset',
        file='policy/idempotency.cpp',
        original='return outcome == Outcome::kRejected ||',
        replacement='return outcome == Outcome::kReset || outcome == Outcome::kRejected ||',
        scenario='resets',
        expected='no-double-effect',
    ),
    NodeMutation(
        name='retried_outside_dedup_cell',
        file='policy/idempotency.cpp',
        original='if (request_class.dedup_scope == DedupScope::kCell && attempt.cell != endpoint.cell) return false;',
        replacement='',
        scenario='all_fail',
        expected='no-double-effect',
    ),
    NodeMutation(
        name='rejected_after_processing',
        file='node/dispatcher.cpp',
        original='requests_.respond(*request, {FinalResponse::Kind::kFailed, 0, {}});',
        replacement='requests_.respond(*request, {FinalResponse::Kind::kRejected, 0, {}});',
        scenario='all_fail',
        expected='no-double-effect',
    ),
    NodeMutation(
        name='every_200th_attempt_duplicated',
        file='node/dispatcher.cpp',
        original='request->is_attempt_open.push_back(true);',
        replacement='static int n = 0;\n'
                    '  if (++n % 200 == 0) upstream_.start(action.server, request->message, {timeout, timeout}, true,\n'
                    '                                      {[] { return true; }, [](Upstream::Result&&) {}});\n'
                    '  request->is_attempt_open.push_back(true);',
        scenario='calm',
        expected='no-double-effect',
    ),
    NodeMutation(
        name='every_200th_response_dropped',
        file='node/pending_requests.cpp',
        original='request.deadline_timer.reset();\n  on_response(std::move(response));',
        replacement='request.deadline_timer.reset();\n  static int n = 0;\n  if (++n % 200 != 0) on_response(std::move(response));',
        scenario='calm',
        expected='one-final-answer',
    ),
    NodeMutation(
        name='deadline_extended_by_250_ms',
        file='node/dispatcher.cpp',
        original='requests_.size() >= max_pending_requests_ ||',
        replacement='(event.time_left += 0.25, requests_.size() >= max_pending_requests_) ||',
        scenario='zone_one_way',
        expected='one-final-answer',
    ),
    NodeMutation(
        name='arrival_age_ignored',
        file='node/client_session.cpp',
        original='const SocketArrival arrival = read_socket_arrival(socket_.native_handle());',
        replacement='const SocketArrival arrival;',
        scenario='paused',
        expected='abandoned',
    ),
    NodeMutation(
        name='disconnect_before_read_ignored',
        file='node/client_session.cpp',
        original='const SocketArrival arrival = read_socket_arrival(socket_.native_handle());',
        replacement='const SocketArrival arrival{0, false, true};',
        scenario='paused',
        expected='abandoned',
    ),
    NodeMutation(
        name='closed_without_response',
        file='node/client_listener.cpp',
        original='callbacks_.on_accept_on_reserve(std::move(socket));',
        replacement='socket.close(error);',
        scenario='scarce',
        expected='one-final-answer',
    ),
    NodeMutation(
        name='slow_start_unlimited',
        file='policy/slow_start.cpp',
        original='return budget.tokens_ >= 1;',
        replacement='return true;',
        scenario='cold_return',
        expected='cold-servers',
    ),
    NodeMutation(
        name='crash_at_300th_request',
        file='node/pending_requests.cpp',
        original='request.received_at = now;',
        replacement='request.received_at = now;\n    static int n = 0;\n    if (++n == 300) std::terminate();',
        scenario='calm',
        expected='crash',
    ),
    NodeMutation(
        name='retry_budget_ignored',
        file='policy/retry_policy.cpp',
        original='if (consumes_budget && budget_ < 1) return false;',
        replacement='',
        scenario='all_fail',
        expected='tier1/tries > 1.5',
    ),
]

MEMBERSHIP_MUTATIONS = [
    Mutation(
        name='refutation_ignored',
        file='membership/record_merger.cpp',
        original='if (is_newer) apply(record, is_direct',
        replacement='if (false) apply(record, is_direct',
    ),
    Mutation(
        name='never_refutes',
        file='membership/record_merger.cpp',
        original='table_.raise_local_incarnation(claim.incarnation + 1);',
        replacement='table_.raise_local_incarnation(table_.local_record().incarnation);',
    ),
    Mutation(
        name='suspicion_never_expires',
        file='membership/record_merger.cpp',
        original='if (!member.suspicion || now < member.suspicion->deadline(config_, table_.size())) continue;',
        replacement='continue;',
    ),
    Mutation(
        name='no_indirect_probe',
        file='membership/prober.cpp',
        original='probe_->is_indirect_requested = true;',
        replacement='probe_->is_indirect_requested = true;\n  return;',
    ),
    Mutation(
        name='indirect_ack_not_relayed',
        file='membership/indirect_probe_relay.cpp',
        original='sender_.send(MessageKind::kAck, probe.requester, probe.target, probe.request_sequence_number);',
        replacement='',
    ),
    Mutation(
        name='failure_applied_without_suspicion',
        file='membership/record_merger.cpp',
        original='if (!may_suspect) return;',
        replacement='if (record.state >= MemberState::kFailed) return apply(record, ChangeReason::kNoAck);',
    ),
    Mutation(
        name='many_confirmations_in_one_datagram',
        file='membership/record_merger.cpp',
        original='merge(now, record, message.sender, is_first);',
        replacement='merge(now, record, message.sender, true);',
    ),
    Mutation(
        name='sender_address_unchecked',
        file='membership/detector.cpp',
        original='if (!sender || *sender != message.sender) {',
        replacement='if (false) {',
    ),
    Mutation(
        name='replays_accepted',
        file='membership/detector.cpp',
        original='if (!member.replay_window.accept(start_time, message.sequence_number)) {',
        replacement='if (false) {',
    ),
    Mutation(
        name='earlier_incarnations_accepted',
        file='membership/detector.cpp',
        original='if (start_time < start_time_of(member.record.incarnation)) {',
        replacement='if (false) {',
    ),
    Mutation(
        name='no_rejoin_after_partition',
        file='membership/prober.cpp',
        original='if (interval_count_ % config_.rejoin_interval == 0) ping_failed_member();',
        replacement='',
    ),
    Mutation(
        name='pause_not_detected',
        file='membership/detector.cpp',
        original='delay > kPauseFraction * config_.probe_interval) recover_from_pause',
        replacement='delay > 1e9) recover_from_pause',
    ),
    Mutation(
        name='suspects_after_one_timeout',
        file='membership/prober.cpp',
        original='if (!was_retry && table_.at(probe.target).record.state == MemberState::kAlive) {',
        replacement='if (false) {',
    ),
    Mutation(
        name='local_health_constant',
        file='membership/local_health.h',
        original='score_ = std::clamp(score_ + delta, 0, max_score_);',
        replacement='static_cast<void>(delta);',
    ),
    Mutation(
        name='leave_not_applied',
        file='membership/record_merger.cpp',
        original='if (supersedes(sender, table_.at(message.sender).record)) apply(sender, ChangeReason::kAnnouncedLeave);',
        replacement='',
    ),
    Mutation(
        name='gossip_sent_once',
        file='membership/message_sender.cpp',
        original='static_cast<int>(std::ceil(config.retransmit_multiplier * size_factor(local.peer_count)))',
        replacement='1',
    ),
    Mutation(
        name='rank_by_configured_count',
        file='membership/replica_set_view.cpp',
        original='view.live_count += members_[i].is_counted ? 1 : 0;',
        replacement='view.live_count += 1;',
    ),
    Mutation(
        name='max_count_by_live_members',
        file='membership/replica_set_view.cpp',
        original='view.max_count = std::max(view.live_count, view.configured_count - scan.left_count);',
        replacement='view.max_count = view.live_count;',
    ),
    Mutation(
        name='no_settle_time',
        file='membership/replica_set_view.cpp',
        original='return config_.settle_time * static_cast<double>(1 << doublings);',
        replacement='return 0;',
    ),
    Mutation(
        name='no_min_change_interval',
        file='membership/replica_set_view.cpp',
        original='std::max(member.up_changed_at + settle_time_of(member), last_change_ + config_.min_change_interval)',
        replacement='member.up_changed_at',
    ),
    Mutation(
        name='partition_not_detected',
        file='membership/replica_set_view.cpp',
        original='if (2 * view.reachable_count <= others + 1) return Connectivity::kPartitioned;',
        replacement='',
    ),
    Mutation(
        name='checksum_unchecked',
        file='membership/codec.cpp',
        original='if (reader.read<std::uint32_t>() != checksum_of(bytes)) return DecodeError::kChecksumMismatch;',
        replacement='reader.read<std::uint32_t>();',
    ),
    Mutation(
        name='oversized_datagrams',
        file='membership/codec.h',
        original='(kMaxDatagramBytes - kHeaderBytes) / kRecordBytes;',
        replacement='(kMaxDatagramBytes - kHeaderBytes) / kRecordBytes + 1;',
    ),
]


def run_captured(command):
    return subprocess.run(command, text=True, capture_output=True)


def count_original(source, mutation):
    path = source / mutation.file
    return path.read_text().count(mutation.original) if path.is_file() else 0


def check_originals():
    """Returns the number of mutations whose original text does not occur exactly once."""
    mismatch_count = 0
    for mutation in NODE_MUTATIONS + MEMBERSHIP_MUTATIONS:
        count = count_original(ROOT, mutation)
        if count != 1:
            print(f'{mutation.name}: its original text occurs {count} times in {mutation.file}')
            mismatch_count += 1
    print(f'{mismatch_count} of {len(NODE_MUTATIONS + MEMBERSHIP_MUTATIONS)} mutations do not apply')
    return mismatch_count


class MutationRun:
    """Builds and runs mutations in a clone of the repository."""

    def __init__(self, scratch, fleet_rig, jobs):
        self.source = scratch / 'src'
        self.build = scratch / 'build'
        self.logs = scratch / 'logs'
        self.fleet_rig = fleet_rig
        self.jobs = jobs
        subprocess.run(['git', 'clone', '-q', ROOT, self.source], check=True)
        subprocess.run(['cmake', '-S', self.source, '-B', self.build, '-DCMAKE_BUILD_TYPE=Release',
                        '-DTHYMEWOOD_BUILD_TESTS=ON'], check=True, capture_output=True)

    def report_membership_mutation(self, mutation):
        """Prints the result; returns whether the mutation was detected."""
        return self.report(mutation, 'membership_tests', 'membership_tests', self.run_membership_tests)

    def report_node_mutation(self, mutation):
        """Prints the result; returns whether the mutation was detected."""
        return self.report(mutation, f'{mutation.scenario} | {mutation.expected}', 'thymewood_program',
                           lambda: self.run_scenario(mutation))

    def report(self, mutation, columns, target, run_target):
        try:
            is_detected, finding = self.run_mutated(mutation, target, run_target)
        except MutationError as error:
            is_detected, finding = False, f'NOT RUN: {error}'
        else:
            finding = finding if is_detected else f'NOT DETECTED: {finding}'
        print(f'| {mutation.name} | {columns} | {finding} |', flush=True)
        return is_detected

    def run_mutated(self, mutation, target, run_target):
        """Builds and runs the target with the mutation applied, then restores the mutated file."""
        count = count_original(self.source, mutation)
        if count != 1:
            raise MutationError(f'its original text occurs {count} times in {mutation.file}')
        path = self.source / mutation.file
        text = path.read_text()
        try:
            path.write_text(text.replace(mutation.original, mutation.replacement))
            built = run_captured(['cmake', '--build', self.build, '-j', str(self.jobs), '--target', target])
            if built.returncode != 0:
                raise MutationError('build failed: ' + built.stderr[-2000:])
            return run_target()
        finally:
            path.write_text(text)

    def run_membership_tests(self):
        """Returns whether the tests detected the mutation, and the first failed test or the exit status."""
        program = self.build / MEMBERSHIP_TESTS
        if not program.is_file():
            raise MutationError(f'{MEMBERSHIP_TESTS} does not exist')
        result = run_captured(['timeout', '-s', 'KILL', str(MEMBERSHIP_TIMEOUT), program, '--gtest_fail_fast'])
        failed = re.findall(r'^\[  FAILED  \] ([A-Za-z0-9_./]+) \(', result.stdout, re.M)
        if not failed and '[ RUN      ]' not in result.stdout:
            raise MutationError(f'no test ran, exit status {result.returncode}: {result.stderr[-2000:]}')
        if failed:
            return True, failed[0]
        return result.returncode != 0, f'exit status {result.returncode}'

    def run_scenario(self, mutation):
        """Returns whether the run reported the expected rule or figure, and the reported violation or value."""
        name = mutation.scenario
        result = run_captured([self.fleet_rig, 'run', ROOT / f'fleet_rig/scenarios/{name}.toml',
                               '--node', self.build / 'thymewood', '--logs', self.logs, '--quiet'])
        figures = [line.split() for line in result.stdout.splitlines() if line.startswith(name + ' ')]
        violation = re.search(re.escape(mutation.expected) + r': (.*)', result.stdout)
        if violation:
            return True, violation.group(0)
        if not figures:
            raise MutationError(f'no figures for {name}, exit status {result.returncode}: {result.stderr[-2000:]}')
        if '>' not in mutation.expected:
            return False, 'no violation reported'
        attempts_per_try = float(figures[0][TIER1_COLUMN]) / float(figures[0][TRIES_COLUMN])
        return attempts_per_try > float(mutation.expected.split('>')[1]), f'{attempts_per_try:.2f}'


def run_mutations(build, names, jobs):
    """Returns the number of mutations that were not detected or could not be run."""
    fleet_rig = build / 'fleet_rig/thymewood_fleet'
    if not fleet_rig.is_file():
        sys.exit(f'{fleet_rig} does not exist')
    unknown = set(names) - {mutation.name for mutation in NODE_MUTATIONS + MEMBERSHIP_MUTATIONS}
    if unknown:
        sys.exit(f'no such mutation: {", ".join(sorted(unknown))}')
    scratch = pathlib.Path(tempfile.mkdtemp())
    try:
        mutation_run = MutationRun(scratch, fleet_rig, jobs)
        selected = [m for m in MEMBERSHIP_MUTATIONS if not names or m.name in names]
        print('| mutation | tests | detected by |\n| --- | --- | --- |', flush=True)
        results = [mutation_run.report_membership_mutation(mutation) for mutation in selected]
        selected = [m for m in NODE_MUTATIONS if not names or m.name in names]
        print('| mutation | scenario | expected | detected by |\n| --- | --- | --- | --- |', flush=True)
        results += [mutation_run.report_node_mutation(mutation) for mutation in selected]
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    undetected_count = results.count(False)
    print(f'{undetected_count} of {len(results)} mutations not detected')
    return undetected_count


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('--check', action='store_true', help='only verify that each text occurs exactly once in its file')
    parser.add_argument('--jobs', type=int, default=8, help='parallel compile jobs')
    parser.add_argument('build', nargs='?', type=pathlib.Path, metavar='BUILD')
    parser.add_argument('names', nargs='*', metavar='NAME')
    arguments = parser.parse_args()
    if arguments.check:
        return 1 if check_originals() else 0
    if arguments.build is None:
        parser.error('BUILD is missing')
    return 1 if run_mutations(arguments.build.resolve(), arguments.names, arguments.jobs) else 0


if __name__ == '__main__':
    sys.exit(main())
