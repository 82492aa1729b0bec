#!/usr/bin/env bash
exec bash "$(dirname "$0")/../standins/run.sh" Case2 "$(dirname "$0")"
