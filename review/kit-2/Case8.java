/*
 * Requesters keep their channels open between requests. For a few seconds more requesters come than usual, and keep theirs too. Requests
 * must still be answered by the timeout of their route.
 */
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

final class Case8 {
    private static final int REQUESTERS = 800;

    // tengri-jaybeam, troubles: burst x 1.7, for_s 3.0.
    private static final double BURST = 1.7;
    private static final long BURST_MILLIS = 3_000;

    // idleMs is 15,000, and channels are used again after four fifths of it at most.
    private static final long BETWEEN_REQUESTS_MILLIS = 8_000;
    private static final long CALM_MILLIS = 20_000;
    private static final long AFTER_MILLIS = 25_000;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final long LATE_MILLIS = 500;

    // A few late answers are no hang.
    private static final int FEWEST_LATE = 8;

    private static final class Sent {
        final String id;
        final long sentNanos = System.nanoTime();
        volatile long endNanos;
        volatile String outcome = "no answer";

        Sent(String id) {
            this.id = id;
        }

        void end(String result) {
            endNanos = System.nanoTime();
            outcome = result;
        }

        /** Whether it has no answer so long after it was sent. A closed channel is none. */
        boolean isUnansweredAfter(long millis) {
            return !outcome.startsWith("status") || endNanos - sentNanos > millis * 1_000_000;
        }
    }

    private final Kit.Record record;
    private final Map<String, Sent> requests = new ConcurrentHashMap<>();
    private final AtomicInteger count = new AtomicInteger();
    private final AtomicInteger channels = new AtomicInteger();
    private final AtomicInteger lostChecks = new AtomicInteger();

    private Case8(Kit.Record record) {
        this.record = record;
    }

    private int run(Kit.Store store, java.nio.file.Path root, java.nio.file.Path scratch) throws Exception {
        store.writeConfig(Kit.configJson(1, List.of(Kit.routeJson("look", "safe", "ledger", 2, TIMEOUT_MILLIS)), List.of(Kit.serviceJson("ledger"))));
        List<Kit.Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            Kit.Replica replica = new Kit.Replica("127.0.1." + i, 0, (channel, reader, out) -> {
                while (true) {
                    String id = reader.read().header("request-id");
                    Kit.sleep(10);
                    out.write(Kit.answer("200 OK", id, "Response-Seal: s." + id + "\r\n", Kit.text("free")));
                }
            }, 0);
            replicas.add(replica);
            store.writeServer("i-" + i, Kit.serverJson("ledger", replica.address, "a", 64, 1, System.currentTimeMillis()));
        }
        List<String> hosts = List.of("127.0.2.1");
        try (Kit.Entry entry = new Kit.Entry(root, scratch, 1, store.address(), Kit.freePorts(hosts), hosts)) {
            entry.launch();
            if (!entry.awaitReady(30_000)) return Kit.COULD_NOT_RUN;
            AtomicBoolean isOver = new AtomicBoolean();
            List<Thread> threads = new ArrayList<>();
            threads.add(Kit.start(() -> readinessChecks(entry, isOver)));
            for (int i = 0; i < REQUESTERS; i++) {
                threads.add(Kit.start(() -> requester(entry, isOver, Integer.MAX_VALUE)));
                Kit.sleep(BETWEEN_REQUESTS_MILLIS / REQUESTERS);
            }
            Kit.sleep(CALM_MILLIS);
            record.line(channels + " channels are open; " + late(LATE_MILLIS + TIMEOUT_MILLIS) + " requests were late so far");
            if (Kit.isTroubled()) {
                int more = (int) (REQUESTERS * (BURST - 1));
                record.line(more + " more requesters come within " + BURST_MILLIS + " ms");
                for (int i = 0; i < more; i++) {
                    Kit.start(() -> requester(entry, isOver, 2));
                    Kit.sleep(BURST_MILLIS / more);
                }
                record.line("no more come; " + channels + " channels are open");
            }
            Kit.sleep(AFTER_MILLIS);
            isOver.set(true);
            for (Thread thread : threads) thread.join(200);
            record.line("the entry " + (entry.isAlive() ? "runs" : "has ended") + "; lines with OutOfMemoryError in its log: "
                + entry.log().lines().filter(line -> line.contains("OutOfMemoryError")).count());
            return judge(!entry.isAlive());
        }
    }

    /** Sends requests over one kept channel: many at a steady pace, or a few at once and then none until it leaves. */
    private void requester(Kit.Entry entry, AtomicBoolean isOver, int most) {
        while (!isOver.get()) {
            Sent current = null;
            boolean isOpen = false;
            try (Kit.Client client = new Kit.Client(entry.host, entry.front, 0, 5_000)) {
                channels.incrementAndGet();
                isOpen = true;
                for (int sent = 0; sent < most && !isOver.get(); sent++) {
                    current = new Sent("look-" + count.incrementAndGet());
                    requests.put(current.id, current);
                    client.send("GET", "/look/1", current.id, 3_000, "", null);
                    current.end("status " + client.read().status());
                    current = null;
                    Kit.sleep(most < Integer.MAX_VALUE ? 500 : BETWEEN_REQUESTS_MILLIS);
                }
                if (most < Integer.MAX_VALUE) {
                    Kit.sleep(BETWEEN_REQUESTS_MILLIS);
                    return;
                }
            } catch (IOException e) {
                if (current != null) current.end(e.getClass().getSimpleName());
                Kit.sleep(500);
            } finally {
                if (isOpen) channels.decrementAndGet();
            }
        }
    }

    private void readinessChecks(Kit.Entry entry, AtomicBoolean isOver) {
        while (!isOver.get()) {
            int status = entry.readyStatus();
            if (status != 200) {
                lostChecks.incrementAndGet();
                record.line("readiness check: " + (status == 0 ? "no answer within a second" : "" + status) + "; " + channels + " channels are open");
            }
            Kit.sleep(1_000);
        }
    }

    private long late(long millis) {
        return requests.values().stream().filter(r -> r.endNanos != 0 && r.isUnansweredAfter(millis)).count();
    }

    private int judge(boolean isDead) {
        Map<String, Integer> outcomes = new TreeMap<>();
        requests.values().forEach(r -> outcomes.merge(r.outcome, 1, Integer::sum));
        record.line("requests: " + outcomes);
        long atTimeout = requests.values().stream().filter(r -> r.isUnansweredAfter(TIMEOUT_MILLIS)).count();
        long later = requests.values().stream().filter(r -> r.isUnansweredAfter(TIMEOUT_MILLIS + LATE_MILLIS)).count();
        record.line("CONFIG: " + atTimeout + " requests had no answer at their route's timeout of " + TIMEOUT_MILLIS + " ms, " + later
            + " of them had none " + LATE_MILLIS + " ms later; " + lostChecks + " readiness checks failed");
        boolean isBroken = isDead || (later >= FEWEST_LATE && later * 2 > atTimeout);
        return isBroken ? Kit.BROKEN : Kit.HELD;
    }

    public static void main(String[] args) {
        Kit.main(args, (record, root, scratch) -> {
            try (Kit.Store store = new Kit.Store()) {
                return new Case8(record).run(store, root, scratch);
            }
        });
    }
}
