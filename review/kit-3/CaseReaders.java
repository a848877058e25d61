import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Requesters read long answers of one service slowly, while others make short bookings at another service. TROUBLE=0: the same
 * requests, read at full speed.
 */
final class CaseReaders {
    static final int ANSWER_BYTES = 5_000_000;
    static final int READERS = 700;
    static final int READER_GAP_MILLIS = 60;
    static final int READ_BYTES_PER_SECOND = 100_000;
    static final int TIME_LIMIT_MILLIS = 30_000;
    static final int BOOKING_GAP_MILLIS = 50;
    static final int BOOKING_TIMEOUT_MILLIS = 1_500;
    static final int LATE_MILLIS = 500;
    static final int SECONDS = 42;

    static final Set<String> ran = ConcurrentHashMap.newKeySet();
    static final Map<String, Integer> bookingOutcomes = new TreeMap<>();
    static final Map<String, Integer> readerOutcomes = new TreeMap<>();
    static final AtomicInteger late = new AtomicInteger();
    static final AtomicInteger unanswered = new AtomicInteger();
    static final byte[] longBody = new byte[ANSWER_BYTES];
    static volatile boolean isOver;

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], CaseReaders::run);
    }

    static boolean run() throws Exception {
        Arrays.fill(longBody, (byte) 'a');
        Site site = new Site();
        for (int i = 0; i < 3; i++) {
            new Replica(site.store, "wuno96b", "almaty-a", 12, (replica, head, in, out, socket) -> {
                Replica.readBody(head, in);
                ran.add(head.get("Request-Id"));
                Kit.sleep(20);
                replica.answer(head, out, "200 OK", "done " + head.get("Request-Id"));
                return true;
            });
            new Replica(site.store, "zeba51c", "almaty-a", 12, (replica, head, in, out, socket) -> {
                Replica.readBody(head, in);
                ran.add(head.get("Request-Id"));
                out.write((Replica.answerHead(head, "200 OK") + "Content-Length: " + ANSWER_BYTES + "\r\n\r\n").getBytes());
                out.write(longBody);
                out.flush();
                return true;
            });
        }
        site.putConfig(
            Site.route("r-book", "/puxa403/", "unsafe", BOOKING_TIMEOUT_MILLIS, 194, 1, "wuno96b", "") + ","
                + Site.route("r-report", "/cufi504/", "safe", TIME_LIMIT_MILLIS, 501, 2, "zeba51c", ""),
            Site.plainService("wuno96b", 400) + "," + Site.plainService("zeba51c", 400));
        site.startEntries(1);
        Site.EntryNode entry = site.entries.get(0);
        Kit.sleep(4000);
        List<Thread> bookings = Collections.synchronizedList(new ArrayList<>());
        long end = System.currentTimeMillis() + SECONDS * 1000L;
        Thread booker = Kit.daemon(() -> {
            while (System.currentTimeMillis() < end) {
                bookings.add(Kit.daemon(() -> book(entry)));
                Kit.sleep(BOOKING_GAP_MILLIS);
            }
        });
        Kit.log("the readers begin");
        Kit.daemon(() -> {
            for (int i = 0; i < READERS; i++) {
                Kit.daemon(() -> read(entry));
                Kit.sleep(READER_GAP_MILLIS);
            }
        });
        for (int i = 0; i < 10; i++) {
            Kit.sleep(4000);
            Kit.log("readiness check answered within 1 s: " + entry.isReady(1000));
        }
        booker.join();
        for (Thread t : bookings) t.join();
        isOver = true;
        Kit.log("bookings: " + bookingOutcomes);
        Kit.log("readers that have ended: " + readerOutcomes);
        Kit.log("the entry is alive: " + entry.proc.process.isAlive());
        int slow = late.get() + unanswered.get();
        Kit.log("bookings without an answer after " + BOOKING_TIMEOUT_MILLIS + " ms: " + slow + "; of these, without one " + LATE_MILLIS + " ms later: "
            + unanswered + " (more than half break the rule)");
        return unanswered.get() * 2 <= slow;
    }

    static void book(Site.EntryNode entry) {
        String id = Kit.id();
        String outcome;
        long sentAt = System.nanoTime();
        try (Requester requester = new Requester(entry)) {
            requester.send("POST", "/puxa403/b", id, 1509, new byte[600], "");
            Requester.Answer answer = requester.read(BOOKING_TIMEOUT_MILLIS + LATE_MILLIS);
            long millis = (System.nanoTime() - sentAt) / 1_000_000;
            if (millis > BOOKING_TIMEOUT_MILLIS) late.incrementAndGet();
            outcome = "" + answer.status();
            Kit.log("booking " + id + ": " + outcome + " after " + millis + " ms; run by a replica: " + ran.contains(id));
        } catch (IOException e) {
            outcome = e instanceof SocketTimeoutException ? "no answer in 2 s" : "" + e;
            unanswered.incrementAndGet();
            Kit.log("booking " + id + " after " + (System.nanoTime() - sentAt) / 1_000_000 + " ms: " + e + "; run by a replica: " + ran.contains(id));
        }
        synchronized (bookingOutcomes) { bookingOutcomes.merge(outcome, 1, Integer::sum); }
    }

    /** Reads an answer at the speed of a slow requester, and leaves at the time limit. */
    static void read(Site.EntryNode entry) {
        String id = Kit.id();
        String outcome;
        long endNanos = System.nanoTime() + TIME_LIMIT_MILLIS * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(16_384);
            socket.connect(new InetSocketAddress(entry.ip, entry.front), 1000);
            socket.setSoTimeout(TIME_LIMIT_MILLIS);
            socket.getOutputStream().write(("GET /cufi504/r HTTP/1.1\r\nHost: " + Site.HOST + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + TIME_LIMIT_MILLIS
                + "\r\nAuthorization: Bearer " + Site.KEY + "\r\n\r\n").getBytes());
            InputStream in = socket.getInputStream();
            byte[] part = new byte[Kit.TROUBLE ? 10_000 : 65_536];
            int total = 0;
            while (total < ANSWER_BYTES && System.nanoTime() < endNanos) {
                int count = in.read(part);
                if (count < 0) break;
                total += count;
                if (Kit.TROUBLE) Kit.sleep(count * 1000L / READ_BYTES_PER_SECOND);
            }
            outcome = total >= ANSWER_BYTES ? "read whole" : System.nanoTime() >= endNanos ? "left at its time limit" : "closed";
        } catch (IOException e) {
            outcome = e instanceof SocketTimeoutException ? "no answer" : "" + e;
        }
        if (isOver) return;
        Kit.log("reader " + id + ": " + outcome + "; run by a replica: " + ran.contains(id));
        synchronized (readerOutcomes) { readerOutcomes.merge(outcome, 1, Integer::sum); }
    }
}
