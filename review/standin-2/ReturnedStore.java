import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * BUDGET: a tenant gets more than its `prepaid`, because the store has returned from a copy some seconds old
 * after a machine was lost.
 */
public final class ReturnedStore {
    static final long PREPAID = 60_000;
    static final long FIRST = 25_000;
    static final int PROMPT = 200, EVENTS = 10, STRIDE = 5;

    static String config() {
        return "{\"version\":7,\"routes\":[{\"name\":\"chat\",\"host\":\"app.example\",\"path_prefix\":\"/chat/\",\"kind\":\"streaming\","
            + "\"timeout_ms\":12000,\"goal_ms\":400,\"priority\":1,\"service\":\"pool\",\"max_attempts\":1,\"auth_exempt\":false,\"sticky\":true,\"gap_goal_ms\":300}],"
            + "\"services\":[{\"name\":\"pool\",\"health_path\":\"/health\",\"max_conns\":370,\"engine\":{\"slots\":64,\"kv_capacity\":709070,\"stride\":" + STRIDE + "}}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"coop\",\"api_keys\":[\"key-1\"],\"priority\":1,\"prepaid\":" + PREPAID + "}]}";
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        Store store = rig.store;
        store.put("op/config", config());
        Runner.Work work = (runner, r, out) -> {
            Rig.sleep(20);
            out.write(Http.bytes("HTTP/1.1 200 OK\r\n" + runner.seal(r) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (int i = 1; i <= EVENTS; i++) {
                byte[] b = Http.bytes("id: " + i + "\ndata: five tokens\n\n");
                out.write(Http.bytes(Integer.toHexString(b.length) + "\r\n")); out.write(b); out.write(Http.bytes("\r\n"));
                out.flush();
                Rig.sleep(4);
            }
            out.write(Http.bytes("0\r\n\r\n"));
        };
        List<Runner> runners = new ArrayList<>();
        for (int i = 1; i <= 4; i++) runners.add(new Runner(store, "i-pool-" + i, "pool", "v1", 64, work));
        List<String> zones = List.of("zone-a", "zone-b", "zone-c");
        List<Rig.Host> hosts = new ArrayList<>();
        for (int i = 0; i < 6; i++) hosts.add(rig.new Host("edge-" + zones.get(i / 2).substring(5) + "-" + (1 + i % 2), zones.get(i / 2), i + 1, zones, Rig.bounds()));
        for (Rig.Host h : hosts) h.start();
        if (!rig.awaitReady(hosts, 30000)) rig.end(2, "the hosts didn't start");
        Rig.sleep(5000);

        Map<String, Long> readAt = new ConcurrentHashMap<>();
        store.calls = (machine, method, path, query, status) -> {
            String key = query.getOrDefault("key", query.getOrDefault("path_prefix", path.equals("/-/kv-txn") ? "hemlockpond/budgets/" : ""));
            if (!machine.startsWith("edge-a") && key.startsWith("hemlockpond/budgets/") && !path.equals("/-/kv-txn")) readAt.put(machine, System.currentTimeMillis());
        };
        AtomicLong tokens = new AtomicLong();
        List<Rig.Host> zoneA = hosts.subList(0, 2);
        AtomicReference<List<Rig.Host>> targets = new AtomicReference<>(zoneA);
        AtomicInteger pauseMs = new AtomicInteger(0);
        Map<Integer, AtomicInteger> statuses = new ConcurrentSkipListMap<>();
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger turn = new AtomicInteger();
        AtomicBoolean sending = new AtomicBoolean();
        for (int k = 0; k < 10; k++) {
            Thread t = new Thread(() -> {
                while (!stop.get()) {
                    if (targets.get() == zoneA ? (!sending.get() || tokens.get() >= FIRST) : false) { Rig.sleep(10); continue; }
                    List<Rig.Host> l = targets.get();
                    Rig.Host h = l.get(turn.incrementAndGet() % l.size());
                    Rig.Answer a = Rig.send(h, "POST", "/chat/1", Map.of("Api-Key", "key-1", "Model", "m", "Token-Counts", PROMPT + "," + EVENTS * STRIDE,
                        "Prompt-Prefix", "5c1e07a2:100," + Rig.newId() + ":100"), "a question", 5000);
                    statuses.computeIfAbsent(a.status, x -> new AtomicInteger()).incrementAndGet();
                    if (a.status == 200) {
                        long now = tokens.addAndGet(PROMPT + (long) a.events * STRIDE);
                        rig.note(a.endedAt, a.id + " at " + a.host + ": " + PROMPT + " tokens in, " + a.events * STRIDE + " out; " + now + " in all");
                    }
                    Rig.sleep(a.status == 200 ? pauseMs.get() : 300);
                }
            });
            t.setDaemon(true); t.start();
        }
        // The homes of the other zones read the record every few seconds. The tenant's requests begin between two of their reads.
        long until = System.currentTimeMillis() + 25000;
        while (true) {
            long now = System.currentTimeMillis();
            if (readAt.size() >= 2 && readAt.values().stream().allMatch(at -> now - at < 1800)) break;
            if (now > until) { rig.say("reads by the other zones: " + readAt.keySet()); break; }
            Rig.sleep(20);
        }
        Store.Copy copy = store.copy();
        rig.say("the copy of the store; " + tokens + " tokens used; record " + store.get("hemlockpond/budgets/coop"));
        sending.set(true);
                Rig.sleep(1200);
        rig.say("the tenant's requests have come for 1.2 s; " + tokens + " tokens used; record " + store.get("hemlockpond/budgets/coop"));
        // The machine of zone-a that holds the slice is lost.
        sending.set(false);
        String lost = store.get("hemlockpond/budgets/coop").replaceAll(".*\"(edge-a-\\d)/.*", "$1");
        Rig.Host holder = hosts.stream().filter(h -> h.name.equals(lost)).findFirst().orElse(null);
        if (holder == null) rig.end(2, "no machine of zone-a holds a slice");
        List<Rig.Host> left = new ArrayList<>(hosts);
        left.remove(holder);
        if (Rig.TROUBLE) holder.signal("KILL");
        Rig.sleep(200);
        if (Rig.TROUBLE) {
            store.goAway();
            rig.say("the store is away for a moment");
            Rig.sleep(1000);
            store.comeBack(copy);
            store.put("op/config", config());
            for (Runner r : runners) r.beat();
            rig.say("the store is back from the copy; the operator and the runners have written again");
        }
        targets.set(left);
        sending.set(true);
        Rig.sleep(25000);
        stop.set(true);
        Rig.sleep(500);
        rig.say("answers by status: " + statuses + "; record " + store.get("hemlockpond/budgets/coop"));
        rig.say(tokens + " tokens were delivered, " + PREPAID + " are prepaid");
        if (tokens.get() < PREPAID / 2) rig.end(2, "too few requests were served");
        rig.end(tokens.get() > PREPAID ? 1 : 0, tokens.get() > PREPAID ? "BUDGET broken" : "BUDGET held");
    }
}
