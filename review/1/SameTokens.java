import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All processes are killed at the same moment and start again at once, while ranks carry some orders out late. The side that
 * coordinates the group returns before its membership in the store has lapsed. It uses the fencing tokens and the map versions of
 * its previous life again, so that a late order of that life is taken for one of its own.
 */
final class SameTokens {
    private static final int RANKS = 3;
    private static final int FENCE_BITS_PER_TERM = 20;
    private static final int MAX_STARTS = 6;
    private static final int MAX_ATTEMPTS = 4;
    private static final String GROUP = "expert-map-g";
    private static final long FRONT_DELAY_MILLIS = 500;
    private static final long RESTART_MILLIS = Long.getLong("restart", 20);
    private static final long FIRST_LATE_MILLIS = 2_500;
    private static final long OTHER_LATE_MILLIS = 12_000;
    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"" + Kit.HOST
        + "\",\"pathPrefix\":\"/draft/\",\"type\":\"streaming\",\"timeoutMs\":8000,\"goalMs\":501,\"priority\":1,\"service\":\"" + RankGroup.SERVICE
        + "\",\"attempts\":2,\"public\":false,\"canResume\":true,\"gapGoalMs\":120}],\"services\":[{\"name\":\"" + RankGroup.SERVICE + "\","
        + "\"healthPath\":\"/health\",\"maxConns\":418,\"proto\":\"h1\",\"tls\":false,\"coldS\":3.0,\"coldPerS\":36.0," + RankGroup.ENGINE + "}],"
        + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000},"
        + "\"tenants\":[{\"name\":\"t1\",\"keys\":[\"" + Kit.KEY + "\"],\"priority\":1}]}";

    private final Kit kit;
    private final RankGroup group;
    private final Set<Integer> claimed = ConcurrentHashMap.newKeySet();
    private final Set<Integer> latePrepares = ConcurrentHashMap.newKeySet();
    private final AtomicInteger orders = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean arePreparesLate;
    private volatile long firstOrderMillis;
    private volatile long claimFence;
    private List<Kit.Node> fronts;
    private List<Kit.Node> nodes;

    private SameTokens(Kit kit) throws Exception {
        this.kit = kit;
        group = new RankGroup(kit, RANKS, this::latenessOf);
    }

    public static void main(String[] args) {
        Kit.main(args[0], kit -> new SameTokens(kit).run());
    }

    private long latenessOf(RankGroup.Order order) {
        if (orders.getAndIncrement() == 0) firstOrderMillis = kit.millis();
        if (order.op().equals("disarm") && order.version() == 0) {
            claimed.add(order.rank());
            claimFence = order.fence();
        }
        if (!arePreparesLate || !order.op().equals("prepare")) return 0;
        latePrepares.add(order.rank());
        return order.rank() == 0 ? FIRST_LATE_MILLIS : OTHER_LATE_MILLIS;
    }

    private int run() throws Exception {
        kit.store.writeConfig(CONFIG);
        fronts = List.of(kit.front(1), kit.front(2));
        nodes = new ArrayList<>(fronts);
        for (RankGroup.Rank rank : group.ranks()) nodes.add(kit.side(rank.number + 1, rank.replica.address, RankGroup.SERVICE));
        startSite();
        for (int i = 0; i < 6; i++) {
            int number = i;
            Kit.daemon(() -> sendStreams(number)).start();
        }
        Thread.sleep(1_500);

        if (kit.hasTrouble) {
            for (int attempt = 1; !killWhilePreparing(); attempt++) {
                if (attempt == MAX_ATTEMPTS) throw new IllegalStateException("no restart was quick enough");
                kit.log("a membership lapsed before its side was back; tried again");
                stopSite();
                startSite();
                Thread.sleep(1_500);
            }
            kit.log("orders: " + orders.get() + " in " + (kit.millis() - firstOrderMillis) + " ms, of these late: " + RANKS);
            Thread.sleep(FIRST_LATE_MILLIS + 1_000);
        } else {
            shiftDemand(0);
            Thread.sleep(3_000);
        }
        int servedBefore = served.get();
        shiftDemand(1);
        Thread.sleep(5_000);
        kit.log(group.state());
        kit.log("changes of the map: " + group.changes() + "; streams served in the last 5 s: " + (served.get() - servedBefore));
        kit.log("passes that began while ranks had different maps: " + group.mixedPasses());
        return group.mixedPasses();
    }

    /** Kills and starts all processes while no rank has carried out its order to prepare a map; returns whether no membership has lapsed. */
    private boolean killWhilePreparing() throws Exception {
        long generation = kit.store.generation(GROUP);
        latePrepares.clear();
        arePreparesLate = true;
        shiftDemand(0);
        await(() -> latePrepares.size() == RANKS, 3_000, "late orders");
        group.isPopular = expert -> false;
        killAndRestartAll();
        arePreparesLate = false;
        awaitClaims();
        return kit.store.generation(GROUP) == generation;
    }

    /** Makes the experts popular that map 0 places on [rank]. */
    private void shiftDemand(int rank) {
        kit.log("the experts of rank " + rank + " are in demand");
        group.isPopular = expert -> expert % RANKS == rank;
    }

    /**
     * Starts all processes. If the coordinator has begun before the last side had joined, its token is that of an earlier generation, and the
     * site is started again.
     */
    private void startSite() throws Exception {
        for (int attempt = 1; ; attempt++) {
            for (Kit.Node node : nodes) kit.start(node);
            awaitClaims();
            Thread.sleep(1_000);
            for (Kit.Node node : fronts) kit.awaitReady(node);
            if (claimFence == kit.store.generation(GROUP) << FENCE_BITS_PER_TERM) return;
            if (attempt == MAX_STARTS) throw new IllegalStateException("the coordinator began too early in " + attempt + " starts");
            kit.log("the coordinator has begun before the last side had joined; the site is started again");
            stopSite();
        }
    }

    private void stopSite() throws Exception {
        for (Kit.Node node : nodes) node.process.destroy();
        for (Kit.Node node : nodes) node.process.waitFor();
        Thread.sleep(1_500);
        claimed.clear();
        orders.set(0);
    }

    private void killAndRestartAll() throws Exception {
        kit.log("SIGKILL to all processes");
        for (Kit.Node node : nodes) node.process.destroyForcibly();
        for (Kit.Node node : nodes) node.process.waitFor();
        claimed.clear();
        Thread.sleep(RESTART_MILLIS);
        for (Kit.Node node : nodes) if (!fronts.contains(node)) kit.start(node);
        Thread.sleep(FRONT_DELAY_MILLIS);
        for (Kit.Node node : fronts) kit.start(node);
    }

    private void awaitClaims() throws Exception {
        await(() -> claimed.size() == RANKS, 15_000, "claims of all ranks");
    }

    private void await(java.util.function.BooleanSupplier condition, long limitMillis, String what) throws Exception {
        long deadline = kit.millis() + limitMillis;
        while (!condition.getAsBoolean()) {
            if (kit.millis() > deadline) throw new IllegalStateException("no " + what + " within " + limitMillis + " ms");
            Thread.sleep(2);
        }
    }

    /** Sends streams one after the other, to the nodes in turn. */
    private void sendStreams(int number) {
        for (int i = 0; ; i++) {
            InetSocketAddress node = fronts.get((number + i) % fronts.size()).front;
            try (Caller caller = new Caller(node)) {
                Caller.Answer answer = caller.call("POST", "/draft/x", Kit.HOST, Kit.KEY, "s" + number + "-" + i, "{}", 8_017);
                if (answer.status() == 200 && answer.isComplete()) served.incrementAndGet();
                Thread.sleep(100);
            } catch (Exception e) {
                // The node is down.
                try {
                    Thread.sleep(100);
                } catch (InterruptedException interrupted) {
                    return;
                }
            }
        }
    }
}
