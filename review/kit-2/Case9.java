/*
 * Requesters of one service read long answers slowly. Requests of another service, whose replicas and requesters are sound and fast, must
 * still be answered by the timeout of their route.
 */
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

final class Case9 {
    private static final int ANSWER_BYTES = 5_000_000;
    private static final int DOWNLOADS_PER_S = 16;
    private static final long DOWNLOAD_LIMIT_MILLIS = 30_000;
    private static final long CALM_MILLIS = 5_000;
    private static final long TROUBLE_MILLIS = 50_000;
    private static final int SLOW_BYTES_PER_S = 100_000;
    private static final int SLOW_WINDOW_BYTES = 16_384;
    private static final long LOOK_TIMEOUT_MILLIS = 1_000;
    private static final long LATE_MILLIS = 500;

    // A few late answers are no hang.
    private static final int FEWEST_LATE = 8;
    private static final int LOOK_CLIENTS = 8;
    private static final long LOOK_PAUSE_MILLIS = 100;

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
    private final Map<String, Sent> looks = new ConcurrentHashMap<>();
    private final Map<String, Integer> downloads = new ConcurrentHashMap<>();
    private final AtomicInteger count = new AtomicInteger();
    private final AtomicInteger lostChecks = new AtomicInteger();
    private final AtomicInteger reading = new AtomicInteger();
    private final AtomicInteger mostReading = new AtomicInteger();
    private volatile boolean isSlow;

    private Case9(Kit.Record record) {
        this.record = record;
    }

    private int run(Kit.Store store, java.nio.file.Path root, java.nio.file.Path scratch) throws Exception {
        store.writeConfig(Kit.configJson(1,
            List.of(Kit.routeJson("get", "safe", "documents", 1, DOWNLOAD_LIMIT_MILLIS), Kit.routeJson("look", "safe", "ledger", 2, LOOK_TIMEOUT_MILLIS)),
            List.of(Kit.serviceJson("documents"), Kit.serviceJson("ledger"))));
        byte[] document = new byte[ANSWER_BYTES];
        List<Kit.Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            boolean isLedger = i > 3;
            byte[] body = isLedger ? Kit.text("free") : document;
            Kit.Replica replica = new Kit.Replica("127.0.1." + i, 0, (channel, reader, out) -> {
                while (true) {
                    String id = reader.read().header("request-id");
                    Kit.sleep(10);
                    out.write(Kit.answer("200 OK", id, "Response-Seal: s." + id + "\r\n", body));
                }
            }, 0);
            replicas.add(replica);
            store.writeServer("i-" + i, Kit.serverJson(isLedger ? "ledger" : "documents", replica.address, "a", 256, 1, System.currentTimeMillis()));
        }
        List<String> hosts = List.of("127.0.2.1");
        try (Kit.Entry entry = new Kit.Entry(root, scratch, 1, store.address(), Kit.freePorts(hosts), hosts)) {
            entry.launch();
            if (!entry.awaitReady(30_000)) return Kit.COULD_NOT_RUN;
            AtomicBoolean isOver = new AtomicBoolean();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < LOOK_CLIENTS; i++) threads.add(Kit.start(() -> lookClient(entry, isOver)));
            threads.add(Kit.start(() -> readinessChecks(entry, isOver)));
            Kit.start(() -> downloadsAtRate(entry, isOver));
            Kit.sleep(CALM_MILLIS);
            isSlow = Kit.isTroubled();
            if (isSlow) record.line("requesters of documents read " + SLOW_BYTES_PER_S + " bytes a second, and leave at their time limit");
            Kit.sleep(TROUBLE_MILLIS);
            isOver.set(true);
            for (Thread thread : threads) thread.join(10_000);
            return judge(!entry.isAlive());
        }
    }

    private void lookClient(Kit.Entry entry, AtomicBoolean isOver) {
        while (!isOver.get()) {
            Sent current = null;
            try (Kit.Client client = new Kit.Client(entry.host, entry.front, 0, 6_000)) {
                while (!isOver.get()) {
                    current = new Sent("look-" + count.incrementAndGet());
                    looks.put(current.id, current);
                    client.send("GET", "/look/1", current.id, 3_000, "", null);
                    current.end("status " + client.read().status());
                    Kit.sleep(LOOK_PAUSE_MILLIS);
                }
            } catch (IOException e) {
                if (current != null) {
                    current.end("" + e);
                    record.line(current.id + ": " + e + " after " + (current.endNanos - current.sentNanos) / 1_000_000 + " ms");
                }
                Kit.sleep(LOOK_PAUSE_MILLIS);
            }
        }
    }

    private void readinessChecks(Kit.Entry entry, AtomicBoolean isOver) {
        while (!isOver.get()) {
            int status = entry.readyStatus();
            if (status != 200) {
                lostChecks.incrementAndGet();
                record.line("readiness check: " + (status == 0 ? "no answer within a second" : "" + status) + "; " + reading + " requesters read an answer");
            }
            Kit.sleep(1_000);
        }
    }

    private void downloadsAtRate(Kit.Entry entry, AtomicBoolean isOver) {
        while (!isOver.get()) {
            Kit.start(() -> download(entry));
            Kit.sleep(1_000 / DOWNLOADS_PER_S);
        }
    }

    /** Reads one answer, as fast as it comes or slowly, and leaves at the time limit. */
    private void download(Kit.Entry entry) {
        boolean reads = isSlow;
        String outcome;
        long startNanos = System.nanoTime();
        mostReading.accumulateAndGet(reading.incrementAndGet(), Math::max);
        try (Kit.Client client = new Kit.Client(entry.host, entry.front, reads ? SLOW_WINDOW_BYTES : 0, (int) DOWNLOAD_LIMIT_MILLIS)) {
            client.send("GET", "/get/1", "get-" + count.incrementAndGet(), DOWNLOAD_LIMIT_MILLIS, "", null);
            Kit.Message head = client.reader().readHead();
            byte[] buffer = new byte[SLOW_WINDOW_BYTES];
            int length = Integer.parseInt(head.header("content-length"));
            int got = 0;
            while (got < length && elapsedMillis(startNanos) < DOWNLOAD_LIMIT_MILLIS) {
                int n = client.reader().in.read(buffer, 0, Math.min(buffer.length, length - got));
                if (n < 0) break;
                got += n;
                long aheadMillis = reads ? got * 1_000L / SLOW_BYTES_PER_S - elapsedMillis(startNanos) : 0;
                if (aheadMillis > 0) Kit.sleep(aheadMillis);
            }
            outcome = got == length ? "whole " + head.status() : elapsedMillis(startNanos) >= DOWNLOAD_LIMIT_MILLIS ? "left at the time limit" : "cut";
        } catch (IOException e) {
            outcome = "" + e;
        }
        reading.decrementAndGet();
        downloads.merge(outcome, 1, Integer::sum);
    }

    private static long elapsedMillis(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private int judge(boolean isDead) {
        record.line("downloads that have ended: " + new TreeMap<>(downloads) + "; " + mostReading + " at once");
        Map<String, Integer> outcomes = new TreeMap<>();
        looks.values().forEach(l -> outcomes.merge(l.outcome, 1, Integer::sum));
        record.line("lookups: " + outcomes);
        long atTimeout = looks.values().stream().filter(l -> l.isUnansweredAfter(LOOK_TIMEOUT_MILLIS)).count();
        long later = looks.values().stream().filter(l -> l.isUnansweredAfter(LOOK_TIMEOUT_MILLIS + LATE_MILLIS)).count();
        record.line("CONFIG: " + atTimeout + " lookups had no answer at their route's timeout of " + LOOK_TIMEOUT_MILLIS + " ms, " + later
            + " of them had none " + LATE_MILLIS + " ms later; " + lostChecks + " readiness checks failed");
        boolean isBroken = isDead || (later >= FEWEST_LATE && later * 2 > atTimeout);
        return isBroken ? Kit.BROKEN : Kit.HELD;
    }

    public static void main(String[] args) {
        Kit.main(args, (record, root, scratch) -> {
            try (Kit.Store store = new Kit.Store()) {
                return new Case9(record).run(store, root, scratch);
            }
        });
    }
}
