import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Starts and stops entry routers as processes, sends requests, and writes the record of a case. */
final class Rig implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long begin = System.currentTimeMillis();
    private final Path folder;
    private final List<Host> hosts = new CopyOnWriteArrayList<>();
    final Store store = new Store();
    private static final AtomicLong ids = new AtomicLong(System.nanoTime());

    Rig(Path record) throws IOException {
        this.record = new PrintWriter(Files.newBufferedWriter(record), true);
        folder = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Thread.currentThread().setUncaughtExceptionHandler((t, e) -> { e.printStackTrace(); end(2, "the case couldn't run: " + e); });
        Thread limit = new Thread(() -> { sleep(110_000); end(2, "the case took too long"); });
        limit.setDaemon(true);
        limit.start();
        say("disruption: " + (TROUBLE ? "yes" : "no (TROUBLE=0)"));
    }

    static void sleep(long millis) { try { Thread.sleep(Math.max(0, millis)); } catch (InterruptedException e) { throw new IllegalStateException(e); } }

    static String newId() { return Long.toHexString(ids.incrementAndGet() * 0x9E3779B97F4A7C15L); }

    long time() { return System.currentTimeMillis() - begin; }

    long time(long at) { return at - begin; }

    synchronized void say(String text) { record.printf("%8.3f s  %s%n", time() / 1000.0, text); System.out.printf("%8.3f s  %s%n", time() / 1000.0, text); }

    /** Writes a line to the record alone. */
    synchronized void note(long at, String text) { record.printf("%8.3f s  %s%n", time(at) / 1000.0, text); }

    /** One entry host. Its addresses are its own, so that hosts can use the same ports. */
    final class Host {
        final String name, ip;
        final int front, ready;
        private final Path boot, log;
        volatile Process process;

        Host(String name, String zone, int number, List<String> zones, Map<String, String> bounds) throws IOException {
            this.name = name;
            ip = "127.77." + (1 + (int) (ProcessHandle.current().pid() % 200)) + "." + (10 + number);
            front = freePort(ip); ready = freePort(ip);
            int control = freePort(ip), peers = freePort(ip);
            InetSocketAddress kv = store.listenFor(name);
            StringBuilder b = new StringBuilder();
            b.append("node=" + name + "\nrole=entry\nmachine_class=edge\nserves=edge\nip=" + ip + "\nzone=" + zone + "\nregion=region-a\n");
            for (String z : zones) b.append("zones." + z + "=region-a\n");
            b.append("listen.front=" + ip + ":" + front + "\nlisten.ready=" + ip + ":" + ready + "\nlisten.control=" + ip + ":" + control + "\n");
            b.append("port_range=" + peers + "," + (peers + 15) + "\nfirst_start=true\nin_tolerance=false\nlimits.cpu_share=0.75\nlimits.cores=1\n"
                + "limits.memory_mb=430\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n"
                + "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,rollout,pressure,platform\n");
            bounds.forEach((k, v) -> b.append("bounds." + k + "=" + v + "\n"));
            b.append("platform.address=127.0.0.1:" + kv.getPort() + "\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
                + "platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n");
            boot = folder.resolve(name + ".conf");
            log = folder.resolve(name + ".log");
            Files.writeString(boot, b);
            hosts.add(this);
        }

        void start() throws IOException {
            ProcessBuilder p = new ProcessBuilder(command());
            p.environment().put("HEMLOCKPOND_BOOT", boot.toString());
            p.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = p.start();
            say(name + " started");
        }

        boolean isReady() {
            try {
                HttpURLConnection c = (HttpURLConnection) new URL("http://" + ip + ":" + ready + "/-/readiness").openConnection();
                c.setConnectTimeout(500); c.setReadTimeout(500);
                return c.getResponseCode() == 200;
            } catch (IOException e) { return false; }
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
            say(this.name + " gets SIG" + name);
        }

        List<String> logLines(String containing) throws IOException {
            List<String> l = new ArrayList<>();
            for (String s : Files.readAllLines(log)) if (s.contains(containing)) l.add(s);
            return l;
        }
    }

    /** The run command of the deploy file. */
    private static List<String> command() throws IOException {
        for (String l : Files.readAllLines(Path.of("deploy/system.toml")))
            if (l.startsWith("run = ")) return List.of(l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')).split(" +"));
        throw new IOException("no run command");
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket s = new ServerSocket()) { s.bind(new InetSocketAddress(ip, 0)); return s.getLocalPort(); }
    }

    /** Waits until all [hosts] are ready; false after the time. */
    boolean awaitReady(Collection<Host> hosts, long millis) {
        long until = System.currentTimeMillis() + millis;
        for (Host h : hosts) while (!h.isReady()) { if (System.currentTimeMillis() > until) { say(h.name + " isn't ready"); return false; } sleep(50); }
        say("all hosts are ready");
        return true;
    }

    /** The bounds of the users' small deployments. */
    static Map<String, String> bounds() {
        Map<String, String> m = new LinkedHashMap<>();
        String[] all = {"seed_lag_s=3", "reuse_delay_s=2", "contact_ms=3000", "ack_ms=4000", "catch_up_s=4", "drain_ms=2000", "grace_s=8",
            "lost_slack_ms=200", "config_apply_ms=2000", "rollback_slack_ms=250", "max_stretch_ms=5000", "strict_revoke=false", "revoke_ms=5000",
            "retry_budget_ratio=0.2", "budget_window_s=10", "retry_slack=56", "exposure_share=0.1", "exposure_slack=50", "rollback_ms=5000",
            "recovery_s=12", "pass_ms=120", "reuse_window_s=10", "settle_ms=1500"};
        for (String a : all) m.put(a.substring(0, a.indexOf('=')), a.substring(a.indexOf('=') + 1));
        return m;
    }

    /** What a consumer saw of one attempt. [status] is 0 if the channel ended without a whole head. */
    static final class Answer {
        String id; String host; int status; boolean whole; String body = ""; long sentAt, endedAt; String seal; String retryAfter;
        int events;
    }

    /** Sends one request on a new channel and reads its answer. */
    static Answer send(Host host, String method, String path, Map<String, String> headers, String body, int timeoutMillis) {
        Answer a = new Answer();
        a.id = newId(); a.host = host.name; a.sentAt = System.currentTimeMillis();
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(host.ip, host.front), 1000);
            s.setSoTimeout(timeoutMillis + 1000);
            s.setTcpNoDelay(true);
            StringBuilder b = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + a.id
                + "\r\nDeadline-Ms: " + timeoutMillis + "\r\nConnection: close\r\n");
            headers.forEach((k, v) -> b.append(k + ": " + v + "\r\n"));
            byte[] data = Http.bytes(body);
            if (!method.equals("GET")) b.append("Content-Length: " + data.length + "\r\n");
            b.append("\r\n");
            s.getOutputStream().write(Http.bytes(b.toString()));
            if (!method.equals("GET")) s.getOutputStream().write(data);
            InputStream in = new BufferedInputStream(s.getInputStream());
            Http h = Http.head(in);
            if (h == null) return a;
            a.status = Integer.parseInt(h.start.split(" ")[1]);
            a.seal = h.header("response-seal");
            a.retryAfter = h.header("retry-after");
            StringBuilder all = new StringBuilder();
            if ("chunked".equalsIgnoreCase(h.header("transfer-encoding"))) {
                while (true) {
                    String l = Http.line(in);
                    if (l == null) break;
                    int n = Integer.parseInt(l.trim(), 16);
                    if (n == 0) { a.whole = true; break; }
                    byte[] part = in.readNBytes(n);
                    all.append(new String(part, java.nio.charset.StandardCharsets.UTF_8));
                    if (part.length < n) break;
                    Http.line(in);
                }
            } else if (h.header("content-length") != null) {
                int n = Integer.parseInt(h.header("content-length"));
                byte[] part = in.readNBytes(n);
                all.append(new String(part, java.nio.charset.StandardCharsets.UTF_8));
                a.whole = part.length == n;
            }
            a.body = all.toString();
            int at = -1;
            while ((at = a.body.indexOf("\n\n", at + 1)) >= 0) a.events++;
        } catch (IOException | RuntimeException e) {
            // The answer stays as it is.
        } finally { a.endedAt = System.currentTimeMillis(); }
        return a;
    }

    /** Ends the case with [code]: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    void end(int code, String text) {
        say(text);
        say("exit code " + code);
        close();
        record.flush();
        Runtime.getRuntime().halt(code);
    }

    @Override public synchronized void close() {
        for (Host h : hosts) if (h.process != null) h.process.destroyForcibly();
        for (Host h : hosts) if (h.process != null) try { h.process.waitFor(5, TimeUnit.SECONDS); } catch (InterruptedException e) { }
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) { try { for (Host h : hosts) Files.copy(h.log, Path.of(keep, h.name + ".log"), StandardCopyOption.REPLACE_EXISTING); } catch (IOException e) { } }
        try { for (Host h : hosts) { Files.deleteIfExists(h.boot); Files.deleteIfExists(h.log); } Files.deleteIfExists(folder); } catch (IOException e) { }
    }
}
