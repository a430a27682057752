#!/usr/bin/env bash
exec "$(dirname "$0")/../play.sh" wave 3 "$(dirname "$0")"
