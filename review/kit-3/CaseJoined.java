import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * One of three replicas breaks off a few of its answers and sends a second copy of them on the kept channel, its head first and its body a
 * moment later. The answers break off where the head of the copy fills the rest of their length. TROUBLE=0: no answer breaks off.
 */
final class CaseJoined {
    static final int BODY_BYTES = 800;
    static final double GARBLED_SHARE = 0.03;
    static final int CALLERS = 8;
    static final int GAP_MILLIS = 100;
    static final int SECONDS = 50;

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], CaseJoined::run);
    }

    static boolean run() throws Exception {
        Site site = new Site();
        Set<String> ran = ConcurrentHashMap.newKeySet();
        Set<String> garbled = ConcurrentHashMap.newKeySet();
        Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
        AtomicInteger mixed = new AtomicInteger();
        for (int i = 0; i < 3; i++) {
            boolean isFaulty = Kit.TROUBLE && i == 0;
            new Replica(site.store, "wuno96b", "almaty-a", 6, (replica, head, in, out, socket) -> {
                Replica.readBody(head, in);
                String id = head.get("Request-Id");
                ran.add(id);
                Kit.sleep(43);
                String body = bodyOf(id);
                if (!isFaulty || ThreadLocalRandom.current().nextDouble() >= GARBLED_SHARE) {
                    replica.answer(head, out, "200 OK", body);
                    return true;
                }
                garbled.add(id);
                String answerHead = Replica.answerHead(head, "200 OK") + "Content-Length: " + BODY_BYTES + "\r\n\r\n";
                write(out, answerHead + body.substring(0, BODY_BYTES - answerHead.length()));
                Kit.sleep(20);
                write(out, answerHead);
                Kit.sleep(30);
                write(out, body);
                Kit.log("replica " + replica.id + " has run " + id + ", broken off its answer " + answerHead.length() + " bytes before the end and sent it again");
                return true;
            });
        }
        site.putConfig(Site.route("r-book", "/puxa403/", "unsafe", 1500, 194, 1, "wuno96b", ""), Site.plainService("wuno96b", 49));
        site.startEntries(1);
        Kit.sleep(4000);
        long end = System.currentTimeMillis() + SECONDS * 1000L;
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(Kit.daemon(() -> {
                while (System.currentTimeMillis() < end) {
                    String id = Kit.id();
                    String outcome;
                    try (Requester requester = new Requester(site.entries.get(0))) {
                        requester.send("POST", "/puxa403/x", id, 1509, new byte[600], "");
                        Requester.Answer answer = requester.read(3000);
                        outcome = "" + answer.status();
                        boolean isSealed = ("seal-" + id).equals(answer.head().get("Response-Seal"));
                        if (answer.status() == 200 && !(isSealed && answer.text().equals(bodyOf(id)))) {
                            outcome = "200 with other bytes";
                            mixed.incrementAndGet();
                            Kit.log("request " + id + ": 200, sealed: " + isSealed + ", complete with " + answer.body().length + " bytes, which end with: "
                                + answer.text().substring(BODY_BYTES - 120).replace("\r\n", "\\r\\n"));
                        }
                    } catch (IOException e) {
                        outcome = "" + e;
                    }
                    Kit.log("request " + id + ": " + outcome + "; run by a replica: " + ran.contains(id) + (garbled.contains(id) ? "; its answer was broken off" : ""));
                    outcomes.computeIfAbsent(outcome, o -> new AtomicInteger()).incrementAndGet();
                    Kit.sleep(GAP_MILLIS);
                }
            }));
        }
        for (Thread t : callers) t.join();
        Kit.log("answers: " + new TreeMap<>(outcomes) + "; broken off and sent again: " + garbled.size());
        if (Kit.TROUBLE && garbled.isEmpty()) throw new IllegalStateException("no answer was broken off");
        Kit.log(mixed + " requesters got a sealed, complete 200 with bytes that are not the replica's body (none may)");
        return mixed.get() == 0;
    }

    static String bodyOf(String id) {
        return ("<" + id + ">").repeat(BODY_BYTES).substring(0, BODY_BYTES);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes("US-ASCII"));
        out.flush();
    }
}
