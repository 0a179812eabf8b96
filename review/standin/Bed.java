import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One case: a store, runners and entry routers on loopback addresses. Routers are processes of their
 * own, started with the run command of the deploy file. A case ends with 0 (the rule held), 1 (it was
 * broken) or 2 (the case couldn't run).
 */
final class Bed implements AutoCloseable {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    interface Case {
        /** Returns whether the rule held. */
        boolean run(Bed bed) throws Exception;
    }

    /** One entry router. */
    static final class Router {
        final String node;
        final String ip;
        final int front;
        final int ready;
        final File boot;
        final File log;
        Process process;

        private Router(String node, String ip, int front, int ready, File boot, File log) {
            this.node = node;
            this.ip = ip;
            this.front = front;
            this.ready = ready;
            this.boot = boot;
            this.log = log;
        }

        InetSocketAddress address() {
            return new InetSocketAddress(ip, front);
        }

        /** The answer to the platform's readiness question; 0 without one. */
        int readiness() {
            return status(ready, "/-/readiness");
        }

        private int status(int port, String path) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, port), 1000);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes());
                Http.Answer answer = Http.answer(socket.getInputStream());
                return answer == null ? 0 : answer.status();
            } catch (IOException e) {
                return 0;
            }
        }

        /** The metrics page; empty without an answer. */
        String metrics() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, 9464), 1000);
                socket.setSoTimeout(2000);
                socket.getOutputStream().write("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n".getBytes());
                Http.Answer answer = Http.answer(socket.getInputStream());
                return answer == null ? "" : answer.text();
            } catch (IOException e) {
                return "";
            }
        }
    }

    final Store store;
    private final Random random = new Random();
    private final String net = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
    private final File dir;
    private final PrintWriter record;
    private final long start = System.nanoTime();
    private final List<Router> routers = new ArrayList<>();
    private final List<AutoCloseable> parts = new ArrayList<>();

    private Bed(Path folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        dir = Files.createTempDirectory("review-case").toFile();
        store = new Store(ip(0));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("TROUBLE=" + (TROUBLE ? 1 : 0));
    }

    static void main(Path folder, Case task) {
        int code;
        try (Bed bed = new Bed(folder)) {
            daemon(() -> {
                sleep(112_000);
                bed.note("the case took too long");
                bed.endProcesses();
                Runtime.getRuntime().halt(2);
            });
            try {
                boolean held = task.run(bed);
                bed.note(held ? "the rule held" : "THE RULE WAS BROKEN");
                code = held ? 0 : 1;
            } catch (Throwable e) {
                bed.note("the case couldn't run: " + e);
                e.printStackTrace();
                code = 2;
            }
        } catch (Exception e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }

    String ip(int host) {
        return net + (host + 1);
    }

    synchronized void note(String text) {
        String line = String.format("%8.3f %s", (System.nanoTime() - start) / 1e9, text);
        record.println(line);
        System.out.println(line);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    static void await(String what, long millis, Condition condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.holds()) {
            if (System.nanoTime() > end) throw new IllegalStateException("waited " + millis + " ms for " + what);
            sleep(20);
        }
    }

    Runner runner(String id, String service, Runner.Script script) throws IOException {
        return runner(id, service, 0, script);
    }

    Runner runner(String id, String service, int receiveBuffer, Runner.Script script) throws IOException {
        Runner runner = new Runner(this, id, service, receiveBuffer, script);
        parts.add(runner);
        return runner;
    }

    /** Writes the operator's configuration of a small deployment. */
    void configure(int version, long prepaid, String moreRoutes) {
        store.put("op/config", """
            {"version":%d,"routes":[
             {"name":"r-read","host":"ficu95.example","path_prefix":"/read/","kind":"safe","timeout_ms":2000,
              "goal_ms":300,"priority":2,"service":"registry","max_attempts":2,"auth_exempt":false},
             {"name":"r-issue","host":"ficu95.example","path_prefix":"/issue/","kind":"unsafe","timeout_ms":2000,
              "goal_ms":300,"priority":2,"service":"registry","max_attempts":1,"auth_exempt":false},
             {"name":"r-query","host":"ficu95.example","path_prefix":"/query/","kind":"streaming","timeout_ms":12000,
              "goal_ms":400,"priority":0,"service":"advisor","max_attempts":2,"auth_exempt":false,"sticky":true,
              "resumable":true,"gap_goal_ms":300}%s],
             "services":[
              {"name":"registry","health_path":"/health","max_conns":110,"protocol":"h1","tls":false},
              {"name":"advisor","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,
               "engine":{"slots":64,"kv_capacity":709070,"stride":5,"models":[{"name":"m"}]}}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
              "idle_timeout_ms":15000},
             "tenants":[{"name":"hule930","api_keys":["%s"],"priority":1,"prepaid":%d}]}
            """.formatted(version, moreRoutes, KEY, prepaid));
    }

    /** Starts an entry router with the deploy file's command and waits until it is ready. */
    Router router(String node) throws Exception {
        Router router = prepared(node);
        startProcess(router);
        await(node + " to be ready", 30_000, () -> router.readiness() == 200);
        note(node + " is ready");
        return router;
    }

    Router prepared(String node) throws IOException {
        int number = routers.size() + 1;
        String ip = ip(number);
        int front = freePort(ip);
        int ready = freePort(ip);
        int control = freePort(ip);
        int first = freePort(ip);
        File boot = new File(dir, node + ".conf");
        Files.writeString(boot.toPath(), settings(node, ip, front, ready, control, first));
        Router router = new Router(node, ip, front, ready, boot, new File(dir, node + ".log"));
        routers.add(router);
        return router;
    }

    void startProcess(Router router) throws IOException {
        List<String> command = List.of(runCommand().split(" "));
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> kept = new HashMap<>();
        for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            String value = System.getenv(name);
            if (value != null) kept.put(name, value);
        }
        builder.environment().clear();
        builder.environment().putAll(kept);
        builder.environment().put("HEMLOCKPOND_BOOT", router.boot.getPath());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(router.log));
        router.process = builder.start();
        note("started " + router.node);
    }

    /** The run command of the role that carries the traffic. */
    private static String runCommand() throws IOException {
        Matcher match = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!match.find()) throw new IOException("no run command in the deploy file");
        return match.group(1);
    }

    private String settings(String node, String ip, int front, int ready, int control, int first) {
        return """
            node=%1$s
            role=entry
            machine_class=edge
            serves=edge
            ip=%2$s
            zone=a
            region=r
            zones.a=r
            zones.b=r
            zones.c=r
            listen.front=%2$s:%3$d
            listen.ready=%2$s:%4$d
            listen.control=%2$s:%5$d
            port_range=%6$d,%7$d
            first_start=true
            in_tolerance=false
            limits.cpu_share=0.75
            limits.cores=1
            limits.memory_mb=430
            limits.max_fds=4100
            discovery=platform
            entry=vip
            heartbeat_ms=1200
            contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,rollout,pressure,platform
            fault_tolerance.machines=2
            fault_tolerance.zones=1
            fault_tolerance.regions=0
            bounds.contact_ms=3000
            bounds.ack_ms=4000
            bounds.catch_up_s=4
            bounds.drain_ms=2000
            bounds.grace_s=8
            bounds.lost_slack_ms=200
            bounds.config_apply_ms=2000
            bounds.rollback_slack_ms=250
            bounds.max_stretch_ms=5000
            bounds.recovery_s=12
            bounds.settle_ms=1500
            platform.address=%8$s
            platform.form=kv
            platform.writes_per_s=400
            platform.reads_per_s=2000
            platform.history_s=20
            platform.value_bytes=1048576
            platform.ttl_min_ms=1000
            """.formatted(node, ip, front, ready, control, first, first + 15, store.address());
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    private void endProcesses() {
        for (Router router : routers) {
            if (router.process != null) router.process.destroyForcibly();
        }
    }

    @Override
    public void close() throws Exception {
        endProcesses();
        for (Router router : routers) {
            if (router.process != null) router.process.waitFor(5, TimeUnit.SECONDS);
        }
        for (AutoCloseable part : parts) part.close();
        store.close();
        File[] files = dir.listFiles();
        if (System.getenv("KEEP_LOGS") == null) {
            for (File file : files == null ? new File[0] : files) Files.deleteIfExists(file.toPath());
            Files.deleteIfExists(dir.toPath());
        } else {
            note("logs in " + dir);
        }
        record.close();
    }
}
