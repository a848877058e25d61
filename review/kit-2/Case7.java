/*
 * Replicas send a few of their answers without a length, so that they end with the channel, and send a second answer after a few. Where both
 * fall on one answer, the second comes before the channel ends. No requester may get a success whose body is not the replica's.
 */
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

final class Case7 {
    // tengri-jaybeam, troubles: garble how "extra late", share 0.6, x 0.03, for_s 5.5 (how "extra"); days: how "unframed", x 0.05, for_s 5.0.
    private static final double EXTRA = 0.03;
    private static final double UNFRAMED = 0.05;
    private static final int GARBLING_REPLICAS = 2;
    private static final int REPLICAS = 4;
    private static final int WINDOWS = 9;
    private static final long WINDOW_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 3_000;
    private static final int CLIENTS = 16;
    private static final int BODY_BYTES = 800;
    private static final long WORK_MILLIS = 5;

    private final Kit.Record record;
    private final AtomicInteger count = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger unframed = new AtomicInteger();
    private final AtomicInteger extra = new AtomicInteger();
    private final AtomicInteger both = new AtomicInteger();
    private final AtomicInteger mixed = new AtomicInteger();
    private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
    private volatile boolean garbles;

    private Case7(Kit.Record record) {
        this.record = record;
    }

    private static byte[] bodyOf(String requestId) {
        byte[] body = new byte[BODY_BYTES];
        byte[] text = Kit.text(requestId + " ");
        for (int i = 0; i < body.length; i++) body[i] = text[i % text.length];
        return body;
    }

    private void serve(boolean isGarbling, Socket channel, Kit.Reader reader, OutputStream out) throws IOException {
        Random random = new Random();
        while (true) {
            String id = reader.read().header("request-id");
            Kit.sleep(WORK_MILLIS);
            answers.incrementAndGet();
            boolean isUnframed = isGarbling && garbles && random.nextDouble() < UNFRAMED;
            boolean hasExtra = isGarbling && garbles && random.nextDouble() < EXTRA;
            if (isUnframed) unframed.incrementAndGet();
            if (hasExtra) extra.incrementAndGet();
            if (isUnframed && hasExtra) {
                both.incrementAndGet();
                record.line("a replica answers " + id + " without a length and sends a second answer before its channel ends");
            }
            byte[] second = hasExtra ? Kit.answer("500 Internal Server Error", id, "Response-Seal: f." + id + "\r\n", Kit.text("failed")) : new byte[0];
            if (isUnframed) {
                out.write(Kit.text("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: s." + id + "\r\nConnection: close\r\n\r\n"));
                out.write(bodyOf(id));
                out.write(second);
                channel.shutdownOutput();
                return;
            }
            out.write(Kit.answer("200 OK", id, "Response-Seal: s." + id + "\r\n", bodyOf(id)));
            out.write(second);
        }
    }

    private int run(Kit.Store store, java.nio.file.Path root, java.nio.file.Path scratch) throws Exception {
        store.writeConfig(Kit.configJson(1, List.of(Kit.routeJson("book", "unsafe", "ledger", 1, 3_000), Kit.routeJson("look", "safe", "ledger", 2, 3_000)),
            List.of(Kit.serviceJson("ledger"))));
        List<Kit.Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= REPLICAS; i++) {
            boolean isGarbling = i <= GARBLING_REPLICAS;
            Kit.Replica replica = new Kit.Replica("127.0.1." + i, 0, (channel, reader, out) -> serve(isGarbling, channel, reader, out), 0);
            replicas.add(replica);
            store.writeServer("i-" + i, Kit.serverJson("ledger", replica.address, "a", 32, 1, System.currentTimeMillis()));
        }
        List<String> hosts = List.of("127.0.2.1");
        try (Kit.Entry entry = new Kit.Entry(root, scratch, 1, store.address(), Kit.freePorts(hosts), hosts)) {
            entry.launch();
            if (!entry.awaitReady(30_000)) return Kit.COULD_NOT_RUN;
            AtomicBoolean isOver = new AtomicBoolean();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                boolean isUnsafe = i % 2 == 0;
                clients.add(Kit.start(() -> requests(entry, isUnsafe, isOver)));
            }
            for (int window = 0; window < WINDOWS; window++) {
                Kit.sleep(PAUSE_MILLIS);
                garbles = Kit.isTroubled();
                Kit.sleep(WINDOW_MILLIS);
                garbles = false;
            }
            isOver.set(true);
            for (Thread client : clients) client.join(5_000);
            if (!entry.isAlive()) return Kit.COULD_NOT_RUN;
        }
        record.line(answers + " answers of replicas, " + unframed + " without a length, " + extra + " with a second answer, " + both + " with both");
        record.line("requests: " + new TreeMap<>(outcomes));
        record.line("MIXED: " + mixed + " successes with a body that is not the replica's");
        return mixed.get() > 0 ? Kit.BROKEN : Kit.HELD;
    }

    private void requests(Kit.Entry entry, boolean isUnsafe, AtomicBoolean isOver) {
        String route = isUnsafe ? "book" : "look";
        while (!isOver.get()) {
            try (Kit.Client client = new Kit.Client(entry.host, entry.front, 0, 5_000)) {
                while (!isOver.get()) {
                    String id = route + "-" + count.incrementAndGet();
                    client.send(isUnsafe ? "POST" : "GET", "/" + route + "/1", id, 3_000, "", isUnsafe ? Kit.text(id) : null);
                    Kit.Message answer = client.read();
                    outcomes.computeIfAbsent("" + answer.status(), s -> new AtomicInteger()).incrementAndGet();
                    if (answer.status() == 200 && !(Arrays.equals(bodyOf(id), answer.body()) && ("s." + id).equals(answer.header("response-seal")))) {
                        mixed.incrementAndGet();
                        record.line("MIXED: " + id + " got 200 with seal " + answer.header("response-seal") + " and " + answer.body().length
                            + " bytes, complete, that end with: " + tail(answer.body()));
                    }
                    Kit.sleep(20);
                }
            } catch (IOException e) {
                outcomes.computeIfAbsent(e.getClass().getSimpleName(), s -> new AtomicInteger()).incrementAndGet();
            }
        }
    }

    private static String tail(byte[] body) {
        int from = Math.max(0, body.length - 150);
        return new String(body, from, body.length - from, java.nio.charset.StandardCharsets.ISO_8859_1).replace("\r\n", "|");
    }

    public static void main(String[] args) {
        Kit.main(args, (record, root, scratch) -> {
            try (Kit.Store store = new Kit.Store()) {
                return new Case7(record).run(store, root, scratch);
            }
        });
    }
}
