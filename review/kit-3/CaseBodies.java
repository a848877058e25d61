import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Requesters send bodies within the limit of the configuration to a service whose replicas read slowly; others make short bookings at
 * a service with quick, sound replicas. TROUBLE=0: all replicas read at full speed.
 */
final class CaseBodies {
    static final int MIN_BODY_BYTES = 16_384;
    static final int MAX_BODY_BYTES = 4_194_304;
    static final int UPLOADS = 360;
    static final int UPLOAD_GAP_MILLIS = 22;
    static final int SLOW_READ_MILLIS = 7_000;
    static final int BOOKING_GAP_MILLIS = 50;
    static final int BOOKING_TIMEOUT_MILLIS = 1_500;
    static final int LATE_MILLIS = 500;
    static final int SECONDS = 18;

    /** Requests that a replica began to run, by id. */
    static final Set<String> ran = ConcurrentHashMap.newKeySet();
    static final Map<String, Integer> bookingOutcomes = new TreeMap<>();
    static final Map<String, Integer> uploadOutcomes = new TreeMap<>();
    static final ConcurrentLinkedDeque<Requester> kept = new ConcurrentLinkedDeque<>();
    static final AtomicInteger unanswered = new AtomicInteger();
    static final AtomicInteger answeredLate = new AtomicInteger();
    static final AtomicInteger answeredInTime = new AtomicInteger();

    /** Whether the verdict is being given; what ends later has no bearing on it. */
    static volatile boolean isOver;

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], CaseBodies::run);
    }

    static boolean run() throws Exception {
        Site site = new Site();
        for (int i = 0; i < 3; i++) {
            new Replica(site.store, "wuno96b", "almaty-a", 6, serve(false));
            new Replica(site.store, "zeba51c", "almaty-a", 6, serve(Kit.TROUBLE));
        }
        site.putConfig(
            Site.route("r-book", "/puxa403/", "unsafe", BOOKING_TIMEOUT_MILLIS, 194, 1, "wuno96b", "") + ","
                + Site.route("r-upload", "/cufi504/", "unsafe", 8000, 501, 1, "zeba51c", ""),
            Site.plainService("wuno96b", 250) + "," + Site.plainService("zeba51c", 250));
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
        Kit.sleep(1000);
        Kit.log("the uploads begin");
        Random sizes = new Random(51);
        long bytes = 0;
        for (int i = 0; i < UPLOADS; i++) {
            int size = (int) (MIN_BODY_BYTES * Math.pow((double) MAX_BODY_BYTES / MIN_BODY_BYTES, sizes.nextDouble()));
            bytes += size;
            Kit.daemon(() -> upload(entry, size));
            Kit.sleep(UPLOAD_GAP_MILLIS);
        }
        Kit.log("the last upload is on its way; all have " + bytes + " bytes");
        booker.join();
        for (Thread t : bookings) t.join();
        isOver = true;
        Kit.log("bookings: " + bookingOutcomes);
        Kit.log("uploads that have ended: " + uploadOutcomes);
        Kit.log("the entry is alive: " + entry.proc.process.isAlive() + ", ready: " + entry.isReady(2000));
        Kit.log("lines of its log that name an OutOfMemoryError: " + entry.proc.logLines("OutOfMemoryError").size());
        int late = unanswered.get() + answeredLate.get() + answeredInTime.get();
        Kit.log("bookings without an answer after " + BOOKING_TIMEOUT_MILLIS + " ms: " + late + "; of these, without one " + LATE_MILLIS + " ms later: "
            + (unanswered.get() + answeredLate.get()) + ", " + unanswered + " of them never (more than half break the rule)");
        return (unanswered.get() + answeredLate.get()) * 2 <= late;
    }

    static Replica.Handler serve(boolean isSlow) {
        Semaphore slots = new Semaphore(6);
        return (replica, head, in, out, socket) -> {
            int left = Integer.parseInt(head.get("Content-Length"));
            int parts = 64;
            byte[] part = new byte[Math.max(1, left / parts)];
            while (left > 0) {
                int count = in.readNBytes(part, 0, Math.min(part.length, left));
                if (count <= 0) return false;
                left -= count;
                if (isSlow) Kit.sleep(SLOW_READ_MILLIS / parts);
            }
            slots.acquire();
            try {
                ran.add(head.get("Request-Id"));
                Kit.sleep(20);
            } finally {
                slots.release();
            }
            replica.answer(head, out, "200 OK", "done " + head.get("Request-Id"));
            return true;
        };
    }

    static void book(Site.EntryNode entry) {
        String id = Kit.id();
        String outcome;
        long sentAt = System.nanoTime();
        Requester requester = kept.pollFirst();
        boolean isKept = requester != null;
        try {
            if (requester == null) requester = new Requester(entry);
            requester.send("POST", "/puxa403/b", id, 10_000, new byte[600], "");
            Requester.Answer answer = requester.read(8000);
            long millis = (System.nanoTime() - sentAt) / 1_000_000;
            if (millis > BOOKING_TIMEOUT_MILLIS + LATE_MILLIS) answeredLate.incrementAndGet();
            else if (millis > BOOKING_TIMEOUT_MILLIS) answeredInTime.incrementAndGet();
            outcome = "" + answer.status() + (millis > BOOKING_TIMEOUT_MILLIS + LATE_MILLIS ? " late" : "");
            Kit.log("booking " + id + ": " + answer.status() + " after " + millis + " ms; run by a replica: " + ran.contains(id));
            if ("close".equalsIgnoreCase(answer.head().get("Connection"))) requester.close();
            else kept.addFirst(requester);
        } catch (IOException e) {
            outcome = e instanceof java.net.SocketTimeoutException ? "no answer in 8 s" : "closed without an answer";
            unanswered.incrementAndGet();
            Kit.log("booking " + id + " after " + (System.nanoTime() - sentAt) / 1_000_000 + " ms: " + e + "; kept channel: " + isKept
                + ", run by a replica: " + ran.contains(id));
            Kit.close(requester);
        }
        synchronized (bookingOutcomes) { bookingOutcomes.merge(outcome, 1, Integer::sum); }
    }

    static void upload(Site.EntryNode entry, int size) {
        String id = Kit.id();
        String outcome;
        try (Requester requester = new Requester(entry)) {
            requester.send("POST", "/cufi504/u", id, 8017, new byte[size], "");
            outcome = "" + requester.read(12000).status();
            Kit.log("upload " + id + " of " + size + " bytes: " + outcome + "; run by a replica: " + ran.contains(id));
        } catch (IOException e) {
            if (isOver) return;
            outcome = e instanceof java.net.SocketTimeoutException ? "no answer in 12 s" : "closed without an answer";
            Kit.log("upload " + id + " of " + size + " bytes: " + e + "; run by a replica: " + ran.contains(id));
        }
        synchronized (uploadOutcomes) { uploadOutcomes.merge(outcome, 1, Integer::sum); }
    }
}
