import java.io.File;
import java.io.PrintWriter;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: the store, minions and entry instances, started with the command of the deploy file. */
final class Site implements AutoCloseable {
    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    static final String SERVICE = "huvo11a";
    static final int CPU = 32_000;

    /** One entry instance. */
    final class Instance {
        final String name;
        final String zone;
        final int front = freePort();
        final int ready = freePort();
        final int control = freePort();
        Process process;

        /** Address of the store for this instance; null for the store's own. */
        String storeAddress;

        Instance(String name, String zone) throws Exception {
            this.name = name;
            this.zone = zone;
        }

        void start() throws Exception {
            Path file = dir.resolve(name + ".toml");
            Files.writeString(file, settings(this));
            ProcessBuilder builder = new ProcessBuilder(command);
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("JACKDAWRING_NODE_FILE", file.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(dir.resolve(name + ".log").toFile()));
            process = builder.start();
        }

        void kill() throws Exception {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }

        boolean isReady() {
            try {
                return send("GET", ready, "/v1/ready", null, 500).statusCode() == 200;
            } catch (Exception e) {
                return false;
            }
        }
    }

    final Store store = new Store();
    final List<Minion> minions = new ArrayList<>();
    final List<Instance> instances = new ArrayList<>();
    final Map<String, String> zones = new LinkedHashMap<>();
    private final Path dir = Files.createTempDirectory("jackdawring-case");
    private final List<String> command = command();
    private final PrintWriter record;
    private final long startedAt = Minion.now();
    private final HttpClient client;

    Site(Path caseDir) throws Exception {
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(2)).build();
        record = new PrintWriter(Files.newBufferedWriter(caseDir.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static List<String> command() throws Exception {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IllegalStateException("deploy/system.toml has no run line");
        return List.of(run.group(1).split(" "));
    }

    private static final java.util.Set<Integer> TAKEN = new java.util.HashSet<>();

    /** A free port below those that the system gives to outgoing connections, which could take it before it is bound. */
    static synchronized int freePort() throws Exception {
        while (true) {
            int port = 12_000 + (int) (Math.random() * 18_000);
            if (!TAKEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 50, java.net.InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (java.net.BindException e) {
                // In use by another process.
            }
        }
    }

    void log(String line) {
        synchronized (record) {
            record.printf("%7.3f %s%n", (Minion.now() - startedAt) / 1000.0, line);
        }
    }

    void minions(String zone, int count, Minion.Watcher watcher, String... kinds) throws Exception {
        for (int i = 0; i < count; i++) {
            String kind = kinds.length == 0 ? "a" : kinds[i % kinds.length];
            minions.add(new Minion("i-" + zone + "-" + (i + 1), zone, SERVICE, CPU, List.of(kind, "r-" + zone), store, watcher));
        }
    }

    void instances(String zone, int count) throws Exception {
        zones.put(zone, "region-1");
        for (int i = 0; i < count; i++) instances.add(new Instance("front-" + zone + "-" + (i + 1), zone));
    }

    /** Starts all instances and waits until they are ready. */
    void start() throws Exception {
        store.put("op/config", Json.write(Json.map(
            "version", 7,
            "routes", List.of(Json.map("name", "r-73hh2b9", "host", HOST, "prefix", PREFIX, "routeType", "unsafe",
                "timeoutMs", 1500, "sloLatencyMs", 60, "priority", 1, "service", SERVICE, "maxAttempts", 4, "stretch", 1.6)),
            "services", List.of(Json.map("name", SERVICE, "healthPath", "/health", "maxConnections", 64, "protocol", "h1",
                "tls", false, "admissionCheck", true, "standby", false)),
            "limits", Json.map("maxHeaderBytes", 16384, "maxBodyBytes", 262144, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000))));
        for (Instance instance : instances) {
            instance.start();
            // A case that needs a certain holder starts it first.
            if (instance.storeAddress != null) awaitReady(List.of(instance));
        }
        awaitReady(instances);
        log("all " + instances.size() + " entry instances are ready");
        Thread.sleep(1_500);
    }

    private void awaitReady(List<Instance> instances) throws Exception {
        long until = Minion.now() + 25_000;
        while (!instances.stream().allMatch(Instance::isReady)) {
            if (Minion.now() > until) throw new IllegalStateException("the instances are not ready after 25 s");
            Thread.sleep(100);
        }
    }

    Instance instance(String name) {
        return instances.stream().filter(i -> i.name.equals(name)).findFirst().orElseThrow();
    }

    HttpResponse<String> send(String method, int port, String path, String body, long timeoutMs) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(Duration.ofMillis(timeoutMs))
            .header("Host", HOST)
            .header("X-Deadline-Ms", "" + timeoutMs);
        if (body != null) request.header("Content-Type", "application/json");
        request.method(method, body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body));
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Hands a job in until it is accepted or [tries] attempts have failed; returns whether it was accepted. */
    boolean submit(Instance instance, String id, Map<String, Object> job, int tries) throws Exception {
        for (int i = 0; i < tries; i++) {
            String answer;
            try {
                HttpResponse<String> response = send("POST", instance.front, PREFIX + id, Json.write(job), 1_500);
                answer = "" + response.statusCode();
            } catch (java.io.IOException e) {
                answer = "no answer";
            }
            log("POST " + id + " at " + instance.name + " -> " + answer);
            if (answer.equals("200")) return true;
            Thread.sleep(1_300);
        }
        return false;
    }

    /** The status and state that a GET shows, such as "200 running", or "no answer". */
    String state(Instance instance, String id) {
        return ask("GET", instance, id);
    }

    String ask(String method, Instance instance, String id) {
        try {
            HttpResponse<String> response = send(method, instance.front, PREFIX + id, null, 1_500);
            if (response.statusCode() != 200) return "" + response.statusCode();
            return "200 " + Json.object(response.body()).get("state");
        } catch (Exception e) {
            return "no answer";
        }
    }

    private String settings(Instance i) throws Exception {
        StringBuilder out = new StringBuilder();
        int port = freePort();
        out.append("nodeName = \"" + i.name + "\"\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\",\"control\"]\n");
        out.append("ip = \"127.0.0.1\"\nzone = \"" + i.zone + "\"\nregion = \"region-1\"\n");
        out.append("portRange = [" + port + "," + port + "]\n");
        out.append("seeds = [\"127.0.0.1:" + instances.get(0).control + "\"]\nbootstrap = true\ntoleranceMember = false\n");
        out.append("discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500\n");
        out.append("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n");
        out.append("controlMode = \"invocation\"\n[zones]\n");
        zones.forEach((zone, region) -> out.append(zone + " = \"" + region + "\"\n"));
        out.append("[listen]\nfront = \"127.0.0.1:" + i.front + "\"\nready = \"127.0.0.1:" + i.ready + "\"\n");
        out.append("control = \"127.0.0.1:" + i.control + "\"\n");
        out.append("[limits]\ncpuShare = 0.75\ncores = 1\nmemoryMb = 430\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n");
        out.append("[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n");
        out.append("""
            [bounds]
            seedLagS = 3
            reuseAfterS = 2
            contactMs = 3000
            ackMs = 4000
            catchUpS = 4
            drainMs = 2000
            graceS = 6
            lossSlackMs = 200
            configMs = 2000
            rollbackSlackMs = 250
            maxSkewMs = 5000
            recoveryS = 12
            holdMaxMs = 1000
            stopMs = 50
            gangWaitMs = 3000
            cancel_ms = 3000
            visible_ms = 3000
            early_ms = 250
            finish_s = 14
            status_s = 120
            farX = 3
            checkpointIntervalS = 2
            restoreMs = 100
            noticeMs = 4500
            moveS = 1.5
            maintenanceS = 2
            fencingRequired = false
            leaseMs = 3000
            thawMs = 300
            paceMs = 100
            harmMs = 4000
            retransmitMs = 1300
            """);
        out.append("[platform]\naddress = \"" + (i.storeAddress == null ? store.address : i.storeAddress) + "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\n");
        out.append("historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n");
        return out.toString();
    }

    private boolean closed;

    @Override
    public synchronized void close() {
        if (closed) return;
        closed = true;
        for (Instance instance : instances) {
            if (instance.process != null) instance.process.destroyForcibly();
        }
        minions.forEach(Minion::close);
        store.close();
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs are in " + dir);
            return;
        }
        File[] files = dir.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) file.delete();
        dir.toFile().delete();
    }
}
