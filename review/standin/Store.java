import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A sound stand-in of the platform's store: items, watches, transactions and leases. */
final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;

    private record Item(String value, long revision, long created, long lease) {}

    private record Event(String key, Item item, long revision) {}

    private record Reply(int status, String body) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private long revision = 100;
    private long lastLease = 1000;
    private final HttpServer server;

    Store(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    void put(String key, String text) {
        put(key, text.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void put(String key, byte[] bytes) {
        write(key, Base64.getEncoder().encodeToString(bytes), 0, ++revision);
        notifyAll();
    }

    synchronized void delete(String key) {
        remove(key, ++revision);
        notifyAll();
    }

    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? null
            : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
    }

    private void write(String key, String value, long lease, long at) {
        Item before = items.get(key);
        Item item = new Item(value, at, before == null ? at : before.created(), lease);
        items.put(key, item);
        events.add(new Event(key, item, at));
    }

    private void remove(String key, long at) {
        if (items.remove(key) != null) events.add(new Event(key, null, at));
    }

    private void endLeases() {
        long now = System.currentTimeMillis();
        for (long lease : new ArrayList<>(leaseEnds.keySet())) {
            if (leaseEnds.get(lease) <= now) endLease(lease);
        }
    }

    private boolean endLease(long lease) {
        if (leaseEnds.remove(lease) == null) return false;
        long at = ++revision;
        for (String key : new ArrayList<>(items.keySet())) {
            if (items.get(key).lease() == lease) remove(key, at);
        }
        notifyAll();
        return true;
    }

    private void handle(HttpExchange http) throws IOException {
        Map<String, String> query = new HashMap<>();
        String raw = http.getRequestURI().getRawQuery();
        for (String part : (raw == null ? "" : raw).split("&")) {
            int eq = part.indexOf('=');
            if (eq > 0) query.put(part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
        }
        String body = new String(http.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Reply reply;
        try {
            reply = answer(http.getRequestMethod(), http.getRequestURI().getPath(), query, body);
        } catch (InterruptedException e) {
            return;
        }
        byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
        try {
            http.getResponseHeaders().add("Content-Type", "application/json");
            http.sendResponseHeaders(reply.status(), bytes.length);
            http.getResponseBody().write(bytes);
            http.close();
        } catch (IOException e) {
            http.close();
        }
    }

    private synchronized Reply answer(String method, String path, Map<String, String> query, String body)
        throws InterruptedException {
        endLeases();
        if (path.equals("/-/kv-key")) {
            Item item = items.get(query.get("key"));
            if (item == null) return new Reply(404, "{}");
            String json = json(query.get("key"), item);
            return new Reply(200, json.substring(0, json.length() - 1) + ",\"current_rev\":" + revision + "}");
        }
        if (path.equals("/-/kv-range")) return range(query);
        if (path.equals("/-/kv-watch")) return watch(query);
        if (path.equals("/-/kv-txn")) return transact(body);
        if (path.equals("/-/kv-lease")) {
            long ttl = (Long) ((Map<?, ?>) Json.parse(body)).get("ttl_ms");
            long lease = ++lastLease;
            leaseTtls.put(lease, ttl);
            leaseEnds.put(lease, System.currentTimeMillis() + ttl);
            return new Reply(200, "{\"lease\":" + lease + ",\"ttl_ms\":" + ttl + "}");
        }
        if (path.startsWith("/-/kv-keep/")) {
            long lease = Long.parseLong(path.substring("/-/kv-keep/".length()));
            if (!leaseEnds.containsKey(lease)) return new Reply(404, "{}");
            leaseEnds.put(lease, System.currentTimeMillis() + leaseTtls.get(lease));
            return new Reply(200, "{\"ttl_ms\":" + leaseTtls.get(lease) + "}");
        }
        if (path.startsWith("/-/kv-lease-end/") && method.equals("DELETE")) {
            boolean ended = endLease(Long.parseLong(path.substring("/-/kv-lease-end/".length())));
            return new Reply(ended ? 200 : 404, "{}");
        }
        return new Reply(404, "{}");
    }

    private static String json(String key, Item item) {
        return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + item.value() + "\",\"revision\":" + item.revision()
            + ",\"create_rev\":" + item.created() + ",\"lease\":" + item.lease() + "}";
    }

    private Reply range(Map<String, String> query) {
        List<String> rows = new ArrayList<>();
        boolean more = false;
        long bytes = 0;
        for (var entry : items.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
            if (!entry.getKey().startsWith(query.get("path_prefix"))) continue;
            if (rows.size() >= PAGE_ITEMS || bytes > 1_000_000) {
                more = true;
                break;
            }
            rows.add(json(entry.getKey(), entry.getValue()));
            bytes += entry.getValue().value().length();
        }
        return new Reply(200, "{\"items\":[" + String.join(",", rows) + "],\"more_pages\":" + more
            + ",\"current_rev\":" + revision + "}");
    }

    private Reply watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.currentTimeMillis() + Long.parseLong(query.get("wait_ms"));
        while (true) {
            endLeases();
            List<String> rows = new ArrayList<>();
            for (Event event : events) {
                if (event.revision() <= after || !event.key().startsWith(query.get("path_prefix"))) continue;
                rows.add(event.item() == null
                    ? "{\"key\":" + Json.quote(event.key()) + ",\"revision\":" + event.revision() + ",\"deleted\":true}"
                    : json(event.key(), event.item()));
            }
            long left = end - System.currentTimeMillis();
            if (!rows.isEmpty() || left <= 0) {
                return new Reply(200, "{\"events\":[" + String.join(",", rows) + "],\"current_rev\":" + revision + "}");
            }
            wait(Math.min(left, 200));
        }
    }

    private Reply transact(String body) {
        Map<?, ?> call = (Map<?, ?>) Json.parse(body);
        List<String> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : (List<?>) call.get("precondition")) {
            String key = (String) ((Map<?, ?>) row).get("key");
            Item item = items.get(key);
            if (item != null) current.add(json(key, item));
            holds &= (item == null ? 0 : item.revision()) == (Long) ((Map<?, ?>) row).get("revision");
        }
        if (!holds) return new Reply(412, "{\"items\":[" + String.join(",", current) + "]}");
        for (Object row : (List<?>) call.get("puts")) {
            long lease = ((Map<?, ?>) row).get("lease") instanceof Long l ? l : 0;
            if (lease != 0 && !leaseEnds.containsKey(lease)) return new Reply(404, "{}");
            String key = (String) ((Map<?, ?>) row).get("key");
            if (key.startsWith("op/") || key.startsWith("servers/")) return new Reply(403, "{}");
        }
        long at = ++revision;
        for (Object row : (List<?>) call.get("puts")) {
            Map<?, ?> put = (Map<?, ?>) row;
            write((String) put.get("key"), (String) put.get("value"), put.get("lease") instanceof Long l ? l : 0, at);
        }
        for (Object key : (List<?>) call.get("delete")) remove((String) key, at);
        notifyAll();
        return new Reply(200, "{\"revision\":" + at + "}");
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
