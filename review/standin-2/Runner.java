import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** A stand-in for a runner: it registers in the store, answers requests and notes what reaches it. */
final class Runner {
    /** A request that this runner began to run. */
    static final class Run { final String id, model; final long at; Run(String id, String model, long at) { this.id = id; this.model = model; this.at = at; } }
    interface Work { void run(Runner runner, Http request, OutputStream out) throws IOException; }

    final String id, service, version;
    final int slots;
    final InetSocketAddress address;
    final long born = System.currentTimeMillis();
    final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Store store;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final AtomicLong seq = new AtomicLong();
    private final Work work;
    private volatile long beatAt;
    volatile boolean listed = true, ended = false;
    volatile String state = "ready";
    private final ExecutorService pool = Executors.newCachedThreadPool(r -> { Thread t = new Thread(r); t.setDaemon(true); return t; });

    Runner(Store store, String id, String service, String version, int slots, Work work) throws IOException {
        this.store = store; this.id = id; this.service = service; this.version = version; this.slots = slots; this.work = work;
        server = new ServerSocket();
        server.bind(new InetSocketAddress("127.0.0.1", 0), 512);
        address = (InetSocketAddress) server.getLocalSocketAddress();
        beat();
        pool.execute(() -> {
            while (!ended) {
                long due = beatAt + 1200 - System.currentTimeMillis();
                if (due > 0) Rig.sleep(due); else if (listed) beat(); else return;
            }
        });
        pool.execute(() -> {
            while (!ended) {
                try { Socket s = server.accept(); open.add(s); pool.execute(() -> serve(s)); } catch (IOException e) { return; }
            }
        });
    }

    /** Writes this runner's entry, as it does about every heartbeat interval. */
    synchronized long beat() {
        beatAt = System.currentTimeMillis();
        return store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + address.getPort()
            + "\",\"zone\":\"zone-a\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_left_ms\":0,\"born\":"
            + born + ",\"seq\":" + seq.incrementAndGet() + "}");
    }

    /** The entry is removed; the runner goes on serving. Returns the time of the store's confirmation. */
    synchronized long unlist() { listed = false; return store.delete("servers/" + id); }

    /** The process ends: the listener closes and open channels break off. */
    void exit() {
        ended = true;
        try { server.close(); } catch (IOException e) { }
        for (Socket s : open) { try { s.setSoLinger(true, 0); s.close(); } catch (IOException e) { } }
    }

    private void serve(Socket s) {
        try (s) {
            s.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = new BufferedOutputStream(s.getOutputStream());
            while (!ended) {
                Http r = Http.request(in);
                if (r == null) return;
                if (r.target().equals("/health") || r.target().startsWith("/-/")) {
                    plain(out, 200, "Instance-Id: " + id + "\r\n", "{}");
                    continue;
                }
                String target = r.header("target-instance");
                if (target != null && !target.equals(id)) {
                    plain(out, 421, "Instance-Id: " + id + "\r\n", "");
                    continue;
                }
                runs.add(new Run(r.header("attempt-id"), r.header("model"), System.currentTimeMillis()));
                work.run(this, r, out);
                out.flush();
            }
        } catch (IOException | RuntimeException e) {
            // The channel is gone.
        } finally { open.remove(s); }
    }

    /** Headers of an own answer to [r]. A runner that leaves says so in all its answers. */
    String seal(Http r) {
        boolean leaves = !listed || state.equals("draining");
        return "Attempt-Id: " + r.header("attempt-id") + "\r\nResponse-Seal: s." + r.header("attempt-id") + "\r\n" + (leaves ? "Server-Leaving: 1\r\n" : "");
    }

    static void plain(OutputStream out, int status, String headers, String body) throws IOException {
        byte[] b = Http.bytes(body);
        out.write(Http.bytes("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + b.length + "\r\n\r\n"));
        out.write(b);
        out.flush();
    }
}
