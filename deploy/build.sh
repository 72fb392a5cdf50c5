#!/usr/bin/env bash
# Builds the program and an archive of the classes that a node loads. Nodes start from the archive: it must be recorded
# with the flags and the class path that deploy/system.toml runs them with.
set -eu
cd "$(dirname "$0")/.."
mvn -B -q -Dmaven.test.skip=true package
java -XX:ArchiveClassesAtExit=target/beryldock.jsa -Xlog:cds=off -Xlog:cds+dynamic=off -Xmx160m -Xmn4m -Xss256k \
    -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Djava.locale.providers=COMPAT -Dguice_bytecode_gen_option=DISABLED \
    -Dio.netty.jfr.enabled=false -Dio.netty.leakDetection.level=disabled -Dio.netty.allocator.type=pooled -Dio.netty.allocator.maxOrder=6 \
    -jar target/beryldock.jar record-classes
