import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for a replica: serves one request at a time on each connection and runs only requests that expect its id. */
final class Replica {
    /** A request as the replica received it; header names are in lower case. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String id() {
            return headers.getOrDefault("request-id", "");
        }
    }

    /** Runs a request and writes its whole answer; throws if the connection has ended. */
    interface Work {
        void run(Replica replica, Request request, OutputStream out) throws IOException, InterruptedException;
    }

    final String id;
    final InetSocketAddress address;
    private final Work work;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final ServerSocket listener = new ServerSocket();
    private volatile boolean isDown;

    /** Listens on [address], whose port may be 0. */
    Replica(String id, InetSocketAddress address, Work work) throws IOException {
        this.id = id;
        this.work = work;
        listener.setReuseAddress(true);
        listener.bind(address, 256);
        this.address = new InetSocketAddress(InetAddress.getByName(address.getHostString()), listener.getLocalPort());
        Kit.daemon(this::accept).start();
    }

    /** The record by which the replica registers itself in the store. */
    String record(String service, String zone, int slots, long bornMillis) {
        return "{\"service\":\"" + service + "\",\"addr\":\"" + address.getHostString() + ":" + address.getPort() + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"batchSlots\":" + slots + ",\"state\":\"ready\",\"coldMs\":0,\"seq\":1,\"born\":" + bornMillis + "}";
    }

    /** Ends as a process that was killed: its port refuses connections and its open connections are reset. */
    void crash() throws IOException {
        isDown = true;
        listener.close();
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
    }

    private void accept() {
        while (!isDown) {
            try {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                Kit.daemon(() -> serve(connection)).start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (Request request = Replica.read(in); request != null; request = Replica.read(in)) {
                String expected = request.headers.get("expect-instance");
                if (expected != null && !expected.equals(id)) {
                    write(out, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request.id() + "\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                } else {
                    work.run(this, request, out);
                }
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the connection or this replica has crashed.
        } finally {
            connections.remove(connection);
        }
    }

    /** The head of a successful answer; [framing] is the header that states how its body ends. */
    static String head(Request request, String contentType, String framing) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.id() + "\r\nResponse-Seal: s." + request.id() + "\r\nContent-Type: " + contentType
            + "\r\n" + framing + "\r\n\r\n";
    }

    /** Answers with a whole stream of [events] events, one each [gapMillis]. */
    static void stream(Request request, OutputStream out, int events, long gapMillis) throws IOException, InterruptedException {
        int first = Integer.parseInt(request.headers.getOrDefault("last-event-id", "0")) + 1;
        write(out, head(request, "text/event-stream", "Transfer-Encoding: chunked"));
        for (int event = first; event <= events; event++) {
            Thread.sleep(gapMillis);
            write(out, chunk(event(event)));
        }
        write(out, "0\r\n\r\n");
    }

    static String event(int id) {
        return "id: " + id + "\ndata: piece " + id + "\n\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Reads a request with a length or without a body; returns null at the end of the connection. */
    static Request read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) return null;
        String[] words = line.split(" ");
        Map<String, String> headers = headers(in);
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(words[0], words[1], headers, body);
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        return headers;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) return null;
            if (next != '\r') bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }
}
