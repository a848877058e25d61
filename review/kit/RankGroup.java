import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for the ranks of one group. All ranks begin each pass together; a pass is begun only while a request runs, and not
 * while a rank holds it. Each rank checks fencing tokens when it carries an order out.
 */
final class RankGroup {
    static final int SETS = 2;
    static final int EXPERTS = 13;
    static final int PLACES = 6;
    static final int SPARE = 3;
    static final String SERVICE = "pool";
    static final String ENGINE = "\"engine\":{\"batchSlots\":8,\"kvTokens\":186666,\"linkMbps\":180000.0,\"stride\":4,\"step_ms\":4.55,"
        + "\"per_seq_ms\":1.3575,\"context_per_k\":0.027,\"read_per_s\":61400.0,\"pairs_per_m\":0.525,\"chunk\":512,\"report_lag_ms\":200.0,"
        + "\"usual\":{\"prompt\":835,\"answer\":97},\"sets\":" + SETS + ",\"experts\":" + EXPERTS + ",\"places\":" + PLACES + ",\"spare\":" + SPARE
        + ",\"expertMb\":2200.0,\"expertShare\":0.85,\"form_ms\":600.0}";
    private static final long PASS_MILLIS = 40;
    private static final long COPY_MILLIS = 98;
    private static final int EVENTS = 10;

    /** An order that a rank has received. */
    record Order(int rank, String op, long fence, long version, long step, long epoch, String map) {
        @Override
        public String toString() {
            return op + " rank " + rank + " fence " + fence + (version != 0 ? " version " + version : "") + (step != 0 ? " step " + step : "");
        }
    }

    /** Says after how many ms an order is carried out without an answer; 0 for an order that is answered at once. */
    interface Lateness {
        long millisOf(Order order);
    }

    final class Rank {
        final int number;
        Replica replica;
        private long fence;
        private long highestVersion;
        private long version;
        private String map = initialMap();
        private long preparedVersion;
        private String preparedMap;
        private long preparedAtMillis;
        private long armedVersion;
        private long armedStep;
        private long held;
        private long seq;
        private final long[] counts = new long[SETS * EXPERTS];

        private Rank(int number) {
            this.number = number;
        }

        private boolean isPrepared(long version) {
            return preparedVersion == version && kit.millis() >= preparedAtMillis;
        }

        private int carryOut(Order order) {
            if (order.epoch != 0 && order.epoch != EPOCH) return 409;
            if (order.fence < fence) return 412;
            fence = order.fence;
            switch (order.op) {
                case "prepare" -> {
                    if (order.version == preparedVersion && order.map.equals(preparedMap)) return 200;
                    if (order.version <= highestVersion || armedVersion != 0 || newExperts(order.map) > SPARE) return 409;
                    preparedVersion = highestVersion = order.version;
                    preparedMap = order.map;
                    preparedAtMillis = kit.millis() + COPY_MILLIS;
                }
                case "arm" -> {
                    if (armedVersion == order.version && armedStep == order.step) return 200;
                    if (!isPrepared(order.version) || order.step <= step) return 409;
                    armedVersion = order.version;
                    armedStep = order.step;
                }
                case "disarm" -> {
                    if (order.version == version) return 409;
                    if (armedVersion != order.version) return 200;
                    armedVersion = armedStep = 0;
                }
                case "hold" -> {
                    if (held == order.step) return 200;
                    if (held != 0 || order.step <= step) return 409;
                    held = order.step;
                }
                case "go" -> {
                    if (held != order.step) return 200;
                    held = 0;
                }
                default -> {
                    return 400;
                }
            }
            seq++;
            return 202;
        }

        /** The most experts of a set that the rank would have to copy for [next]. */
        private long newExperts(String next) {
            List<List<String>> before = ownExperts(map);
            List<List<String>> after = ownExperts(next);
            long most = 0;
            for (int set = 0; set < SETS; set++) {
                List<String> held = before.get(set);
                most = Math.max(most, after.get(set).stream().distinct().filter(expert -> !held.contains(expert)).count());
            }
            return most;
        }

        private void beginPass() {
            if (armedVersion != 0 && armedStep == step) {
                version = armedVersion;
                map = preparedMap;
                armedVersion = armedStep = preparedVersion = 0;
            }
            for (int i = 0; i < counts.length; i++) counts[i] += isPopular.test(i % EXPERTS) ? 100 : 10;
        }

        private String report() {
            return "{\"stage\":\"unified\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":" + seq
                + ",\"waiting\":0,\"running\":" + running + ",\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0,\"pace\":1,\"born\":1700000000000"
                + ",\"group\":{\"name\":\"g\",\"epoch\":" + EPOCH + ",\"rank\":" + number + ",\"state\":\"open\"},\"size\":" + ranks.size()
                + ",\"step\":" + step + ",\"map\":" + version + (isPrepared(preparedVersion) ? ",\"prepared\":" + preparedVersion : "")
                + (armedVersion != 0 ? ",\"armed\":{\"version\":" + armedVersion + ",\"step\":" + armedStep + "}" : "")
                + (held != 0 ? ",\"held\":" + held : "") + "}";
        }

        private String picked(boolean hasLists) {
            if (hasLists) return "{\"step\":" + step + ",\"epoch\":" + EPOCH + ",\"map\":{\"version\":" + version + ",\"experts\":" + ownExperts(map).toString().replace(" ", "") + "}}";
            List<String> sets = new ArrayList<>();
            for (int set = 0; set < SETS; set++) {
                List<String> values = new ArrayList<>();
                for (int expert = 0; expert < EXPERTS; expert++) values.add("" + counts[set * EXPERTS + expert]);
                sets.add("[" + String.join(",", values) + "]");
            }
            return "{\"step\":" + step + ",\"epoch\":" + EPOCH + ",\"counts\":[" + String.join(",", sets) + "]}";
        }

        /** The experts of this rank by set; a map lists them by set and rank. */
        private List<List<String>> ownExperts(String map) {
            List<List<String>> own = new ArrayList<>();
            Matcher rankLists = Pattern.compile("\\[([0-9,]*)]").matcher(map);
            for (int i = 0; rankLists.find(); i++) if (i % size == number) own.add(List.of(rankLists.group(1).split(",")));
            return own;
        }
    }

    private static final long EPOCH = 1;
    private final Kit kit;
    private final List<Rank> ranks = new ArrayList<>();
    private final Lateness lateness;
    private final int size;
    private long step;
    private int running;
    private int mixedPasses;
    private int changes;

    /** Whether the requests choose an expert often. */
    volatile Predicate<Integer> isPopular = expert -> false;

    RankGroup(Kit kit, int size, Lateness lateness) throws IOException {
        this.kit = kit;
        this.lateness = lateness;
        this.size = size;
        for (int i = 0; i < size; i++) {
            Rank rank = new Rank(i);
            rank.replica = new Replica("i-" + i, new InetSocketAddress("127.0.2." + (i + 1), 0), (self, request, out) -> serve(rank, request, out));
            ranks.add(rank);
            kit.store.writeReplica(rank.replica.id, rank.replica.record(SERVICE, "a", 8, 1_700_000_000_000L));
        }
        Kit.daemon(this::runPasses).start();
    }

    List<Rank> ranks() {
        return ranks;
    }

    /** Number of passes that began while two ranks had different maps. */
    synchronized int mixedPasses() {
        return mixedPasses;
    }

    /** Number of changes of the map. */
    synchronized int changes() {
        return changes;
    }

    private boolean isNextPassHeld() {
        return ranks.stream().anyMatch(rank -> rank.held == step + 1);
    }

    /** Whether a rank holds a pass that has not begun. */
    synchronized boolean hasHold() {
        return ranks.stream().anyMatch(rank -> rank.held > step);
    }

    synchronized String state() {
        StringBuilder text = new StringBuilder("step " + step + ", running " + running);
        for (Rank rank : ranks) {
            text.append("; rank ").append(rank.number).append(": map ").append(rank.version).append(" prepared ").append(rank.preparedVersion)
                .append(" armed ").append(rank.armedVersion).append(" held ").append(rank.held).append(" fence ").append(rank.fence);
        }
        return text.toString();
    }

    /** Map 0 assigns the experts in turn. */
    private String initialMap() {
        List<String> rankLists = new ArrayList<>();
        for (int rank = 0; rank < size; rank++) {
            List<String> experts = new ArrayList<>();
            for (int place = 0; place < PLACES; place++) experts.add("" + (place * size + rank) % EXPERTS);
            rankLists.add("[" + String.join(",", experts) + "]");
        }
        String set = "[" + String.join(",", rankLists) + "]";
        return "[" + set + ("," + set).repeat(SETS - 1) + "]";
    }

    private void runPasses() {
        try {
            while (true) {
                Thread.sleep(PASS_MILLIS);
                synchronized (this) {
                    if (running == 0 || isNextPassHeld()) continue;
                    step++;
                    long versionBefore = ranks.get(0).version;
                    ranks.forEach(Rank::beginPass);
                    if (ranks.get(0).version != versionBefore) {
                        changes++;
                        kit.log("pass " + step + " begins with map " + ranks.get(0).version);
                    }
                    long maps = ranks.stream().map(rank -> rank.version + rank.map).distinct().count();
                    if (maps > 1 && mixedPasses++ == 0) {
                        kit.log("pass " + step + " begins while ranks have different maps:");
                        for (Rank rank : ranks) kit.log("  rank " + rank.number + ": version " + rank.version + " " + rank.map);
                    }
                    notifyAll();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Rank rank, Replica.Request request, OutputStream out) throws IOException, InterruptedException {
        if (request.target().equals("/v1/report")) {
            answer(out, 200, locked(rank::report));
        } else if (request.target().startsWith("/v1/picked")) {
            answer(out, 200, locked(() -> rank.picked(request.target().contains("lists"))));
        } else if (request.target().equals("/v1/order")) {
            receive(rank, orderOf(rank, new String(request.body())), out);
        } else {
            stream(request, out);
        }
    }

    private String locked(java.util.function.Supplier<String> read) {
        synchronized (this) {
            return read.get();
        }
    }

    private static Order orderOf(Rank rank, String body) {
        Matcher map = Pattern.compile("\"map\":(\\[.*])").matcher(body);
        return new Order(rank.number, Store.textField(body, "op"), Store.numberField(body, "fence"), Store.numberField(body, "version"),
            Store.numberField(body, "step"), Store.numberField(body, "epoch"), map.find() ? map.group(1) : "");
    }

    private void receive(Rank rank, Order order, OutputStream out) throws IOException, InterruptedException {
        long lateMillis = lateness.millisOf(order);
        if (lateMillis == 0) {
            answer(out, carryOut(rank, order, ""), "{}");
            return;
        }
        kit.log(order + ": not answered, to be carried out in " + lateMillis + " ms");
        Kit.daemon(() -> {
            try {
                Thread.sleep(lateMillis);
                carryOut(rank, order, " late");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }).start();
        // The connection returns nothing further.
        Thread.sleep(60_000);
    }

    private synchronized int carryOut(Rank rank, Order order, String when) {
        int status = rank.carryOut(order);
        kit.log(order + ": carried out" + when + " with " + status);
        return status;
    }

    private static void answer(OutputStream out, int status, String body) throws IOException {
        Replica.write(out, "HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Answers with one event a pass. */
    private void stream(Replica.Request request, OutputStream out) throws IOException, InterruptedException {
        int first = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0")) + 1;
        synchronized (this) {
            running++;
        }
        try {
            Replica.write(out, Replica.head(request, "text/event-stream", "Transfer-Encoding: chunked"));
            for (int event = first; event <= EVENTS; event++) {
                synchronized (this) {
                    long seen = step;
                    long deadline = kit.millis() + 8_000;
                    while (step == seen) {
                        if (kit.millis() > deadline) throw new IOException("the time limit has passed");
                        wait(100);
                    }
                }
                Replica.write(out, Replica.chunk(Replica.event(event)));
            }
            Replica.write(out, "0\r\n\r\n");
        } finally {
            synchronized (this) {
                running--;
            }
        }
    }
}
