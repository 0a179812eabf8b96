import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/**
 * A stand-in for the platform's metadata store: items with revisions, transactions, leases, watches, and
 * the era. Each machine gets an address of its own, so that the stand-in knows who calls.
 */
final class Store {
    static final class Item {
        final String key, value; final long revision, created, lease;
        Item(String key, String value, long revision, long created, long lease) {
            this.key = key; this.value = value; this.revision = revision; this.created = created; this.lease = lease;
        }
    }
    private static final class Event { final String key; final Item item; final long revision; final long at;
        Event(String key, Item item, long revision) { this.key = key; this.item = item; this.revision = revision; at = System.currentTimeMillis(); } }
    /** What a copy of the store holds. */
    static final class Copy { TreeMap<String, Item> items; long revision; Map<Long, Long> leases; }
    interface Calls { void answered(String machine, String method, String path, Map<String, String> query, int status); }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final ArrayDeque<Event> history = new ArrayDeque<>();
    private long forgotten = 0;
    private long revision = 100;
    private final Map<Long, Long> leases = new HashMap<>();
    private final Map<Long, Long> leaseTtl = new HashMap<>();
    private long nextLease = 1000;
    private long era = 1;
    private volatile boolean away;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    volatile Calls calls = (m, a, p, q, s) -> { };
    private final ExecutorService pool = Executors.newCachedThreadPool(r -> { Thread t = new Thread(r); t.setDaemon(true); return t; });

    Store() {
        pool.execute(() -> { while (true) { Rig.sleep(100); expire(); } });
    }

    /** Listens for the calls of [machine] on a free port of a loopback address. */
    InetSocketAddress listenFor(String machine) throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress("127.0.0.1", 0), 256);
        InetSocketAddress at = (InetSocketAddress) server.getLocalSocketAddress();
        addresses.put(machine, at);
        pool.execute(() -> {
            while (true) {
                try {
                    Socket s = server.accept();
                    if (away) { reset(s); continue; }
                    open.add(s);
                    pool.execute(() -> serve(machine, s));
                } catch (IOException e) { return; }
            }
        });
        return at;
    }

    private static void reset(Socket s) { try { s.setSoLinger(true, 0); s.close(); } catch (IOException e) { } }

    /** The store stops answering: open channels are reset, new ones too. */
    void goAway() { away = true; for (Socket s : open) reset(s); }

    synchronized Copy copy() { Copy c = new Copy(); c.items = new TreeMap<>(items); c.revision = revision; c.leases = new HashMap<>(leases); return c; }

    /** Comes back from [copy]; what was written since is gone, leases too, and the era rises by one. */
    void comeBack(Copy copy) {
        synchronized (this) {
            items.clear(); items.putAll(copy.items); revision = copy.revision; history.clear(); forgotten = copy.revision;
            leases.clear(); long now = System.currentTimeMillis();
            for (Long l : copy.leases.keySet()) leases.put(l, now + leaseTtl.get(l));
            era++;
            notifyAll();
        }
        away = false;
    }

    synchronized long era() { return era; }

    private void serve(String machine, Socket s) {
        try (s) {
            s.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            while (true) {
                Http r = Http.request(in);
                if (r == null) return;
                String path = r.target().contains("?") ? r.target().substring(0, r.target().indexOf('?')) : r.target();
                Map<String, String> q = Http.query(r.target());
                StringBuilder body = new StringBuilder();
                int status = answer(r, path, q, body);
                if (away) { reset(s); return; }
                byte[] b = Http.bytes(body.toString());
                out.write(Http.bytes("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nStore-Era: " + era()
                    + "\r\nContent-Length: " + b.length + "\r\n\r\n"));
                out.write(b);
                out.flush();
                calls.answered(machine, r.method(), path, q, status);
            }
        } catch (IOException | RuntimeException e) {
            // The caller has gone.
        } finally { open.remove(s); }
    }

    private int answer(Http r, String path, Map<String, String> q, StringBuilder out) {
        String text = new String(r.body, StandardCharsets.UTF_8);
        if (path.equals("/-/kv-key")) return key(q, out);
        if (path.equals("/-/kv-range")) return range(q, out);
        if (path.equals("/-/kv-watch")) return watch(q, out);
        if (path.equals("/-/kv-txn")) return txn(Json.object(text), out, false);
        if (path.equals("/-/kv-lease")) return lease(Json.object(text), out);
        if (path.startsWith("/-/kv-keep/")) return keep(Long.parseLong(path.substring(11)), out);
        if (path.startsWith("/-/kv-lease-end/")) return end(Long.parseLong(path.substring(16)), out);
        out.append("{}");
        return 404;
    }

    private static String json(Item i) {
        return "{\"key\":" + Json.quote(i.key) + ",\"value\":\"" + Base64.getEncoder().encodeToString(Http.bytes(i.value))
            + "\",\"revision\":" + i.revision + ",\"create_rev\":" + i.created + ",\"lease\":" + i.lease;
    }

    private synchronized int key(Map<String, String> q, StringBuilder out) {
        Item i = items.get(q.get("key"));
        if (i == null) { out.append("{\"current_rev\":").append(revision).append("}"); return 404; }
        out.append(json(i)).append(",\"current_rev\":").append(revision).append("}");
        return 200;
    }

    private synchronized int range(Map<String, String> q, StringBuilder out) {
        String prefix = q.get("path_prefix"), after = q.getOrDefault("after", "");
        StringJoiner j = new StringJoiner(",");
        int n = 0; boolean more = false;
        for (Item i : items.tailMap(prefix, true).values()) {
            if (!i.key.startsWith(prefix)) break;
            if (!after.isEmpty() && i.key.compareTo(after) <= 0) continue;
            if (n == 500) { more = true; break; }
            j.add(json(i) + "}"); n++;
        }
        out.append("{\"items\":[").append(j).append("],\"more_pages\":").append(more).append(",\"current_rev\":").append(revision).append("}");
        return 200;
    }

    private synchronized int watch(Map<String, String> q, StringBuilder out) {
        String prefix = q.get("path_prefix");
        long after = Long.parseLong(q.get("after"));
        long until = System.currentTimeMillis() + Math.min(30000, Long.parseLong(q.getOrDefault("wait_ms", "0")));
        long startEra = era;
        while (true) {
            if (era != startEra || after < forgotten || after > revision) { out.append("{}"); return 410; }
            StringJoiner j = new StringJoiner(",");
            int n = 0;
            for (Event e : history) {
                if (e.revision <= after || !e.key.startsWith(prefix)) continue;
                n++;
                j.add(e.item == null ? "{\"key\":" + Json.quote(e.key) + ",\"revision\":" + e.revision + ",\"deleted\":true}" : json(e.item) + "}");
            }
            long left = until - System.currentTimeMillis();
            if (n > 0 || left <= 0) {
                out.append("{\"events\":[").append(j).append("],\"current_rev\":").append(revision).append("}");
                return 200;
            }
            try { wait(left); } catch (InterruptedException e) { throw new IllegalStateException(e); }
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized int txn(Map<String, Object> t, StringBuilder out, boolean operator) {
        StringJoiner failed = new StringJoiner(",");
        boolean ok = true;
        for (Object o : (List<Object>) t.getOrDefault("precondition", List.of())) {
            Map<String, Object> c = (Map<String, Object>) o;
            Item i = items.get(c.get("key"));
            if ((i == null ? 0 : i.revision) != (Long) c.get("revision")) ok = false;
            if (i != null) failed.add(json(i) + "}");
        }
        if (!ok) { out.append("{\"items\":[").append(failed).append("]}"); return 412; }
        List<Object> puts = (List<Object>) t.getOrDefault("puts", List.of());
        List<Object> deletes = (List<Object>) t.getOrDefault("delete", List.of());
        for (Object o : puts) {
            Map<String, Object> p = (Map<String, Object>) o;
            String k = (String) p.get("key");
            if (!operator && (k.startsWith("op/") || k.startsWith("servers/"))) { out.append("{}"); return 403; }
            long l = (Long) p.getOrDefault("lease", 0L);
            if (l != 0 && !leases.containsKey(l)) { out.append("{}"); return 404; }
        }
        revision++;
        for (Object o : puts) {
            Map<String, Object> p = (Map<String, Object>) o;
            String v = new String(Base64.getDecoder().decode((String) p.get("value")), StandardCharsets.UTF_8);
            set((String) p.get("key"), v, (Long) p.getOrDefault("lease", 0L));
        }
        for (Object o : deletes) remove((String) o);
        notifyAll();
        out.append("{\"revision\":").append(revision).append("}");
        return 200;
    }

    private void set(String key, String value, long lease) {
        Item old = items.get(key);
        Item i = new Item(key, value, revision, old == null ? revision : old.created, lease);
        items.put(key, i);
        history.add(new Event(key, i, revision));
        trim();
    }

    private void remove(String key) {
        if (items.remove(key) == null) return;
        history.add(new Event(key, null, revision));
        trim();
    }

    private void trim() {
        long limit = System.currentTimeMillis() - 20000;
        while (!history.isEmpty() && history.peek().at < limit) forgotten = history.poll().revision;
    }

    /** A write of the operator or of a runner; returns the time of the confirmation. */
    synchronized long put(String key, String value) {
        revision++; set(key, value, 0); notifyAll();
        return System.currentTimeMillis();
    }

    synchronized long delete(String key) {
        revision++; remove(key); notifyAll();
        return System.currentTimeMillis();
    }

    synchronized String get(String key) { Item i = items.get(key); return i == null ? null : i.value; }

    synchronized List<String> keys(String prefix) {
        List<String> l = new ArrayList<>();
        for (String k : items.keySet()) if (k.startsWith(prefix)) l.add(k);
        return l;
    }

    private synchronized int lease(Map<String, Object> t, StringBuilder out) {
        long ttl = ((Number) t.get("ttl_ms")).longValue(), id = ++nextLease;
        leases.put(id, System.currentTimeMillis() + ttl); leaseTtl.put(id, ttl);
        out.append("{\"lease\":").append(id).append(",\"ttl_ms\":").append(ttl).append("}");
        return 200;
    }

    private synchronized int keep(long id, StringBuilder out) {
        if (!leases.containsKey(id)) { out.append("{}"); return 404; }
        leases.put(id, System.currentTimeMillis() + leaseTtl.get(id));
        out.append("{\"ttl_ms\":").append(leaseTtl.get(id)).append("}");
        return 200;
    }

    private synchronized int end(long id, StringBuilder out) {
        out.append("{}");
        if (leases.remove(id) == null) return 404;
        dropLease(id);
        return 200;
    }

    private void dropLease(long id) {
        List<String> gone = new ArrayList<>();
        for (Item i : items.values()) if (i.lease == id) gone.add(i.key);
        if (gone.isEmpty()) return;
        revision++;
        for (String k : gone) remove(k);
        notifyAll();
    }

    private synchronized void expire() {
        if (away) return;
        long now = System.currentTimeMillis();
        for (Long id : new ArrayList<>(leases.keySet())) {
            if (leases.get(id) > now) continue;
            leases.remove(id);
            dropLease(id);
        }
    }
}
