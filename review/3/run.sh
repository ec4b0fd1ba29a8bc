#!/usr/bin/env bash
# About 75 s. TROUBLE=0: no endpoint answers twice.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../run-case.sh" "$folder" late-answer
