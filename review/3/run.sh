#!/bin/bash
exec bash "$(dirname "$0")/../run-case.sh" 3 AddedMinions
