import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * DRAIN: machines that have themselves acknowledged that a runner leaves send requests to it again, because the
 * store has returned from a copy in which the runner is still ready.
 */
public final class LeavingAgain {
    static final int DRAIN_MS = 2000;
    /** What a request that reaches the runner at the limit is allowed beyond it. */
    static final int MARGIN_MS = 100;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        Store store = rig.store;
        String config = "{\"version\":7,\"routes\":[{\"name\":\"orders\",\"host\":\"app.example\",\"path_prefix\":\"/orders/\",\"kind\":\"unsafe\","
            + "\"timeout_ms\":2000,\"goal_ms\":300,\"priority\":1,\"service\":\"desk\",\"max_attempts\":1,\"auth_exempt\":false}],"
            + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":110}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"coop\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
        store.put("op/config", config);
        Runner.Work work = (runner, r, out) -> {
            Rig.sleep(85);
            Runner.plain(out, 200, runner.seal(r), "{\"ok\":true}");
        };
        List<Runner> runners = new ArrayList<>();
        for (int i = 1; i <= 4; i++) runners.add(new Runner(store, "i-desk-" + i, "desk", "v1", 6, work));
        Runner leaving = runners.get(0);
        List<String> zones = List.of("zone-a", "zone-b", "zone-c");
        List<Rig.Host> hosts = new ArrayList<>();
        for (int i = 0; i < 6; i++) hosts.add(rig.new Host("edge-" + zones.get(i / 2).substring(5) + "-" + (1 + i % 2), zones.get(i / 2), i + 1, zones, Rig.bounds()));
        for (Rig.Host h : hosts) h.start();
        if (!rig.awaitReady(hosts, 30000)) rig.end(2, "the hosts didn't start");

        Map<String, Rig.Answer> answers = new ConcurrentHashMap<>();
        AtomicBoolean stop = new AtomicBoolean(), quiet = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (Rig.Host h : hosts) for (int k = 0; k < 3; k++) {
            Thread t = new Thread(() -> {
                while (!stop.get()) {
                    if (quiet.get()) { Rig.sleep(10); continue; }
                    Rig.Answer a = Rig.send(h, "POST", "/orders/1", Map.of("Api-Key", "key-1"), "one order", 2000);
                    answers.put(a.id, a);
                    Rig.sleep(20);
                }
            });
            t.setDaemon(true); t.start(); clients.add(t);
        }
        Rig.sleep(3000);
        Store.Copy copy = store.copy();
        rig.say("the copy of the store is made");
        // No order comes at the moment at which the runner begins to leave.
        quiet.set(true);
        Rig.sleep(400);
        leaving.state = "draining";
        long drainingAt = leaving.beat();
        rig.say("the store accepts that " + leaving.id + " is draining");
        Rig.sleep(1300);
        quiet.set(false);
        Rig.sleep(drainingAt + 3250 - System.currentTimeMillis());
        int before = 0;
        for (Runner.Run run : leaving.runs) if (run.at > drainingAt) before++;
        rig.say(before + " requests have reached " + leaving.id + " since");
        if (Rig.TROUBLE) {
            store.goAway();
            rig.say("the store is away for a moment");
            Rig.sleep(500);
            store.comeBack(copy);
            store.put("op/config", config);
            long back = System.currentTimeMillis();
            rig.say("the store is back from a copy that is " + (back - drainingAt + 400) + " ms old; the operator has written again");
            // The runners write again with their next heartbeats.
            for (Runner r : runners) if (r != leaving) r.beat();
        }
        // It exits while it runs what it gets then, and 6 s after it has begun to drain at the latest.
        while (System.currentTimeMillis() < drainingAt + 6000) {
            if (leaving.runs.stream().anyMatch(run -> run.at - drainingAt > DRAIN_MS + MARGIN_MS)) { Rig.sleep(60); break; }
            Rig.sleep(5);
        }
        rig.say("entry of the leaving runner: " + store.get("servers/" + leaving.id));
        leaving.exit();
        rig.say(leaving.id + " exits");
        Rig.sleep(1000);
        stop.set(true);
        for (Thread t : clients) t.join(4000);

        int late = 0, lost = 0;
        for (Runner.Run run : leaving.runs) {
            if (run.at <= drainingAt) continue;
            Rig.Answer a = answers.get(run.id);
            rig.note(run.at, leaving.id + " runs " + run.id + " from " + (a == null ? "?" : a.host) + ", " + (run.at - drainingAt)
                + " ms after it was draining; the consumer got " + (a == null ? "?" : a.status));
            if (run.at - drainingAt > DRAIN_MS + MARGIN_MS) { late++; if (a != null && a.status != 200) lost++; }
        }
        int served = 0;
        for (Rig.Answer a : answers.values()) if (a.status == 200) served++;
        rig.say(answers.size() + " requests, " + served + " served; " + late + " reached the runner later than drain_ms after the store had accepted that it is draining, " + lost + " of them were lost");
        if (served < answers.size() / 2) rig.end(2, "too few requests were served");
        rig.end(late > 0 ? 1 : 0, late > 0 ? "DRAIN broken" : "DRAIN held");
    }
}
