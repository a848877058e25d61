/*
 * A version of the configuration adds a route to a service with one replica. Its requests are those of the first route, whose service has
 * three such replicas. All replicas are sound, and have slots to spare.
 */
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

final class Case10 {
    private static final long WORK_MILLIS = 9_000;
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long BETWEEN_REQUESTS_MILLIS = 500;
    private static final long CALM_MILLIS = 8_000;

    // configMs is 2,000 and stableWindowMs 3,000; later than both after a change, the state is steady.
    private static final long SETTLE_MILLIS = 6_000;
    private static final long STEADY_MILLIS = 36_000;
    private static final int SLOTS = 64;
    private static final int FEWEST_REQUESTS = 20;

    private final Kit.Record record;
    private final Map<String, Map<Integer, AtomicInteger>> statuses = new ConcurrentHashMap<>();
    private final AtomicInteger count = new AtomicInteger();
    private volatile boolean isOver;
    private volatile boolean isSteady;

    private Case10(Kit.Record record) {
        this.record = record;
    }

    private int run(Kit.Store store, java.nio.file.Path root, java.nio.file.Path scratch) throws Exception {
        List<String> services = List.of(Kit.serviceJson("ledger"), Kit.serviceJson("annex"));
        String first = Kit.routeJson("first", "unsafe", "ledger", 1, TIMEOUT_MILLIS);
        String added = Kit.routeJson("added", "unsafe", "annex", 1, TIMEOUT_MILLIS);
        store.writeConfig(Kit.configJson(1, List.of(first), services));
        AtomicInteger most = new AtomicInteger();
        AtomicInteger atAnnex = new AtomicInteger();
        List<Kit.Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            boolean isAnnex = i == 4;
            Kit.Replica replica = new Kit.Replica("127.0.1." + i, 0, (channel, reader, out) -> {
                while (true) {
                    String id = reader.read().header("request-id");
                    if (isAnnex) most.accumulateAndGet(atAnnex.incrementAndGet(), Math::max);
                    Kit.sleep(WORK_MILLIS);
                    if (isAnnex) atAnnex.decrementAndGet();
                    out.write(Kit.answer("200 OK", id, "Response-Seal: s." + id + "\r\n", Kit.text("done")));
                }
            }, 0);
            replicas.add(replica);
            store.writeServer("i-" + i, Kit.serverJson(isAnnex ? "annex" : "ledger", replica.address, "a", SLOTS, 1, System.currentTimeMillis()));
        }
        List<String> hosts = List.of("127.0.2.1");
        try (Kit.Entry entry = new Kit.Entry(root, scratch, 1, store.address(), Kit.freePorts(hosts), hosts)) {
            entry.launch();
            if (!entry.awaitReady(30_000)) return Kit.COULD_NOT_RUN;
            Kit.start(() -> requestsAtRate(entry, "first"));
            Kit.sleep(CALM_MILLIS);
            if (Kit.isTroubled()) {
                store.writeConfig(Kit.configJson(2, List.of(first, added), services));
                record.line("version 2 adds a route to annex");
            }
            Kit.sleep(SETTLE_MILLIS);
            isSteady = true;
            if (Kit.isTroubled()) Kit.start(() -> requestsAtRate(entry, "added"));
            Kit.sleep(STEADY_MILLIS);
            isSteady = false;
            isOver = true;
            Kit.sleep(WORK_MILLIS + 1_000);
            record.line("the replica of annex, which has " + SLOTS + " slots, had " + most + " requests at once at most");
            record.line("lines with NoSuchElementException in the entry's log: "
                + entry.log().lines().filter(line -> line.contains("NoSuchElementException")).count());
            if (!entry.isAlive()) return Kit.COULD_NOT_RUN;
        }
        return judge();
    }

    private void requestsAtRate(Kit.Entry entry, String route) {
        while (!isOver) {
            Kit.start(() -> request(entry, route));
            Kit.sleep(BETWEEN_REQUESTS_MILLIS);
        }
    }

    private void request(Kit.Entry entry, String route) {
        boolean counts = isSteady;
        String id = route + "-" + count.incrementAndGet();
        int status = 0;
        try (Kit.Client client = new Kit.Client(entry.host, entry.front, 0, (int) TIMEOUT_MILLIS)) {
            client.send("POST", "/" + route + "/1", id, TIMEOUT_MILLIS, "", Kit.text("x"));
            Kit.Message answer = client.read();
            status = answer.status();
            if (status != 200 && counts) record.line(id + ": " + status + " " + new String(answer.body()).replace("\n", " "));
        } catch (IOException e) {
            record.line(id + ": " + e);
        }
        if (counts) statuses.computeIfAbsent(route, r -> new ConcurrentHashMap<>()).computeIfAbsent(status, s -> new AtomicInteger()).incrementAndGet();
    }

    private double servedShare(String route) {
        Map<Integer, AtomicInteger> counts = statuses.getOrDefault(route, Map.of());
        int all = counts.values().stream().mapToInt(AtomicInteger::get).sum();
        int served = counts.getOrDefault(200, new AtomicInteger()).get();
        record.line("route " + route + ": " + all + " requests, by status " + new TreeMap<>(counts));
        return all < FEWEST_REQUESTS ? Double.NaN : (double) served / all;
    }

    private int judge() {
        double first = servedShare("first");
        double added = servedShare("added");
        if (Double.isNaN(first)) return Kit.COULD_NOT_RUN;
        if (!Kit.isTroubled()) return first > 0.9 ? Kit.HELD : Kit.BROKEN;
        return added < first / 4 ? Kit.BROKEN : Kit.HELD;
    }

    public static void main(String[] args) {
        Kit.main(args, (record, root, scratch) -> {
            try (Kit.Store store = new Kit.Store()) {
                return new Case10(record).run(store, root, scratch);
            }
        });
    }
}
