import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * A replica leaves, and its record is removed; then the store comes back from a copy that is some seconds old and has the record.
 * TROUBLE=0: the store does not come back from a copy.
 */
final class CaseReturn {
    static final int DRAIN_MILLIS = 2_000;
    static final int TOUCH_MILLIS = 3_000;

    /** When each request reached a replica, which then runs it. */
    static final Map<String, Long> arrivedAt = new ConcurrentHashMap<>();
    static final Map<String, String> outcomeById = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], CaseReturn::run);
    }

    static boolean run() throws Exception {
        Site site = new Site();
        List<Replica> replicas = new ArrayList<>();
        AtomicLong leftAt = new AtomicLong(Long.MAX_VALUE / 2);
        AtomicBoolean hasLateRequest = new AtomicBoolean();
        Set<String> atLeaver = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 3; i++) {
            Semaphore slots = new Semaphore(6);
            replicas.add(new Replica(site.store, "wuno96b", "almaty-a", 6, (replica, head, in, out, socket) -> {
                Replica.readBody(head, in);
                String id = head.get("Request-Id");
                arrivedAt.put(id, System.nanoTime());
                if (replica.isLeaving) atLeaver.add(id);
                if (replica.isLeaving && System.nanoTime() - leftAt.get() > DRAIN_MILLIS * 1_000_000L && hasLateRequest.compareAndSet(false, true)) {
                    Kit.daemon(() -> {
                        Kit.sleep(30);
                        replica.exit();
                        Kit.log("replica " + replica.id + " exits, as one that has left does some time after " + DRAIN_MILLIS + " ms");
                    });
                }
                slots.acquire();
                try {
                    Kit.sleep(43);
                } finally {
                    slots.release();
                }
                replica.answer(head, out, "200 OK", "done " + id);
                return true;
            }));
        }
        site.putConfig(Site.route("r-book", "/puxa403/", "unsafe", 1500, 194, 1, "wuno96b", ""), Site.plainService("wuno96b", 49));
        String config = site.lastConfig;
        site.startEntries(1);
        Site.EntryNode entry = site.entries.get(0);
        Kit.sleep(4000);
        call(entry, 10);
        Kit.sleep(500);
        Store.Copy copy = site.store.copy();
        Kit.log("the copy is made");
        Kit.sleep(700);
        Replica leaver = replicas.get(0);
        leftAt.set(System.nanoTime());
        leaver.leaveSilently();
        Kit.log("replica " + leaver.id + " leaves; the store has accepted it");
        Kit.sleep(1500);
        call(entry, 30);
        Kit.sleep(300);
        long backAt = System.nanoTime();
        if (Kit.TROUBLE) {
            site.store.comeBackFrom(copy, 500);
            backAt = System.nanoTime();
            Kit.daemon(() -> {
                Kit.sleep(500);
                site.store.put("keyed.op", "config", config);
                Kit.log("the operator has written its records again");
                Kit.sleep(3 * Replica.HEARTBEAT_MILLIS - 500);
                site.store.put("keyed.servers", leaver.id, null);
                Kit.log("the record of " + leaver.id + " is removed after three intervals of silence");
            });
        }
        Kit.sleep(TOUCH_MILLIS + 50 - (System.nanoTime() - backAt) / 1_000_000);
        Kit.log("the entry is in touch again");
        for (int i = 0; i < 30; i++) {
            call(entry, i == 0 ? 15 : 5);
            Kit.sleep(20);
        }
        Kit.sleep(500);
        long drainEnd = leftAt.get() + DRAIN_MILLIS * 1_000_000L;
        long late = atLeaver.stream().filter(id -> arrivedAt.get(id) > drainEnd).count();
        for (String id : atLeaver) Kit.log("request " + id + " reached " + leaver.id + " " + (arrivedAt.get(id) - leftAt.get()) / 1_000_000 + " ms after it had left; answered by the entry: " + outcomeById.get(id));
        Kit.log(late + " requests reached the replica more than " + DRAIN_MILLIS + " ms after its leaving was accepted (none may)");
        return late == 0;
    }

    /** Sends [count] requests at once and waits for their answers. */
    static void call(Site.EntryNode entry, int count) throws Exception {
        CountDownLatch done = new CountDownLatch(count);
        Map<String, Integer> outcomes = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            Kit.daemon(() -> {
                String id = Kit.id();
                String outcome;
                try (Requester requester = new Requester(entry)) {
                    requester.send("POST", "/puxa403/x", id, 1509, new byte[600], "");
                    outcome = "" + requester.read(3000).status();
                } catch (IOException e) {
                    outcome = "" + e;
                }
                Kit.log("request " + id + ": " + outcome + "; run by a replica: " + arrivedAt.containsKey(id));
                outcomeById.put(id, outcome);
                synchronized (outcomes) { outcomes.merge(outcome, 1, Integer::sum); }
                done.countDown();
            });
        }
        done.await(5, TimeUnit.SECONDS);
        Kit.log(count + " requests: " + outcomes);
    }
}
