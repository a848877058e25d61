import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;

/** A requester's connection to an entry. */
final class Requester implements Closeable {
    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    Requester(Site.EntryNode entry) throws IOException {
        socket.connect(new InetSocketAddress(entry.ip, entry.front), 1000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** An answer that was read to its end. */
    record Answer(int status, Kit.Head head, byte[] body) {
        String text() { return new String(body, StandardCharsets.ISO_8859_1); }
    }

    void send(String method, String path, String id, int deadlineMillis, byte[] body, String moreHeaders) throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + deadlineMillis
            + "\r\nAuthorization: Bearer " + Site.KEY + "\r\n" + moreHeaders + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) out.write(body);
        out.flush();
    }

    Answer read(int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        Kit.Head head = Kit.readHead(in);
        if (head == null) throw new EOFException("the connection was closed without an answer");
        int status = Integer.parseInt(head.first.split(" ")[1]);
        byte[] body;
        if ("chunked".equalsIgnoreCase(head.get("Transfer-Encoding"))) body = Kit.readChunks(in);
        else if (head.get("Content-Length") != null) body = Kit.readFully(in, Integer.parseInt(head.get("Content-Length")));
        else body = in.readAllBytes();
        return new Answer(status, head, body);
    }

    @Override
    public void close() {
        Kit.close(socket);
    }
}
