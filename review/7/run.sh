#!/bin/sh
exec "$(dirname "$0")/../src-2/run.sh" SlowDiscovery "$(dirname "$0")"
