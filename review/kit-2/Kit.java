/*
 * Stand-ins and process control for the cases of the second review. One file, no dependency.
 *
 * Site: one or more entries, each on a loopback address of its own, started with the command of deploy/system.toml; a store
 * (PROTOCOL.md, "The platform's metadata store"); replicas on raw sockets; clients on raw sockets.
 */
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

final class Kit {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    static final String HOST = "shop.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    private Kit() {}

    static boolean isTroubled() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The file record.txt of a case. */
    static final class Record implements Closeable {
        private final PrintWriter out;
        private final long startNanos = System.nanoTime();

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        }

        long millis() {
            return (System.nanoTime() - startNanos) / 1_000_000;
        }

        synchronized void line(String text) {
            out.printf(Locale.ROOT, "%8.3f s  %s%n", millis() / 1000.0, text);
        }

        @Override
        public void close() {
            out.close();
        }
    }

    /** The platform's store: keyed topics and groups. */
    static final class Store implements Closeable {
        private record Stored(String key, byte[] value) {}

        private static final class Group {
            long generation;
            String owner;
            final TreeMap<String, Long> expiryByMember = new TreeMap<>();
        }

        private final Map<String, List<Stored>> topics = new HashMap<>();
        private final Map<String, Group> groups = new HashMap<>();
        private final HttpServer server;

        Store() throws IOException {
            server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
            server.setExecutor(Executors.newCachedThreadPool(r -> {
                Thread t = new Thread(r);
                t.setDaemon(true);
                return t;
            }));
            server.createContext("/", this::handle);
            server.start();
        }

        String address() {
            return "127.0.0.1:" + server.getAddress().getPort();
        }

        synchronized void write(String topic, String key, String json) {
            topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(new Stored(key, json.getBytes(StandardCharsets.UTF_8)));
            notifyAll();
        }

        void writeConfig(String json) {
            write("keyed.op", "config", json);
        }

        void writeServer(String id, String json) {
            write("keyed.servers", id, json);
        }

        /** Removes the entry of a replica. */
        void removeServer(String id) {
            write("keyed.servers", id, "");
        }

        private void handle(HttpExchange exchange) throws IOException {
            try (exchange) {
                Map<String, String> query = new HashMap<>();
                String text = exchange.getRequestURI().getQuery();
                for (String pair : (text == null ? "" : text).split("&")) {
                    int cut = pair.indexOf('=');
                    if (cut > 0) query.put(pair.substring(0, cut), pair.substring(cut + 1));
                }
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                byte[] answer = switch (exchange.getRequestURI().getPath()) {
                    case "/v1/log-read" -> read(query);
                    case "/v1/log-newest" -> newest(query.get("topic")).getBytes(StandardCharsets.UTF_8);
                    case "/v1/log-join" -> join(body).getBytes(StandardCharsets.UTF_8);
                    case "/v1/log-owners" -> owners(query.get("group")).getBytes(StandardCharsets.UTF_8);
                    default -> null;
                };
                exchange.sendResponseHeaders(answer == null ? 404 : 200, answer == null ? -1 : answer.length);
                if (answer != null) exchange.getResponseBody().write(answer);
            }
        }

        private synchronized byte[] read(Map<String, String> query) throws IOException {
            int from = Integer.parseInt(query.get("from"));
            long endNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
            List<Stored> records = topics.computeIfAbsent(query.get("topic"), t -> new ArrayList<>());
            while (from >= records.size()) {
                long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
                if (leftMillis <= 0) break;
                try {
                    wait(leftMillis);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(records.size());
            out.writeLong(0);
            for (Stored record : records.subList(Math.min(from, records.size()), records.size())) {
                byte[] key = record.key.getBytes(StandardCharsets.UTF_8);
                out.writeInt(1 + key.length + record.value.length);
                out.writeByte(key.length);
                out.write(key);
                out.write(record.value);
            }
            return bytes.toByteArray();
        }

        private synchronized String newest(String topic) {
            List<Stored> records = topics.getOrDefault(topic, List.of());
            Map<String, Integer> newest = new LinkedHashMap<>();
            for (int offset = 0; offset < records.size(); offset++) {
                newest.remove(records.get(offset).key);
                if (records.get(offset).value.length > 0) newest.put(records.get(offset).key, offset);
            }
            List<String> items = new ArrayList<>();
            newest.forEach((key, offset) -> items.add("{\"key\":\"" + key + "\",\"value\":\""
                + Base64.getEncoder().encodeToString(records.get(offset).value) + "\",\"offset\":" + offset + "}"));
            return "{\"items\":[" + String.join(",", items) + "],\"hasMore\":false,\"end\":" + records.size() + "}";
        }

        private synchronized String join(String body) {
            String member = field(body, "member");
            Group group = group(field(body, "group"));
            long ttl = Long.parseLong(field(body, "ttlMs"));
            String topic = field(body.substring(body.indexOf("topics")).replace("[", "").replace("]", ""), "topics");
            if (group.expiryByMember.put(member, System.currentTimeMillis() + ttl) == null) group.generation++;
            if (group.owner == null) group.owner = group.expiryByMember.firstKey();
            String parts = member.equals(group.owner) ? "[\"" + topic + "\",0,0]" : "";
            return "{\"generation\":" + group.generation + ",\"ttlMs\":" + ttl + ",\"parts\":[" + parts + "]}";
        }

        private synchronized String owners(String name) {
            String owner = group(name).owner;
            return "{\"items\":[" + (owner == null ? "" : "[\"" + name + "\",0,\"" + owner + "\",0]") + "]}";
        }

        private Group group(String name) {
            Group group = groups.computeIfAbsent(name, n -> new Group());
            long now = System.currentTimeMillis();
            if (group.expiryByMember.values().removeIf(expiry -> expiry < now)) group.generation++;
            if (group.owner != null && !group.expiryByMember.containsKey(group.owner)) group.owner = null;
            return group;
        }

        private static String field(String json, String name) {
            Matcher matcher = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
            return matcher.find() ? matcher.group(1) : "";
        }

        @Override
        public void close() {
            server.stop(0);
        }
    }

    /** A head and a body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String path() {
            return firstLine.split(" ")[1];
        }
    }

    /** Reads HTTP/1.1 messages. An EOFException means that the channel ended before the message did. */
    static final class Reader {
        final InputStream in;

        Reader(InputStream in) {
            this.in = in instanceof BufferedInputStream ? in : new BufferedInputStream(in);
        }

        Message readHead() throws IOException {
            String firstLine = line();
            Map<String, String> headers = new LinkedHashMap<>();
            for (String line = line(); !line.isEmpty(); line = line()) {
                int cut = line.indexOf(':');
                headers.put(line.substring(0, cut).toLowerCase(Locale.ROOT), line.substring(cut + 1).trim());
            }
            return new Message(firstLine, headers, null);
        }

        Message read() throws IOException {
            Message head = readHead();
            return new Message(head.firstLine, head.headers, body(head.headers));
        }

        byte[] body(Map<String, String> headers) throws IOException {
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                while (true) {
                    int size = Integer.parseInt(line().trim(), 16);
                    body.write(exactly(size));
                    if (!line().isEmpty()) throw new IOException("no line end after a chunk");
                    if (size == 0) return body.toByteArray();
                }
            }
            String length = headers.get("content-length");
            return length == null ? new byte[0] : exactly(Integer.parseInt(length));
        }

        private byte[] exactly(int size) throws IOException {
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size) throw new EOFException("the channel ended within a body");
            return bytes;
        }

        private String line() throws IOException {
            StringBuilder line = new StringBuilder();
            while (true) {
                int next = in.read();
                if (next < 0) throw new EOFException("the channel ended within a head");
                if (next == '\n') return line.length() > 0 && line.charAt(line.length() - 1) == '\r' ? line.substring(0, line.length() - 1) : line.toString();
                line.append((char) next);
            }
        }
    }

    /** Serves one channel of a replica. */
    interface ChannelHandler {
        void serve(Socket channel, Reader reader, OutputStream out) throws IOException;
    }

    /** A replica's port. */
    static final class Replica implements Closeable {
        private final ServerSocket listener;
        private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
        final String address;

        Replica(String host, int port, ChannelHandler handler, int receiveBufferBytes) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            if (receiveBufferBytes > 0) listener.setReceiveBufferSize(receiveBufferBytes);
            listener.bind(new InetSocketAddress(host, port), 512);
            address = host + ":" + listener.getLocalPort();
            start(() -> {
                try {
                    while (true) {
                        Socket channel = listener.accept();
                        channels.add(channel);
                        channel.setTcpNoDelay(true);
                        start(() -> {
                            try (channel) {
                                handler.serve(channel, new Reader(channel.getInputStream()), channel.getOutputStream());
                            } catch (IOException e) {
                                // The entry has closed the channel.
                            } finally {
                                channels.remove(channel);
                            }
                        });
                    }
                } catch (IOException e) {
                    // Closed.
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        /** Ends as a killed process does: its port and all its channels are closed. */
        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket channel : channels) {
                channel.setSoLinger(true, 0);
                channel.close();
            }
        }
    }

    static byte[] answer(String status, String requestId, String extraHeaders, byte[] body) {
        String head = "HTTP/1.1 " + status + "\r\nRequest-Id: " + requestId + "\r\n" + extraHeaders + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(bytes, bytes.length + body.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        return all;
    }

    static byte[] text(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String serverJson(String service, String address, String zone, int slots, long seq, long born) {
        return "{\"service\":\"" + service + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"batchSlots\":" + slots
            + ",\"state\":\"ready\",\"coldMs\":0,\"seq\":" + seq + ",\"born\":" + born + "}";
    }

    static String routeJson(String name, String type, String service, int attempts, long timeoutMillis) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + name + "/\",\"type\":\"" + type + "\",\"timeoutMs\":"
            + timeoutMillis + ",\"goalMs\":500,\"priority\":1,\"service\":\"" + service + "\",\"attempts\":" + attempts
            + ",\"public\":false,\"canResume\":false,\"gapGoalMs\":0}";
    }

    static String serviceJson(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConns\":1000,\"coldS\":0,\"coldPerS\":0}";
    }

    /** A configuration with the limits and the tenant of a small installation. */
    static String configJson(int version, List<String> routes, List<String> services) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + String.join(",", services) + "],"
            + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000},"
            + "\"tenants\":[{\"name\":\"t1\",\"keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    /** An entry, started with the command of the deploy file. */
    static final class Entry implements Closeable {
        final String host;
        final int front;
        final int ready;
        private final Path settings;
        private final Path log;
        private final Path root;
        private Process process;

        Entry(Path root, Path scratch, int number, String storeAddress, int[] ports, List<String> hosts) throws IOException {
            this.root = root;
            host = hosts.get(number - 1);
            front = ports[0];
            ready = ports[1];
            settings = scratch.resolve("entry-" + number + ".conf");
            log = scratch.resolve("entry-" + number + ".log");
            List<String> seeds = new ArrayList<>();
            hosts.forEach(h -> seeds.add(h + ":" + ports[2]));
            String[] lines = {
                "node=front-a-" + number, "role=entry", "machineClass=front", "serves=front,control", "ip=" + host, "zone=a", "region=r", "zones.a=r",
                "listen.front=" + host + ":" + front, "listen.ready=" + host + ":" + ready, "listen.control=" + host + ":" + ports[2],
                "internalPorts=" + ports[3] + "," + (ports[3] + 1), "seeds=" + String.join(",", seeds.subList(0, Math.min(3, seeds.size()))),
                "bootstrap=true", "limits.cpuShare=0.57", "limits.cores=1", "limits.memoryMb=430", "limits.maxFds=4100", "discovery=platform",
                "entry=vip", "heartbeatMs=1200", "bounds.stableWindowMs=3000", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.configMs=2000",
                "bounds.budgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetSlack=94", "bounds.requireFence=true",
                "platform.addr=" + storeAddress, "platform.form=log", "platform.ttlMinMs=1000",
            };
            Files.writeString(settings, String.join("\n", lines) + "\n");
        }

        void launch() throws IOException {
            Matcher matcher = Pattern.compile("\\[roles\\.entry]\\s+run = \"([^\"]*)\"").matcher(Files.readString(root.resolve("deploy/system.toml")));
            if (!matcher.find()) throw new IOException("deploy/system.toml has no command for the role entry");
            ProcessBuilder builder = new ProcessBuilder(matcher.group(1).split(" "));
            builder.directory(root.toFile());
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("JAYBEAM_SETTINGS", settings.toString());
            environment.put("JAYBEAM_METRICS_PORT", "" + metricsPort());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        }

        private int metricsPort() throws IOException {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
                return socket.getLocalPort();
            }
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        String log() throws IOException {
            return Files.readString(log);
        }

        /** Status of the readiness check, or 0 if there is no answer within a second. */
        int readyStatus() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(host, ready), 1000);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(text("GET /v1/ready HTTP/1.1\r\nHost: " + host + "\r\n\r\n"));
                return new Reader(socket.getInputStream()).read().status();
            } catch (IOException e) {
                return 0;
            }
        }

        boolean awaitReady(long limitMillis) {
            long endNanos = System.nanoTime() + limitMillis * 1_000_000;
            while (System.nanoTime() < endNanos) {
                if (readyStatus() == 200) return true;
                sleep(100);
            }
            return false;
        }

        void signal(String name) throws IOException {
            try {
                new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        @Override
        public void close() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Four ports that are free on the given addresses. */
    static int[] freePorts(List<String> hosts) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            int[] ports = new int[4];
            for (int i = 0; i < ports.length; i++) {
                ServerSocket socket = new ServerSocket(0);
                sockets.add(socket);
                ports[i] = socket.getLocalPort();
            }
            return ports;
        } finally {
            for (ServerSocket socket : sockets) socket.close();
        }
    }

    /** A kept channel of a client. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        private final Reader reader;
        private final OutputStream out;

        Client(String host, int port, int receiveBufferBytes, int timeoutMillis) throws IOException {
            if (receiveBufferBytes > 0) socket.setReceiveBufferSize(receiveBufferBytes);
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host, port), 1000);
            socket.setSoTimeout(timeoutMillis);
            reader = new Reader(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String method, String path, String requestId, long deadlineMillis, String extraHeaders, byte[] body) throws IOException {
            out.write(text(method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + requestId + "\r\nDeadline-Ms: " + deadlineMillis
                + "\r\nAuthorization: Bearer " + KEY + "\r\n" + extraHeaders
                + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n"));
            if (body != null) out.write(body);
            out.flush();
        }

        Message read() throws IOException {
            return reader.read();
        }

        Reader reader() {
            return reader;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Runs a case: the folder of the case is the first argument, the repository the working directory. */
    interface Case {
        int run(Record record, Path root, Path scratch) throws Exception;
    }

    static void main(String[] args, Case body) {
        int exit = COULD_NOT_RUN;
        Path scratch = null;
        try {
            scratch = Files.createTempDirectory("jaybeam-review");
            try (Record record = new Record(Path.of(args[0]).resolve("record.txt"))) {
                try {
                    exit = body.run(record, Path.of("").toAbsolutePath(), scratch);
                } catch (Exception e) {
                    record.line("the case could not run: " + e);
                    e.printStackTrace();
                }
                record.line(exit == BROKEN ? "RULE BROKEN" : exit == HELD ? "rule held" : "no result");
            }
        } catch (IOException e) {
            e.printStackTrace();
        } finally {
            if (scratch != null && System.getenv("KEEP") == null) deleteAll(scratch);
            else System.err.println(scratch);
        }
        System.exit(exit);
    }

    private static void deleteAll(Path directory) {
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) Files.delete(file);
            Files.delete(directory);
        } catch (IOException e) {
            e.printStackTrace();
        }
    }
}
