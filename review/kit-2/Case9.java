/*
 * Replicas of one service read long requests slowly. The entry holds each request whole until its replica has read it. Requests of
 * another service, whose replicas are sound and fast, must still be answered by the timeout of their route.
 */
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

final class Case9 {
    // The configuration allows bodies of 4,194,304 bytes ("limits"."bodyBytes"), as on the users' installations.
    private static final int BODY_BYTES = 4_000_000;
    private static final int UPLOADS_PER_S = 8;
    private static final long CALM_MILLIS = 5_000;
    private static final long TROUBLE_MILLIS = 25_000;

    // A side machine has a link of 5.6 Mbit/s (demands/LATER.md, "Machines").
    private static final int SLOW_BYTES_PER_S = 700_000;
    private static final int SLOW_WINDOW_BYTES = 65_536;
    private static final long UPLOAD_TIMEOUT_MILLIS = 8_000;
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
    private final Map<String, Sent> uploads = new ConcurrentHashMap<>();
    private final Map<String, String> readWhole = new ConcurrentHashMap<>();
    private final AtomicInteger count = new AtomicInteger();
    private final AtomicInteger lostChecks = new AtomicInteger();
    private volatile boolean isSlow;

    private Case9(Kit.Record record) {
        this.record = record;
    }

    private void serveUpload(Kit.Reader reader, OutputStream out) throws IOException {
        byte[] buffer = new byte[16_384];
        while (true) {
            Kit.Message head = reader.readHead();
            String id = head.header("request-id");
            int length = Integer.parseInt(head.header("content-length"));
            long startNanos = System.nanoTime();
            for (int got = 0; got < length; ) {
                int n = reader.in.read(buffer, 0, Math.min(buffer.length, length - got));
                if (n < 0) throw new EOFException();
                got += n;
                long dueMillis = isSlow ? got * 1_000L / SLOW_BYTES_PER_S : 0;
                long aheadMillis = dueMillis - (System.nanoTime() - startNanos) / 1_000_000;
                if (aheadMillis > 0) Kit.sleep(aheadMillis);
            }
            readWhole.put(id, "read");
            out.write(Kit.answer("200 OK", id, "Response-Seal: s." + id + "\r\n", Kit.text("stored")));
        }
    }

    private void serveLook(Kit.Reader reader, OutputStream out) throws IOException {
        while (true) {
            Kit.Message request = reader.read();
            Kit.sleep(10);
            String id = request.header("request-id");
            out.write(Kit.answer("200 OK", id, "Response-Seal: s." + id + "\r\n", Kit.text("free")));
        }
    }

    private int run(Kit.Store store, java.nio.file.Path root, java.nio.file.Path scratch) throws Exception {
        store.writeConfig(Kit.configJson(1,
            List.of(Kit.routeJson("put", "unsafe", "documents", 1, UPLOAD_TIMEOUT_MILLIS), Kit.routeJson("look", "safe", "ledger", 2, LOOK_TIMEOUT_MILLIS)),
            List.of(Kit.serviceJson("documents"), Kit.serviceJson("ledger"))));
        List<Kit.Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            boolean isLedger = i > 3;
            Kit.ChannelHandler handler = isLedger ? (c, r, o) -> serveLook(r, o) : (c, r, o) -> serveUpload(r, o);
            Kit.Replica replica = new Kit.Replica("127.0.1." + i, 0, handler, isLedger ? 0 : SLOW_WINDOW_BYTES);
            replicas.add(replica);
            store.writeServer("i-" + i, Kit.serverJson(isLedger ? "ledger" : "documents", replica.address, "a", 64, 1, System.currentTimeMillis()));
        }
        List<String> hosts = List.of("127.0.2.1");
        try (Kit.Entry entry = new Kit.Entry(root, scratch, 1, store.address(), Kit.freePorts(hosts), hosts)) {
            entry.launch();
            if (!entry.awaitReady(30_000)) return Kit.COULD_NOT_RUN;
            AtomicBoolean isOver = new AtomicBoolean();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < LOOK_CLIENTS; i++) threads.add(Kit.start(() -> lookClient(entry, isOver)));
            threads.add(Kit.start(() -> readinessChecks(entry, isOver)));
            Kit.start(() -> uploadsAtRate(entry, isOver));
            Kit.sleep(CALM_MILLIS);
            if (Kit.isTroubled()) {
                record.line("the replicas of documents read " + SLOW_BYTES_PER_S + " bytes a second");
                isSlow = true;
            }
            Kit.sleep(TROUBLE_MILLIS);
            isSlow = false;
            record.line("the replicas of documents read at full speed");
            Kit.sleep(CALM_MILLIS);
            isOver.set(true);
            for (Thread thread : threads) thread.join(10_000);
            Kit.sleep(UPLOAD_TIMEOUT_MILLIS + 1_000);
            record.line("the entry " + (entry.isAlive() ? "runs" : "has ended") + "; OutOfMemoryError in its log: "
                + entry.log().lines().filter(line -> line.contains("OutOfMemoryError")).count());
            boolean isDead = !entry.isAlive();
            return judge(isDead);
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
                record.line("readiness check: " + (status == 0 ? "no answer within a second" : "" + status));
            }
            Kit.sleep(1_000);
        }
    }

    /** Sends uploads at a steady rate, each over a kept channel that is free, or a new one. */
    private void uploadsAtRate(Kit.Entry entry, AtomicBoolean isOver) {
        byte[] body = new byte[BODY_BYTES];
        ConcurrentLinkedQueue<Kit.Client> idle = new ConcurrentLinkedQueue<>();
        while (!isOver.get()) {
            Kit.start(() -> {
                Sent upload = new Sent("put-" + count.incrementAndGet());
                uploads.put(upload.id, upload);
                Kit.Client client = idle.poll();
                try {
                    if (client == null) client = new Kit.Client(entry.host, entry.front, 0, (int) UPLOAD_TIMEOUT_MILLIS + 2_000);
                    client.send("POST", "/put/1", upload.id, UPLOAD_TIMEOUT_MILLIS, "", body);
                    upload.end("status " + client.read().status());
                    idle.add(client);
                } catch (IOException e) {
                    upload.end("" + e);
                    try {
                        if (client != null) client.close();
                    } catch (IOException ignored) {
                        // The channel is given up in any case.
                    }
                }
            });
            Kit.sleep(1_000 / UPLOADS_PER_S);
        }
    }

    private int judge(boolean isDead) {
        Map<String, Integer> outcomes = new TreeMap<>();
        uploads.values().forEach(u -> outcomes.merge(u.outcome, 1, Integer::sum));
        record.line("uploads: " + outcomes);
        record.line(uploads.values().stream().filter(u -> !u.outcome.startsWith("status") && readWhole.containsKey(u.id)).count()
            + " uploads got no answer though a replica had read them whole and answered");
        uploads.values().stream().filter(u -> !u.outcome.equals("status 200")).limit(40).forEach(u -> record.line(u.id + ": " + u.outcome
            + (readWhole.containsKey(u.id) ? ", though a replica had read it whole and answered" : "")));
        outcomes.clear();
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
