#!/usr/bin/env bash
# About 25 s. TROUBLE=0: the routes are there from the start, and no change is made.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../run-case.sh" "$folder" new-route
