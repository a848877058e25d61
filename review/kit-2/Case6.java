/*
 * Replicas come back under new ids at their old addresses, and send their first answer twice: the second time late, where the
 * answer to the next request on that channel is expected. No unsafe request may run twice, or be refused with a promise after it ran.
 */
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

final class Case6 {
    // tengri-jaybeam, troubles: cold_return for_s 4.5; garble how "extra late", share 0.6, x 0.03.
    private static final int CYCLES = 8;
    private static final long CALM_MILLIS = 6_000;
    private static final long DOWN_MILLIS = 2_000;
    private static final double MOST_DOUBLED = 0.03;

    // A replica that starts registers itself; heartbeatMs is 1,200, and a silent one is removed after three of them.
    private static final long REGISTERED_AFTER_MILLIS = 500;
    private static final long REMOVED_AFTER_MILLIS = 3_600;
    private static final long WORK_MILLIS = 20;

    private final Kit.Record record;
    private final Kit.Store store;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> promises = new ConcurrentHashMap<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger doubled = new AtomicInteger();
    private final AtomicInteger boots = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();

    private Case6(Kit.Record record, Kit.Store store) {
        this.record = record;
        this.store = store;
    }

    /** One boot of a replica. */
    private final class Boot implements Kit.ChannelHandler {
        final String id = "i-" + boots.incrementAndGet();
        private final AtomicBoolean mayDouble;

        Boot(boolean doublesFirst) {
            mayDouble = new AtomicBoolean(doublesFirst);
        }

        @Override
        public void serve(Socket channel, Kit.Reader reader, OutputStream out) throws IOException {
            byte[] extra = null;
            while (true) {
                Kit.Message request = reader.read();
                String requestId = request.header("request-id");
                if (extra != null) {
                    record.line("replica " + id + " sends its answer to an earlier request on this channel once more");
                    out.write(extra);
                    doubled.incrementAndGet();
                    extra = null;
                }
                boolean isMine = id.equals(request.header("expect-instance"));
                if (isMine) {
                    int count = runs.computeIfAbsent(requestId, k -> new AtomicInteger()).incrementAndGet();
                    if (requestId.startsWith("book")) record.line("replica " + id + " runs " + requestId + ", run " + count);
                    Kit.sleep(WORK_MILLIS);
                } else {
                    record.line("replica " + id + " answers 421 to " + requestId + ", which is for " + request.header("expect-instance"));
                }
                byte[] answer = isMine
                    ? Kit.answer("200 OK", requestId, "Response-Seal: " + id + "." + requestId + "\r\n", Kit.text("done " + requestId))
                    : Kit.answer("421 Misdirected Request", requestId, "", new byte[0]);
                out.write(answer);
                answers.incrementAndGet();
                if (mayDouble.compareAndSet(true, false)) extra = answer;
            }
        }
    }

    /** A replica at an address that its boots share. */
    private final class Server {
        private final String service;
        private final String host;
        private int port;
        private Boot boot;
        private Kit.Replica replica;

        Server(String service, String host) {
            this.service = service;
            this.host = host;
        }

        void start(boolean doublesFirst) throws IOException {
            boot = new Boot(doublesFirst);
            replica = new Kit.Replica(host, port, boot, 0);
            port = replica.port();
            record.line("replica " + boot.id + " of " + service + " starts at " + replica.address);
        }

        void register() {
            store.writeServer(boot.id, Kit.serverJson(service, replica.address, "a", 6, 1, System.currentTimeMillis()));
        }

        void kill() throws IOException {
            String id = boot.id;
            replica.close();
            record.line("replica " + id + " is down");
            Kit.start(() -> {
                Kit.sleep(REMOVED_AFTER_MILLIS);
                store.removeServer(id);
            });
        }
    }

    private int run(java.nio.file.Path root, java.nio.file.Path scratch) throws Exception {
        store.writeConfig(Kit.configJson(1,
            List.of(Kit.routeJson("book", "unsafe", "ledger", 1, 3_000), Kit.routeJson("look", "safe", "ledger", 2, 3_000),
                Kit.routeJson("other", "safe", "catalogue", 2, 3_000)),
            List.of(Kit.serviceJson("ledger"), Kit.serviceJson("catalogue"))));
        List<Server> ledger = List.of(new Server("ledger", "127.0.1.1"), new Server("ledger", "127.0.1.2"));
        List<Server> all = new ArrayList<>(ledger);
        all.add(new Server("catalogue", "127.0.1.3"));
        all.add(new Server("catalogue", "127.0.1.4"));
        for (Server server : all) {
            server.start(false);
            server.register();
        }
        List<String> hosts = List.of("127.0.2.1");
        try (Kit.Entry entry = new Kit.Entry(root, scratch, 1, store.address(), Kit.freePorts(hosts), hosts)) {
            entry.launch();
            if (!entry.awaitReady(30_000)) return Kit.COULD_NOT_RUN;
            AtomicBoolean isOver = new AtomicBoolean();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < 3; i++) clients.add(Kit.start(() -> requests(entry, "POST", "book", 50, isOver)));
            clients.add(Kit.start(() -> requests(entry, "GET", "look", 150, isOver)));
            clients.add(Kit.start(() -> requests(entry, "GET", "other", 50, isOver)));
            for (int cycle = 0; cycle < CYCLES; cycle++) {
                Kit.sleep(CALM_MILLIS);
                if (Kit.isTroubled()) fall(ledger);
                else Kit.sleep(DOWN_MILLIS);
            }
            Kit.sleep(CALM_MILLIS);
            isOver.set(true);
            for (Thread client : clients) client.join(5_000);
            if (!entry.isAlive()) return Kit.COULD_NOT_RUN;
        }
        return judge();
    }

    private void fall(List<Server> servers) throws IOException {
        for (Server server : servers) server.kill();
        Kit.sleep(DOWN_MILLIS);
        for (Server server : servers) server.start(true);
        Kit.start(() -> {
            Kit.sleep(REGISTERED_AFTER_MILLIS);
            servers.forEach(Server::register);
        });
    }

    /** Sends one request after the other over a kept channel, and returns after a refusal when it is told to. */
    private void requests(Kit.Entry entry, String method, String route, long pauseMillis, AtomicBoolean isOver) {
        while (!isOver.get()) {
            try (Kit.Client client = new Kit.Client(entry.host, entry.front, 0, 5_000)) {
                while (!isOver.get()) {
                    String id = route + "-" + sent.incrementAndGet();
                    client.send(method, "/" + route + "/1", id, 3_000, "", method.equals("POST") ? Kit.text("seat " + id) : null);
                    Kit.Message answer = client.read();
                    if (answer.status() != 200) record.line("client gets " + answer.status() + " for " + id);
                    if (List.of(408, 421, 429, 503).contains(answer.status()) && route.equals("book")) promises.put(id, answer.status());
                    String retryAfter = answer.header("retry-after");
                    Kit.sleep(answer.status() == 200 || retryAfter == null ? pauseMillis : (long) (Double.parseDouble(retryAfter) * 1_000));
                }
            } catch (IOException e) {
                record.line("client of " + route + ": " + e);
                Kit.sleep(pauseMillis);
            }
        }
    }

    private int judge() {
        boolean isBroken = false;
        for (Map.Entry<String, AtomicInteger> run : runs.entrySet()) {
            if (!run.getKey().startsWith("book")) continue;
            Integer promise = promises.get(run.getKey());
            if (run.getValue().get() > 1) {
                record.line("TWICE: " + run.getKey() + " ran " + run.getValue() + " times");
                isBroken = true;
            }
            if (promise != null) {
                record.line("REFUSED: " + run.getKey() + " was answered " + promise + " and ran " + run.getValue() + " times");
                isBroken = true;
            }
        }
        record.line(sent + " requests sent, " + answers + " answers of replicas, " + doubled + " of them sent once more");
        if (doubled.get() > MOST_DOUBLED * answers.get()) return Kit.COULD_NOT_RUN;
        return isBroken ? Kit.BROKEN : Kit.HELD;
    }

    public static void main(String[] args) {
        Kit.main(args, (record, root, scratch) -> {
            try (Kit.Store store = new Kit.Store()) {
                return new Case6(record, store).run(root, scratch);
            }
        });
    }
}
