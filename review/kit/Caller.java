import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Stand-in for a requester with one kept connection. */
final class Caller implements AutoCloseable {
    /**
     * What the caller has seen of an answer.
     *
     * @param status 0 if the connection ended before the head of an answer.
     * @param isComplete whether the body ended as the head had announced.
     */
    record Answer(int status, Map<String, String> headers, String body, boolean isComplete, String problem) {
        /** Whether the node said that it will close the connection. */
        boolean isLast() {
            return !isComplete || "close".equalsIgnoreCase(headers.get("connection"));
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Caller(InetSocketAddress address) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(address, 1_000);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Sends one request and reads its answer for at most [limitMillis], which the request states as its time limit. */
    Answer call(String method, String path, String host, String key, String requestId, String body, int limitMillis) {
        String problem = "";
        int status = 0;
        Map<String, String> headers = Map.of();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        boolean isComplete = false;
        try {
            socket.setSoTimeout(limitMillis + 500);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String length = method.equals("GET") ? "" : "Content-Length: " + bytes.length + "\r\n";
            out.write((method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + requestId + "\r\nDeadline-Ms: " + limitMillis
                + "\r\nAuthorization: Bearer " + key + "\r\n" + length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            out.flush();
            String line = Replica.line(in);
            if (line == null) return new Answer(0, headers, "", false, "closed before an answer");
            status = Integer.parseInt(line.split(" ")[1]);
            headers = Replica.headers(in);
            isComplete = readBody(headers, received);
            if (!isComplete) problem = "closed in the middle of the answer";
        } catch (IOException e) {
            problem = e.toString();
        }
        return new Answer(status, headers, received.toString(StandardCharsets.UTF_8), isComplete, problem);
    }

    private boolean readBody(Map<String, String> headers, ByteArrayOutputStream received) throws IOException {
        if (!"chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            received.write(in.readNBytes(length));
            return received.size() == length;
        }
        while (true) {
            String size = Replica.line(in);
            if (size == null) return false;
            int length = Integer.parseInt(size.trim(), 16);
            byte[] chunk = in.readNBytes(length);
            received.write(chunk);
            if (chunk.length < length || Replica.line(in) == null) return false;
            if (length == 0) return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
