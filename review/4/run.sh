#!/usr/bin/env bash
exec "$(dirname "$0")/../play.sh" dropped-route 3 "$(dirname "$0")"
