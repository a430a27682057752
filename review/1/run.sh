#!/usr/bin/env bash
exec "$(dirname "$0")/../play.sh" takeover-cut 3 "$(dirname "$0")"
