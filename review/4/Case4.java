import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** All processes are killed while one unreadable entry of another writer stands among those of the runners. */
final class Case4 {
    private static final String ODD_KEY = "servers/i-odd&more";

    /** Below value_bytes (1,048,576), and about as much as a page of the list holds. */
    private static final int ODD_BYTES = 1_000_000;

    private static final long DOWN_MS = 800;

    /** How long after the restart the other writer takes its entry away. */
    private static final long ODD_MS = 10_000;

    /** recovery_s. */
    private static final long RECOVERY_MS = 12_000;

    private static final int REQUESTS = 20;

    public static void main(String[] args) {
        Bed.main(Path.of("review/4"), Case4::run);
    }

    private static boolean run(Bed bed) throws Exception {
        bed.configure(7, 3_466_601, "");
        for (int i = 1; i <= 3; i++) {
            bed.runner("i-runner-" + i, "registry", call -> {
                call.body();
                call.answer(200, "done " + call.id());
            });
        }
        List<Bed.Router> machines = new ArrayList<>();
        for (int i = 1; i <= 2; i++) machines.add(bed.router("edge-a-" + i));
        Bed.sleep(4000);
        int before = served(bed, machines, "before");
        if (before < REQUESTS / 4) throw new IllegalStateException("only " + before + " requests were served before");

        if (Bed.TROUBLE) {
            byte[] bytes = new byte[ODD_BYTES];
            new Random(1).nextBytes(bytes);
            bed.store.put(ODD_KEY, bytes);
            bed.note("another writer has written " + ODD_KEY + " with " + ODD_BYTES + " bytes that can't be read");
        }
        for (Bed.Router machine : machines) machine.process.destroyForcibly().waitFor();
        bed.note("all processes were killed");
        Bed.sleep(DOWN_MS);
        for (Bed.Router machine : machines) bed.startProcess(machine);
        Bed.sleep(ODD_MS);
        if (Bed.TROUBLE) {
            bed.store.delete(ODD_KEY);
            bed.note("the other writer has taken its entry away");
        }
        // The rule counts from the restart; this waits for recovery_s from the end of the odd entry, too.
        Bed.sleep(RECOVERY_MS + 2000);
        int after = served(bed, machines, "after");
        for (Bed.Router machine : machines) {
            bed.note(machine.node + ": the process runs: " + machine.process.isAlive() + "; readiness " + machine.readiness());
        }
        return after >= REQUESTS / 4;
    }

    private static int served(Bed bed, List<Bed.Router> machines, String when) throws Exception {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = String.format("%s%08d", when.equals("before") ? "be" : "af", i);
            try (Consumer consumer = new Consumer(machines.get(i % machines.size()).address())) {
                Http.Answer answer = consumer.get("/read/item", id);
                bed.note("consumer: sent " + id + ", got " + (answer == null ? "a closed channel" : answer.shown()));
                if (answer != null && answer.complete() && answer.status() == 200) served++;
            } catch (java.io.IOException e) {
                bed.note("consumer: sent " + id + ", got " + e);
            }
            Bed.sleep(100);
        }
        bed.note(when + " the final fault " + served + " of " + REQUESTS + " requests were served");
        return served;
    }
}
