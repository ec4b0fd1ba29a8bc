#!/usr/bin/env bash
# About 15 s. TROUBLE=0: all items have plain paths.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../run-case.sh" "$folder" item-path
