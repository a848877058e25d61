import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * SIGTERM of one front node under traffic. Long streams that are sent on kept connections over 3 s after the signal are taken
 * and passed on, and then cut when the process ends, while the replica is still sending.
 */
final class LongStream {
    private static final int USUAL_EVENTS = 24;
    private static final int LONG_EVENTS = 60;
    private static final long GAP_MILLIS = 75;
    private static final long PAUSE_MILLIS = 2_400;
    private static final int REQUESTERS = 10;
    private static final int LIMIT_MILLIS = 8_017;
    private static final int LONG_STREAMS = 3;
    private static final long GRACE_MILLIS = 8_000;
    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"" + Kit.HOST
        + "\",\"pathPrefix\":\"/draft/\",\"type\":\"streaming\",\"timeoutMs\":8000,\"goalMs\":501,\"priority\":1,\"service\":\"pool\","
        + "\"attempts\":2,\"public\":false,\"canResume\":true,\"gapGoalMs\":120}],\"services\":[{\"name\":\"pool\","
        + "\"healthPath\":\"/health\",\"maxConns\":418,\"proto\":\"h1\",\"tls\":false,\"coldS\":0,\"coldPerS\":0}],"
        + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000},"
        + "\"tenants\":[{\"name\":\"t1\",\"keys\":[\"" + Kit.KEY + "\"],\"priority\":1}]}";

    public static void main(String[] args) {
        Kit.main(args[0], LongStream::run);
    }

    private static int run(Kit kit) throws Exception {
        Set<String> begun = ConcurrentHashMap.newKeySet();
        List<Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            Replica replica = new Replica("i-" + i, new InetSocketAddress("127.0.2." + i, 0), (self, request, out) -> {
                begun.add(request.id());
                Replica.stream(request, out, request.target().endsWith("long") ? LONG_EVENTS : USUAL_EVENTS, GAP_MILLIS);
            });
            replicas.add(replica);
            kit.store.writeReplica(replica.id, replica.record("pool", "a", 8, 1_700_000_000_000L));
        }
        kit.store.writeConfig(CONFIG);
        List<Kit.Node> nodes = List.of(kit.front(1), kit.front(2));
        for (Kit.Node node : nodes) kit.start(node);
        for (Kit.Node node : nodes) kit.awaitReady(node);

        // Requesters with kept connections to the first node: each sends usual streams with pauses between them.
        AtomicInteger ids = new AtomicInteger();
        AtomicInteger complete = new AtomicInteger();
        AtomicInteger incomplete = new AtomicInteger();
        Kit.Node leaving = nodes.get(0);
        List<Thread> requesters = new ArrayList<>();
        long endMillis = kit.millis() + 16_000;
        for (int i = 0; i < REQUESTERS; i++) {
            long delay = 420L * i;
            Thread requester = Kit.daemon(() -> sendUsualStreams(kit, leaving, delay, endMillis, ids, complete, incomplete));
            requesters.add(requester);
            requester.start();
        }
        // Connections that have been used once and are then idle for less than four fifths of `idleMs`.
        List<Caller> kept = new ArrayList<>();
        for (int i = 0; i < LONG_STREAMS; i++) {
            Caller caller = new Caller(leaving.front);
            kept.add(caller);
            Caller.Answer answer = caller.call("POST", "/draft/usual", Kit.HOST, Kit.KEY, "kept" + i, "{}", LIMIT_MILLIS);
            if (!answer.isComplete()) throw new IllegalStateException("a usual stream failed: " + answer);
        }
        Thread.sleep(8_000);
        long signalMillis = kit.millis();
        if (kit.hasTrouble) kit.signal(leaving, "TERM");

        AtomicInteger violations = new AtomicInteger();
        List<Thread> senders = new ArrayList<>();
        for (int i = 0; i < LONG_STREAMS; i++) {
            int number = i;
            Thread.sleep(Math.max(0, signalMillis + 3_300 + 200L * i - kit.millis()));
            Thread sender = Kit.daemon(() -> {
                String id = "long" + number;
                long sentMillis = kit.millis();
                Caller.Answer answer = kept.get(number).call("POST", "/draft/long", Kit.HOST, Kit.KEY, id, "{}", LIMIT_MILLIS);
                long endedMillis = kit.millis();
                int events = answer.body().split("\n\n").length;
                kit.log(id + " sent " + (sentMillis - signalMillis) + " ms after the signal, ended " + (endedMillis - signalMillis)
                    + " ms after it: status " + answer.status() + ", " + (answer.body().isEmpty() ? 0 : events) + " of " + LONG_EVENTS
                    + " events, complete " + answer.isComplete() + ", " + answer.problem() + "; a replica "
                    + (begun.contains(id) ? "ran it" : "did not get it"));
                boolean isWithinLimit = endedMillis - sentMillis < LIMIT_MILLIS;
                boolean isInPeriod = endedMillis - signalMillis <= GRACE_MILLIS + 1_000;
                if (!answer.isComplete() && begun.contains(id) && isWithinLimit && isInPeriod) violations.incrementAndGet();
            });
            senders.add(sender);
            sender.start();
        }
        for (Thread sender : senders) sender.join();
        for (Thread requester : requesters) requester.join();
        kit.log("usual streams: " + complete.get() + " complete, " + incomplete.get() + " not complete");
        kit.log("streams that were passed on to a replica and cut by the leaving node: " + violations.get());
        return violations.get();
    }

    /** Sends usual streams to [first] until it closes the connection, then to nobody: its place is taken by other nodes. */
    private static void sendUsualStreams(
        Kit kit, Kit.Node first, long delay, long endMillis, AtomicInteger ids, AtomicInteger complete, AtomicInteger incomplete) {
        try {
            Thread.sleep(delay);
            Caller caller = new Caller(first.front);
            while (kit.millis() < endMillis) {
                Caller.Answer answer = caller.call("POST", "/draft/usual", Kit.HOST, Kit.KEY, "s" + ids.incrementAndGet(), "{}", LIMIT_MILLIS);
                if (answer.isComplete() && answer.status() == 200) complete.incrementAndGet();
                else incomplete.incrementAndGet();
                if (answer.isLast()) return;
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (Exception e) {
            kit.log("a requester ended: " + e);
        }
    }
}
