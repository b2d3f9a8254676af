package review3;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the product, with the run line of the deploy file and a settings file as in DEPLOY.md. */
final class Instance {
    final String name;
    final String zone;
    final int frontPort = Http.freePort();
    final int readyPort = Http.freePort();
    final int controlPort = Http.freePort();
    final Store.Door store;
    private final int metricsPort = Http.freePort();
    private final Path folder;
    private final Recorder recorder;
    private Process process;

    private static final List<Process> ALL = new ArrayList<>();
    private static boolean isEnding;

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Instance::endAll));
    }

    Instance(String name, String zone, List<String> zones, double cores, Store.Door store, Path folder, Recorder recorder) throws Exception {
        this.name = name;
        this.zone = zone;
        this.folder = folder;
        this.store = store;
        this.recorder = recorder;
        StringBuilder zoneLines = new StringBuilder();
        zones.forEach(each -> zoneLines.append(each).append(" = \"region\"\n"));
        String settings = """
                nodeName = "%s"
                role = "entry"
                machineClass = "front"
                serves = ["front","control"]
                ip = "127.0.0.1"
                zone = "%s"
                region = "region"
                portRange = [%d,%d]
                seeds = []
                bootstrap = true
                discovery = "platform"
                entry = "vip"
                heartbeatMs = 1500
                contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
                controlMode = "invocation"
                [zones]
                %s[listen]
                front = "127.0.0.1:%d"
                ready = "127.0.0.1:%d"
                control = "127.0.0.1:%d"
                [limits]
                cpuShare = %s
                cores = 1
                memoryMb = 430
                maxFds = 4100
                [faultTolerance]
                machines = 2
                zones = 1
                regions = 0
                [bounds]
                contactMs = 3000
                ackMs = 4000
                drainMs = 2000
                graceS = 6
                configMs = 2000
                recoveryS = 12
                holdMaxMs = 1000
                stopMs = 50
                cancel_ms = 3000
                visible_ms = 3000
                finish_s = 14
                status_s = 120
                farX = 3
                restoreMs = 100
                retransmitMs = 1300
                [platform]
                address = "127.0.0.1:%d"
                form = "kv"
                writesPerS = 400
                readsPerS = 2000
                historyS = 20
                valueBytes = 1048576
                ttlMinMs = 1000
                """.formatted(name, zone, metricsPort, metricsPort, zoneLines, frontPort, readyPort, controlPort, cores, store.port);
        Files.writeString(settingsFile(), settings);
    }

    private Path settingsFile() {
        return folder.resolve(name + ".toml");
    }

    /** The words of the run line in deploy/system.toml. */
    private static List<String> command() throws Exception {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!matcher.find()) throw new IllegalStateException("no run line");
        return new ArrayList<>(List.of(matcher.group(1).split(" ")));
    }

    /** Starts the process, but none once {@link #endAll} was called. */
    void start() throws Exception {
        synchronized (ALL) {
            if (isEnding) throw new IllegalStateException("the case is over");
            startProcess();
            ALL.add(process);
        }
    }

    /** Kills all processes of all instances. */
    static void endAll() {
        synchronized (ALL) {
            isEnding = true;
            ALL.forEach(Process::destroyForcibly);
            for (Process each : ALL) each.onExit().join();
        }
    }

    private void startProcess() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("JACKDAWRING_NODE_FILE", settingsFile().toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
        process = builder.start();
        Process started = process;
        recorder.line(name, "process started");
        started.onExit().thenRun(() -> recorder.line(name, "process ended with " + started.exitValue()));
    }

    boolean isReady() {
        return Http.call(readyPort, "GET", "/v1/ready", Map.of("host", "x"), "", 500).status() == 200;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a signal, such as TERM or STOP. */
    void signal(String signal) throws Exception {
        recorder.line(name, "SIG" + signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }
}
