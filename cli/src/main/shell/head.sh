#!/bin/sh
# Launches the jar that is appended to this script. JACKDAWRING_JAVA_OPTS adds JVM options.
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" ${JACKDAWRING_JAVA_OPTS:--XX:+UseSerialGC -Xss512k} -jar "$0" "$@"
exit 1
