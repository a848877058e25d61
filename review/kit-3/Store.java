import java.io.*;
import java.net.*;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.regex.*;

/** Stand-in of the platform's store: the keyed topics op and servers, and groups. */
final class Store {
    /** One record of a topic; a value of null deletes the key. */
    record Entry(String key, byte[] value) {}

    /** A group: its members and the generation, which increases with each change. */
    static final class Group {
        long generation;
        final LinkedHashMap<String, Long> ends = new LinkedHashMap<>();
        String topic = "";
    }

    final String ip;
    final int port;
    private final ServerSocket server;
    private Map<String, List<Entry>> topics = new HashMap<>();
    private Map<String, Group> groups = new HashMap<>();
    private long era;
    private volatile boolean isAway;
    private final Set<Socket> sockets = java.util.concurrent.ConcurrentHashMap.newKeySet();

    Store() throws IOException {
        ip = Kit.loopbackAddress();
        server = new ServerSocket();
        server.bind(new InetSocketAddress(ip, 0), 200);
        port = server.getLocalPort();
        Kit.daemon(() -> {
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
        });
    }

    /** Writes a record; a value of null deletes the key. Does nothing while the store is away. */
    synchronized void put(String topic, String key, String value) {
        if (isAway) return;
        topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(new Entry(key, value == null ? null : value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    /** A copy of what the store holds. */
    record Copy(Map<String, List<Entry>> topics, Map<String, Group> groups) {}

    synchronized Copy copy() {
        Map<String, List<Entry>> topicsCopy = new HashMap<>();
        topics.forEach((name, log) -> topicsCopy.put(name, new ArrayList<>(log)));
        Map<String, Group> groupsCopy = new HashMap<>();
        groups.forEach((name, group) -> {
            Group g = new Group();
            g.generation = group.generation;
            g.topic = group.topic;
            g.ends.putAll(group.ends);
            groupsCopy.put(name, g);
        });
        return new Copy(topicsCopy, groupsCopy);
    }

    /** The store is away for [awayMillis] and comes back from [copy]; its era rises by one. */
    void comeBackFrom(Copy copy, long awayMillis) {
        isAway = true;
        sockets.forEach(Kit::close);
        Kit.sleep(awayMillis);
        synchronized (this) {
            topics = new HashMap<>(copy.topics());
            groups = new HashMap<>(copy.groups());
            era++;
            notifyAll();
        }
        isAway = false;
        Kit.log("the store is back from a copy, in era " + era);
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            while (true) {
                Kit.Head head = Kit.readHead(in);
                if (head == null) return;
                if (isAway) return;
                String length = head.get("Content-Length");
                byte[] body = length == null ? new byte[0] : Kit.readFully(in, Integer.parseInt(length));
                String[] parts = head.first.split(" ");
                URI uri = URI.create("http://store" + parts[1]);
                Map<String, String> query = new HashMap<>();
                if (uri.getRawQuery() != null) {
                    for (String p : uri.getRawQuery().split("&")) {
                        String[] kv = p.split("=", 2);
                        query.put(kv[0], URLDecoder.decode(kv.length > 1 ? kv[1] : "", StandardCharsets.UTF_8));
                    }
                }
                int status = 200;
                byte[] answer;
                switch (uri.getPath()) {
                    case "/v1/log-newest" -> answer = newest(query);
                    case "/v1/log-read" -> {
                        answer = read(query);
                        if (answer == null) {
                            status = 410;
                            answer = "{\"first\":0}".getBytes();
                        }
                    }
                    case "/v1/log-join" -> answer = join(new String(body, StandardCharsets.UTF_8));
                    case "/v1/log-owners" -> answer = owners(query.get("group"));
                    case "/v1/log-leave" -> answer = leave(new String(body, StandardCharsets.UTF_8));
                    default -> {
                        status = 404;
                        answer = "{}".getBytes();
                    }
                }
                out.write(("HTTP/1.1 " + status + " X\r\nStore-Era: " + eraNow() + "\r\nContent-Length: " + answer.length + "\r\n\r\n").getBytes());
                out.write(answer);
                out.flush();
            }
        } catch (IOException e) {
            // The caller has closed its connection.
        }
    }

    private synchronized long eraNow() {
        return era;
    }

    private synchronized byte[] newest(Map<String, String> query) {
        List<Entry> log = topics.getOrDefault(query.get("topic"), List.of());
        TreeMap<String, Integer> last = new TreeMap<>();
        for (int i = 0; i < log.size(); i++) {
            if (log.get(i).value() == null) last.remove(log.get(i).key());
            else last.put(log.get(i).key(), i);
        }
        StringBuilder items = new StringBuilder();
        String after = query.get("after");
        for (Map.Entry<String, Integer> e : last.entrySet()) {
            if (after != null && e.getKey().compareTo(after) <= 0) continue;
            if (items.length() > 0) items.append(',');
            items.append("{\"key\":\"").append(e.getKey()).append("\",\"value\":\"")
                .append(Base64.getEncoder().encodeToString(log.get(e.getValue()).value()))
                .append("\",\"offset\":").append(e.getValue()).append('}');
        }
        return ("{\"items\":[" + items + "],\"hasMore\":false,\"end\":" + log.size() + "}").getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] read(Map<String, String> query) {
        String topic = query.get("topic");
        int from = Integer.parseInt(query.get("from"));
        long end = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (topics.getOrDefault(topic, List.of()).size() <= from && System.currentTimeMillis() < end) {
            try {
                wait(Math.max(1, end - System.currentTimeMillis()));
            } catch (InterruptedException e) {
                throw new RuntimeException(e);
            }
        }
        List<Entry> log = topics.getOrDefault(topic, List.of());
        if (from > log.size()) return null;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(ByteBuffer.allocate(16).putLong(log.size()).putLong(0).array());
        for (Entry e : log.subList(from, log.size())) {
            byte[] key = e.key().getBytes(StandardCharsets.UTF_8);
            byte[] value = e.value() == null ? new byte[0] : e.value();
            bytes.writeBytes(ByteBuffer.allocate(5).putInt(1 + key.length + value.length).put((byte) key.length).array());
            bytes.writeBytes(key);
            bytes.writeBytes(value);
        }
        return bytes.toByteArray();
    }

    private static String text(String json, String name) {
        Matcher m = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return m.find() ? m.group(1) : "";
    }

    private synchronized byte[] join(String json) {
        Group g = groups.computeIfAbsent(text(json, "group"), n -> new Group());
        Matcher ttl = Pattern.compile("\"ttlMs\"\\s*:\\s*(\\d+)").matcher(json);
        Matcher topic = Pattern.compile("\"topics\"\\s*:\\s*\\[\\s*\"([^\"]*)\"").matcher(json);
        if (topic.find()) g.topic = topic.group(1);
        String member = text(json, "member");
        expire(g);
        if (!g.ends.containsKey(member)) g.generation++;
        g.ends.put(member, System.currentTimeMillis() + (ttl.find() ? Long.parseLong(ttl.group(1)) : 1000));
        boolean isFirst = g.ends.keySet().iterator().next().equals(member);
        String parts = isFirst ? "[\"" + g.topic + "\",0,0]" : "";
        return ("{\"generation\":" + g.generation + ",\"ttlMs\":1000,\"parts\":[" + parts + "]}").getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] leave(String json) {
        Group g = groups.get(text(json, "group"));
        if (g != null && g.ends.remove(text(json, "member")) != null) g.generation++;
        return "{}".getBytes();
    }

    private synchronized byte[] owners(String group) {
        Group g = groups.get(group);
        if (g != null) expire(g);
        if (g == null || g.ends.isEmpty()) return "{\"parts\":[]}".getBytes();
        return ("{\"parts\":[[\"" + g.topic + "\",0,\"" + g.ends.keySet().iterator().next() + "\",0]]}").getBytes(StandardCharsets.UTF_8);
    }

    private static void expire(Group g) {
        long now = System.currentTimeMillis();
        if (g.ends.values().removeIf(end -> end < now)) g.generation++;
    }
}
