import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One of seven runners crashes while it answers, and before it has read the bodies of its requests. */
final class Case2 {
    private static final int RUNNERS = 7;
    private static final int REQUESTS = 8;
    private static final int REQUEST_BYTES = 4_000_000;
    private static final int RECEIVE_BUFFER = 8192;
    private static final int READ_BYTES = 100_000;
    private static final long READ_PAUSE_MS = 20;
    private static final long CRASH_AFTER_MS = 120;

    private static final AtomicInteger whole = new AtomicInteger();
    private static final AtomicInteger cut = new AtomicInteger();

    public static void main(String[] args) {
        Bed.main(Path.of("review/2"), Case2::run);
    }

    private static boolean run(Bed bed) throws Exception {
        bed.configure(7, 3_466_601, "");
        BlockingQueue<Integer> answering = new LinkedBlockingQueue<>();
        Runner[] runners = new Runner[RUNNERS];
        for (int i = 0; i < RUNNERS; i++) {
            String name = "i-" + (i + 1);
            int number = i;
            runners[i] = bed.runner(name, "registry", RECEIVE_BUFFER, call -> {
                bed.note(name + " runs " + call.id() + " and sends the first half of an answer without a length");
                call.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + call.id() + "\r\nResponse-Seal: seal-" + call.id()
                    + "\r\nConnection: close\r\n\r\n" + half(call.id(), 1));
                answering.add(number);
                for (int left = REQUEST_BYTES; left > 0; left -= READ_BYTES) {
                    if (call.in.readNBytes(READ_BYTES).length < READ_BYTES) return;
                    Bed.sleep(READ_PAUSE_MS);
                }
                call.send(half(call.id(), 2));
                call.socket.close();
                bed.note(name + " has read the body of " + call.id() + ", sent the second half and closed the channel");
            });
        }
        Bed.Router router = bed.router("edge-a-1");
        Bed.sleep(4000);

        byte[] body = new byte[REQUEST_BYTES];
        Arrays.fill(body, (byte) 'x');
        CountDownLatch done = new CountDownLatch(REQUESTS);
        for (int i = 0; i < REQUESTS; i++) {
            String id = String.format("c0ffee%010d", i);
            Bed.daemon(() -> {
                try (Consumer consumer = new Consumer(router.address())) {
                    consumer.send(Consumer.head("POST", "/issue/item", id, 4000, REQUEST_BYTES, ""));
                    consumer.send(body);
                    Http.Answer answer = Http.answer(consumer.in);
                    bed.note("consumer: sent " + id + ", got " + (answer == null ? "a closed channel" : answer.shown()));
                    if (answer != null && answer.complete() && answer.status() == 200) {
                        boolean isWhole = answer.text().equals(half(id, 1) + half(id, 2));
                        (isWhole ? whole : cut).incrementAndGet();
                    }
                } catch (Exception e) {
                    bed.note("consumer: sent " + id + ", got " + e);
                }
                done.countDown();
            });
        }
        Integer first = answering.poll(5, TimeUnit.SECONDS);
        if (first == null) throw new IllegalStateException("no runner got a request");
        Bed.sleep(CRASH_AFTER_MS);
        if (Bed.TROUBLE) {
            // Its sockets hold unread bytes, so the system resets the channels, as at the end of a killed process.
            bed.note(runners[first].id + " crashes");
            runners[first].close();
        }
        done.await(20, TimeUnit.SECONDS);
        bed.note(whole + " whole answers; " + cut + " successes whose body isn't the runner's whole body");
        return cut.get() == 0;
    }

    private static String half(String id, int number) {
        return ("half " + number + " of the answer to " + id + "\n").repeat(10);
    }
}
