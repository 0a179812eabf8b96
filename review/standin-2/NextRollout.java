import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * EXPOSURE: a bad version that was rolled back gets requests again as soon as the operator orders the next
 * version, while its runners are still there.
 */
public final class NextRollout {
    static final int PERIOD_S = 12, ROLLBACK_MS = 5000, SLACK = 50;
    static final double SHARE = 0.1;
    /** After `rolled_back` the new runners drain some seconds later. */
    static final int DRAIN_AFTER_MS = 8000;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        Store store = rig.store;
        store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"orders\",\"host\":\"app.example\",\"path_prefix\":\"/orders/\",\"kind\":\"unsafe\","
            + "\"timeout_ms\":2000,\"goal_ms\":300,\"priority\":1,\"service\":\"desk\",\"max_attempts\":1,\"auth_exempt\":false}],"
            + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":110}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"coop\",\"api_keys\":[\"key-1\"],\"priority\":1}]}");
        AtomicLong bad = new AtomicLong();
        List<Long> badAt = Collections.synchronizedList(new ArrayList<>());
        Runner.Work good = (runner, r, out) -> { Rig.sleep(85); Runner.plain(out, 200, runner.seal(r), "{\"ok\":true}"); };
        Runner.Work faulty = (runner, r, out) -> {
            Rig.sleep(85);
            boolean fails = bad.incrementAndGet() % 2 == 0;
            if (fails) badAt.add(System.currentTimeMillis());
            Runner.plain(out, fails ? 500 : 200, runner.seal(r), "{\"ok\":" + !fails + "}");
        };
        List<Runner> all = new ArrayList<>(), second = new ArrayList<>();
        for (int i = 1; i <= 4; i++) all.add(new Runner(store, "i-v1-" + i, "desk", "v1", 6, good));
        List<String> zones = List.of("zone-a", "zone-b", "zone-c");
        List<Rig.Host> hosts = new ArrayList<>();
        for (int i = 0; i < 3; i++) hosts.add(rig.new Host("edge-" + (i + 1), zones.get(i), i + 1, zones, Rig.bounds()));
        for (Rig.Host h : hosts) h.start();
        if (!rig.awaitReady(hosts, 30000)) rig.end(2, "the hosts didn't start");
        Map<Integer, AtomicInteger> statuses = new ConcurrentSkipListMap<>();
        AtomicBoolean stop = new AtomicBoolean();
        for (Rig.Host h : hosts) for (int k = 0; k < 6; k++) {
            Thread t = new Thread(() -> {
                while (!stop.get()) {
                    Rig.Answer a = Rig.send(h, "POST", "/orders/1", Map.of("Api-Key", "key-1"), "one order", 2000);
                    statuses.computeIfAbsent(a.status, x -> new AtomicInteger()).incrementAndGet();
                    Rig.sleep(20);
                }
            });
            t.setDaemon(true); t.start();
        }
        Rig.sleep(2000);
        long ordered = store.put("op/rollout/desk", "{\"service\":\"desk\",\"target\":\"v2\",\"period_s\":" + PERIOD_S + "}");
        rig.say("the operator orders v2");
        for (int i = 1; i <= 4; i++) { Runner r = new Runner(store, "i-v2-" + i, "desk", "v2", 6, faulty); second.add(r); all.add(r); }
        long rolledBack = 0;
        while (System.currentTimeMillis() < ordered + PERIOD_S * 1000L) {
            String s = store.get("status/rollout/desk");
            if (s != null && s.contains("rolled_back") && s.contains("v2")) { rolledBack = System.currentTimeMillis(); rig.say("status " + s); break; }
            Rig.sleep(20);
        }
        if (rolledBack == 0) rig.end(2, "v2 wasn't rolled back");
        int before = 0;
        Rig.sleep(1500);
        for (Runner r : second) before += r.runs.size();
        rig.say("runners of v2 have run " + before + " requests");
        if (Rig.TROUBLE) {
            store.put("op/rollout/desk", "{\"service\":\"desk\",\"target\":\"v3\",\"period_s\":" + PERIOD_S + "}");
            rig.say("the operator orders v3");
            for (int i = 1; i <= 4; i++) all.add(new Runner(store, "i-v3-" + i, "desk", "v3", 6, good));
        }
        Rig.sleep(rolledBack + DRAIN_AFTER_MS - System.currentTimeMillis());
        for (Runner r : second) { r.state = "draining"; r.beat(); }
        rig.say("the runners of v2 drain");
        Rig.sleep(ordered + PERIOD_S * 1000L + 500 - System.currentTimeMillis());
        stop.set(true);
        Rig.sleep(500);
        int total = 0, v2 = 0, late = 0;
        long fiftieth = badAt.size() >= 50 ? badAt.get(49) : Long.MAX_VALUE;
        for (Runner r : all) for (Runner.Run run : r.runs) {
            if (run.at < ordered || run.at > ordered + PERIOD_S * 1000L) continue;
            total++;
            if (r.version.equals("v2")) {
                v2++;
                rig.note(run.at, r.id + " runs " + run.id);
                if (fiftieth < Long.MAX_VALUE && run.at > fiftieth + ROLLBACK_MS) late++;
            }
        }
        rig.say("answers by status: " + statuses);
        rig.say(total + " requests reached the service between the order of v2 and its time limit, " + v2 + " of them v2; allowed are "
            + Math.round(total * SHARE + SLACK) + "; " + badAt.size() + " bad answers; " + late + " requests later than rollback_ms after the 50th");
        if (total < 500) rig.end(2, "too few requests were served");
        boolean broken = v2 > total * SHARE + SLACK || late > 0;
        rig.end(broken ? 1 : 0, broken ? "EXPOSURE broken" : "EXPOSURE held");
    }
}
