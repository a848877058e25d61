import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/** Stand-in of a replica of a plain service: registers itself in the store and serves requests with [handler]. */
final class Replica {
    /** Serves one request whose head was read. Returns false if the connection ends. */
    interface Handler { boolean serve(Replica replica, Kit.Head head, InputStream in, OutputStream out, Socket socket) throws Exception; }

    static final int HEARTBEAT_MILLIS = 1200;

    final String id = "i-" + Kit.id().substring(0, 8);
    final String service;
    final String zone;
    final String ip;
    final int port;
    final long born = System.currentTimeMillis();
    final int slots;
    final Handler handler;
    private final ServerSocket server;
    private final Store store;
    private volatile boolean isAnnounced = true;
    private volatile String state = "ready";
    volatile boolean isLeaving;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Replica(Store store, String service, String zone, int slots, Handler handler) throws IOException {
        this.store = store;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.handler = handler;
        ip = Kit.loopbackAddress();
        server = new ServerSocket();
        server.bind(new InetSocketAddress(ip, 0), 200);
        port = server.getLocalPort();
        Kit.daemon(this::accept);
        Kit.daemon(() -> {
            while (isAnnounced) {
                announce();
                Kit.sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    /** Stops announcing itself; its record is removed, and it goes on serving. */
    void leaveSilently() {
        isAnnounced = false;
        isLeaving = true;
        store.put("keyed.servers", id, null);
    }

    /** Ends at once, with all its connections. */
    void exit() {
        Kit.close(server);
        sockets.forEach(Kit::close);
    }

    private void announce() {
        store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"addr\":\"" + ip + ":" + port + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"batchSlots\":" + slots + ",\"state\":\"" + state + "\",\"coldMs\":0,\"seq\":0,\"born\":" + born + "}");
    }

    private void accept() {
        while (true) {
            try {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                sockets.add(s);
                Kit.daemon(() -> {
                    serve(s);
                    sockets.remove(s);
                });
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = new BufferedOutputStream(s.getOutputStream());
            while (true) {
                Kit.Head head = Kit.readHead(in);
                if (head == null) return;
                if (head.first.startsWith("GET /health ")) {
                    out.write(("HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n").getBytes());
                    out.flush();
                    continue;
                }
                String expected = head.get("Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    readBody(head, in);
                    out.write(("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n").getBytes());
                    out.flush();
                    continue;
                }
                if (!handler.serve(this, head, in, out, s)) return;
            }
        } catch (Exception e) {
            // The caller has closed its connection, or this replica has.
        }
    }

    static byte[] readBody(Kit.Head head, InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(head.get("Transfer-Encoding"))) return Kit.readChunks(in);
        String length = head.get("Content-Length");
        return length == null ? new byte[0] : Kit.readFully(in, Integer.parseInt(length));
    }

    /** Head of a sealed answer with [status] to the request of [head], without its framing. */
    static String answerHead(Kit.Head head, String status) {
        return "HTTP/1.1 " + status + "\r\nRequest-Id: " + head.get("Request-Id") + "\r\nResponse-Seal: seal-" + head.get("Request-Id") + "\r\n";
    }

    void answer(Kit.Head head, OutputStream out, String status, String body) throws IOException {
        out.write((answerHead(head, status) + (isLeaving ? "Server-Leaving: 1\r\n" : "") + "Content-Length: " + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }
}
