#!/usr/bin/env bash
exec "$(dirname "$0")/../harness-2/run-case" 8 HeldTurns
