import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * DRAIN: a runner that leaves without reporting `draining` gets requests for longer than `drain_ms` after the
 * store has removed its entry, from machines in touch, because another machine of their zone froze.
 */
public final class LeavingRunner {
    /** The bounds of the small deployments, or with BOUNDS=grown those of the grown ones, whose zones have as many machines. */
    static final boolean GROWN = "grown".equals(System.getenv("BOUNDS"));
    static final int DRAIN_MS = GROWN ? 3000 : 2000, CONTACT_MS = GROWN ? 4000 : 3000, FREEZE_MS = 4000, HOSTS = 7;
    /** How long before the machine wakes the runner's entry is removed. */
    static final int LEAD_MS = GROWN ? 1000 : 500;
    /** What a request that reaches the runner at the limit is allowed beyond it. */
    static final int MARGIN_MS = 100;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        Store store = rig.store;
        store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"orders\",\"host\":\"app.example\",\"path_prefix\":\"/orders/\",\"kind\":\"unsafe\","
            + "\"timeout_ms\":2000,\"goal_ms\":300,\"priority\":1,\"service\":\"desk\",\"max_attempts\":1,\"auth_exempt\":false}],"
            + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":110}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"coop\",\"api_keys\":[\"key-1\"],\"priority\":1}]}");
        Runner.Work work = (runner, r, out) -> { Rig.sleep(85); Runner.plain(out, 200, runner.seal(r), "{\"ok\":true}"); };
        List<Runner> runners = new ArrayList<>();
        for (int i = 1; i <= 3; i++) runners.add(new Runner(store, "i-desk-" + i, "desk", "v1", 6, work));
        Runner leaving = runners.get(0);

        // Who watches the list of runners, and when a machine was last told of it.
        Map<String, Long> watched = new ConcurrentHashMap<>();
        AtomicReference<String> lastWatcher = new AtomicReference<>();
        store.calls = (machine, method, path, query, status) -> {
            if (path.equals("/-/kv-watch") && "servers/".equals(query.get("path_prefix")) && status == 200) {
                watched.put(machine, System.currentTimeMillis());
                lastWatcher.set(machine);
                synchronized (watched) { watched.notifyAll(); }
            }
        };
        List<Rig.Host> hosts = new ArrayList<>();
        List<String> zones = List.of("zone-a", "zone-b", "zone-c");
        Map<String, String> bounds = Rig.bounds();
        bounds.put("drain_ms", "" + DRAIN_MS);
        bounds.put("contact_ms", "" + CONTACT_MS);
        for (int i = 1; i <= HOSTS; i++) hosts.add(rig.new Host("edge-a-" + i, "zone-a", i, zones, bounds));
        for (Rig.Host h : hosts) h.start();
        if (!rig.awaitReady(hosts, 30000)) rig.end(2, "the hosts didn't start");
        Rig.sleep(6000);

        // The machine that alone watches the list now.
        watched.clear();
        Rig.sleep(4000);
        String name = lastWatcher.get();
        rig.say("machines that watched the list in the last 4 s: " + watched.keySet());
        Rig.Host frozen = hosts.stream().filter(h -> h.name.equals(name)).findFirst().orElse(null);
        if (frozen == null) rig.end(2, "no machine watches the list");
        List<Rig.Host> calm = new ArrayList<>(hosts);
        calm.remove(frozen);

        Map<String, Rig.Answer> answers = new ConcurrentHashMap<>();
        AtomicBoolean stop = new AtomicBoolean(), quiet = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (Rig.Host h : calm) for (int k = 0; k < 3; k++) {
            Thread t = new Thread(() -> {
                while (!stop.get()) {
                    if (quiet.get()) { Rig.sleep(5); continue; }
                    Rig.Answer a = Rig.send(h, "POST", "/orders/1", Map.of("Api-Key", "key-1"), "one order", 2000);
                    answers.put(a.id, a);
                    Rig.sleep(20);
                }
            });
            t.setDaemon(true); t.start(); clients.add(t);
        }
        Rig.sleep(1500);

        long frozenAt = System.currentTimeMillis();
        if (Rig.TROUBLE) frozen.signal("STOP");
        rig.say(frozen.name + (Rig.TROUBLE ? " is frozen for " + FREEZE_MS + " ms" : " isn't frozen"));
        // The runner leaves shortly before the machine wakes.
        // No order comes from shortly before the runner leaves until drain_ms later, so that none of its answers has said that it leaves.
        Rig.sleep(frozenAt + 1200 - System.currentTimeMillis());
        quiet.set(true);
        Rig.sleep(frozenAt + (GROWN ? 1700 : 2400) - System.currentTimeMillis());
        synchronized (watched) {
            long seen = lastWatcher.get() == null ? 0 : watched.getOrDefault(lastWatcher.get(), 0L);
            while (watched.getOrDefault(lastWatcher.get(), 0L) == seen && System.currentTimeMillis() < frozenAt + FREEZE_MS - 500) watched.wait(50);
        }
        Rig.sleep(50);
        long removedAt = leaving.unlist();
        rig.say("the store removes the entry of " + leaving.id + ", which never reports draining; " + lastWatcher.get() + " watches the list");
        Rig.sleep(Math.min(removedAt + LEAD_MS, frozenAt + FREEZE_MS) - System.currentTimeMillis());
        if (Rig.TROUBLE) frozen.signal("CONT");
        rig.say(frozen.name + " was frozen for " + (System.currentTimeMillis() - frozenAt) + " ms");
        Rig.sleep(removedAt + DRAIN_MS + MARGIN_MS + 20 - System.currentTimeMillis());
        quiet.set(false);
        // It goes on serving for drain_ms and a little longer, and exits while it runs what it gets then.
        while (System.currentTimeMillis() < removedAt + DRAIN_MS + 1000) {
            if (leaving.runs.stream().anyMatch(run -> run.at - removedAt > DRAIN_MS + MARGIN_MS)) { Rig.sleep(60); break; }
            Rig.sleep(5);
        }
        leaving.exit();
        rig.say(leaving.id + " exits");
        Rig.sleep(2500);
        stop.set(true);
        for (Thread t : clients) t.join(4000);

        int late = 0, cut = 0, inTime = 0;
        long last = 0;
        for (Runner.Run run : leaving.runs) {
            Rig.Answer a = answers.get(run.id);
            if (run.at >= removedAt) rig.note(run.at, "runner " + leaving.id + " runs " + run.id + " from " + (a == null ? "?" : a.host) + ", "
                + (run.at - removedAt) + " ms after its entry was removed; the consumer got " + (a == null ? "?" : a.status));
            if (run.at - removedAt > DRAIN_MS + MARGIN_MS) { late++; if (a != null && a.status != 200) cut++; }
            else if (run.at >= removedAt) inTime++;
            last = Math.max(last, run.at - removedAt);
        }
        int served = 0;
        for (Rig.Answer a : answers.values()) if (a.status == 200) served++;
        rig.say(answers.size() + " requests, " + served + " served; the leaving runner ran " + inTime + " within drain_ms, " + late
            + " later (the last after " + last + " ms); of the late ones " + cut + " were lost");
        if (served < answers.size() / 2) rig.end(2, "too few requests were served");
        rig.end(late > 0 ? 1 : 0, late > 0 ? "DRAIN broken" : "DRAIN held");
    }
}
