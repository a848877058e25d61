import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each replica that begins to run it, after the first event of its stream, and comes again at any node. The
 * nodes keep passing it on, and each of them resumes it at a second replica.
 */
final class CrashAfterEvent {
    private static final int REPLICAS = 6;
    private static final long DOWN_MILLIS = 2_500;
    private static final long EXPIRY_MILLIS = 3_600;
    private static final long TOUCH_MILLIS = 3_000;
    private static final int ATTEMPTS = 14;
    private static final long ATTEMPT_INTERVAL_MILLIS = 3_000;
    private static final int ALLOWED_RETRIES = 3;
    private static final int LIMIT_MILLIS = 8_017;
    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"" + Kit.HOST
        + "\",\"pathPrefix\":\"/draft/\",\"type\":\"streaming\",\"timeoutMs\":8000,\"goalMs\":501,\"priority\":1,\"service\":\"pool\","
        + "\"attempts\":2,\"public\":false,\"canResume\":true,\"gapGoalMs\":120}],\"services\":[{\"name\":\"pool\","
        + "\"healthPath\":\"/health\",\"maxConns\":418,\"proto\":\"h1\",\"tls\":false,\"coldS\":0,\"coldPerS\":0}],"
        + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000},"
        + "\"tenants\":[{\"name\":\"t1\",\"keys\":[\"" + Kit.KEY + "\"],\"priority\":1}]}";
    private static final String BODY = "{\"prompt\":\"the same in each attempt\"}";

    /** Complete events that a replica sends before the request crashes it; 0 for a crash right after the head. */
    private static final int EVENTS_BEFORE_CRASH = Integer.parseInt(System.getProperty("events", "1"));

    private record Arrival(String requestId, long millis) {}

    private final Kit kit;
    private final Map<String, Arrival> arrivals = new LinkedHashMap<>();
    private final Map<Integer, Replica> replicas = new ConcurrentHashMap<>();
    private final AtomicInteger boots = new AtomicInteger();
    private int crashes;
    private long thirdCrashMillis = Integer.MAX_VALUE;

    private CrashAfterEvent(Kit kit) {
        this.kit = kit;
    }

    public static void main(String[] args) {
        Kit.main(args[0], kit -> new CrashAfterEvent(kit).run());
    }

    private int run() throws Exception {
        for (int i = 1; i <= REPLICAS; i++) startReplica(i, 0);
        kit.store.writeConfig(CONFIG);
        List<Kit.Node> nodes = List.of(kit.front(1), kit.front(2));
        for (Kit.Node node : nodes) kit.start(node);
        for (Kit.Node node : nodes) kit.awaitReady(node);
        Thread.sleep(TOUCH_MILLIS);

        for (int attempt = 1; attempt <= ATTEMPTS; attempt++) {
            long sentMillis = kit.millis();
            String id = "deadly" + attempt;
            Kit.Node node = nodes.get(attempt % nodes.size());
            try (Caller caller = new Caller(node.front)) {
                Caller.Answer answer = caller.call("POST", "/draft/x", Kit.HOST, Kit.KEY, id, BODY, LIMIT_MILLIS);
                kit.log(id + " at " + node.name + ": status " + answer.status() + ", complete " + answer.isComplete() + ", " + answer.problem());
            }
            Thread.sleep(Math.max(0, sentMillis + ATTEMPT_INTERVAL_MILLIS - kit.millis()));
        }
        long late;
        synchronized (this) {
            late = arrivals.values().stream().filter(a -> a.millis > thirdCrashMillis + TOUCH_MILLIS).map(Arrival::requestId).distinct().count();
        }
        kit.log("crashes: " + crashes + "; the third at " + thirdCrashMillis + " ms");
        kit.log("retries that reached a replica over " + TOUCH_MILLIS + " ms after the third crash: " + late + ", allowed " + ALLOWED_RETRIES);
        return late > ALLOWED_RETRIES ? 1 : 0;
    }

    private void startReplica(int number, int port) throws Exception {
        String id = "i-" + number + "-" + boots.incrementAndGet();
        Replica replica = new Replica(id, new InetSocketAddress("127.0.2." + number, port), (self, request, out) -> serve(number, self, request, out));
        replicas.put(number, replica);
        kit.store.writeReplica(id, replica.record("pool", "a", 8, System.currentTimeMillis()));
    }

    private void serve(int number, Replica self, Replica.Request request, OutputStream out) throws java.io.IOException, InterruptedException {
        if (!kit.hasTrouble) {
            Replica.stream(request, out, 5, 50);
            return;
        }
        kit.log("replica " + self.id + " runs " + request.id());
        synchronized (this) {
            arrivals.put(request.id() + "@" + self.id, new Arrival(request.id(), kit.millis()));
        }
        Replica.write(out, Replica.head(request, "text/event-stream", "Transfer-Encoding: chunked"));
        int first = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0")) + 1;
        for (int event = first; event < first + EVENTS_BEFORE_CRASH; event++) {
            Thread.sleep(50);
            Replica.write(out, Replica.chunk(Replica.event(event)));
        }
        Thread.sleep(50);
        self.crash();
        synchronized (this) {
            if (++crashes == 3) thirdCrashMillis = kit.millis();
        }
        Kit.daemon(() -> comeBack(number, self)).start();
    }

    /** Starts the replica again at its address, as a new boot; the record of the old one expires. */
    private void comeBack(int number, Replica crashed) {
        try {
            Thread.sleep(DOWN_MILLIS);
            startReplica(number, crashed.address.getPort());
            Thread.sleep(EXPIRY_MILLIS - DOWN_MILLIS);
            kit.store.writeReplica(crashed.id, null);
        } catch (Exception e) {
            kit.log("replica " + number + " did not come back: " + e);
        }
    }
}
