#!/usr/bin/env bash
exec "$(dirname "$0")/../common/run_case.sh" 3
